"""Exchange that runs at most once for its idempotency key."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from twisted.internet import defer, task

from banyansail.exceptions import PlatformUnavailableError
from banyansail.ledger.records import (
    MAX_KEPT_ANSWER_BYTES,
    Finished,
    FinishKey,
    InFlight,
    KeptAnswer,
    KeyMismatch,
    ReleaseKey,
    ShardFull,
    Started,
    StartKey,
)
from banyansail.router.caller import Answer
from banyansail.router.plain_exchange import PlainExchange
from banyansail.router.refusals import (
    JOURNAL_FULL,
    KEY_REUSED,
    NOT_KEPT,
    RAN_BEFORE,
    not_recorded,
    outcome_unknown,
)
from banyansail.router.scheduler import RefusedError
from banyansail.routing.request_types import RunStatus

if TYPE_CHECKING:
    from banyansail.ledger.records import Result
    from banyansail.upstreams.link import UpstreamLink

POLL_INTERVAL = timedelta(milliseconds=200)
MAX_WAIT_FOR_OTHER = timedelta(seconds=5)
LINGER = timedelta(seconds=30)  # a late answer is still recorded


class OrderExchange(PlainExchange):
    """A call that may not be repeated and carries a key."""

    def __init__(self, *args: Any, router_id: str) -> None:
        super().__init__(*args)
        self.key = f"{self.request_class.service}/{self.request.workspace}/"
        self.key += self.request.key
        self._attempt_token = f"{router_id}/{self.request.request_id}"
        self.may_have_run = True  # through another router, until the key is claimed

    async def run_attempts(self) -> None:
        """Claim the key, then make attempts as long as nothing was sent."""
        kept = await self._claim()
        if kept is not None:
            super().deliver(kept)
            return
        try:
            await super().run_attempts()
        except (RefusedError, defer.CancelledError) as error:
            if self.final_ran() is RunStatus.NOT_RUN:
                self._release()
            elif isinstance(error, RefusedError) and await self.look_up():
                raise RefusedError(RAN_BEFORE) from error
            raise

    async def look_up(self) -> bool:
        """Ask the service whether the key was run; only a yes can be relied on.

        A no may be overtaken by a call that is still on its way.
        """
        service = self.context.rules.service_by_name[self.request_class.service]
        states = self.context.scheduler.dispatcher.state_by_name
        for name, state in states.items():
            link = self.context.links.get(name)
            is_usable = state.rule.service == service.name and not state.is_leaving
            if service.lookup_path and is_usable and link is not None:
                return await self._ask(link, service.lookup_path)
        return False

    async def _ask(self, link: UpstreamLink, lookup: str) -> bool:
        path = lookup.replace("{key}", quote(self.request.key, safe=""))
        body = await link.ask_json("GET", path)
        return isinstance(body, dict) and body.get("ran") is True

    def deliver(self, answer: Answer) -> None:
        """Give the caller the answer and record it for repeats."""
        super().deliver(answer)
        kept = KeptAnswer(answer.status, answer.content_type, _kept_body(answer.body))
        operation = FinishKey(self.key, self._attempt_token, kept)
        self.context.ledger.perform_later(operation)

    def _stop(self) -> None:
        if not self.may_have_run or self.assignment is None:
            super()._stop()
            return
        # The caller has its final answer; a late one is kept for repeats.
        self.caller.is_gone = True
        self.context.reactor.callLater(LINGER.total_seconds(), super()._stop)

    async def _claim(self) -> Answer | None:
        """Claim the key; return the kept answer if the call was run before."""
        operation = StartKey(self.key, self._attempt_token, self.fingerprint)
        limit = min(MAX_WAIT_FOR_OTHER, self.remaining() / 2)
        waited_since = self.context.clock.monotonic()
        while True:
            result = await self._start(operation)
            if not isinstance(result, InFlight):
                break
            waited = self.context.clock.monotonic() - waited_since
            if waited > limit:
                break
            await task.deferLater(self.context.reactor, POLL_INTERVAL.total_seconds())
        if isinstance(result, InFlight) and await self.look_up():
            raise RefusedError(RAN_BEFORE)
        return self._act_on(result)

    async def _start(self, operation: StartKey) -> Result:
        try:
            return await self.context.ledger.perform(operation)
        except PlatformUnavailableError as error:
            raise RefusedError(not_recorded(error.message)) from error
        except defer.CancelledError:
            self._release()
            raise

    def _act_on(self, result: Result) -> Answer | None:
        match result:
            case Started():
                self.may_have_run = False
                return None
            case Finished(KeptAnswer(status, content_type, body)) if body is not None:
                return Answer(status, content_type, body.encode())
            case Finished():
                raise RefusedError(NOT_KEPT)
            case KeyMismatch():
                raise RefusedError(KEY_REUSED)
            case ShardFull():
                raise RefusedError(JOURNAL_FULL)
            case InFlight(attempt):
                raise RefusedError(outcome_unknown(attempt))
        return None

    def _release(self) -> None:
        operation = ReleaseKey(self.key, self._attempt_token)
        self.context.ledger.perform_later(operation)


def _kept_body(body: bytes) -> str | None:
    if len(body) > MAX_KEPT_ANSWER_BYTES:
        return None
    try:
        return body.decode()
    except UnicodeDecodeError:
        return None
