"""Exchange whose call runs at most once per idempotency key."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from twisted.internet import defer, task

from banyansail.exceptions import PlatformUnavailableError
from banyansail.ledger.records import (
    MAX_STORED_ANSWER_BYTES,
    Finished,
    FinishKey,
    InFlight,
    KeyMismatch,
    ReleaseKey,
    ShardFull,
    Started,
    StartKey,
    StoredAnswer,
)
from banyansail.router.exchanges.plain_exchange import PlainExchange
from banyansail.router.exchanges.scheduler import RefusedError
from banyansail.router.requests.refusals import (
    ANSWER_LOST,
    ANSWER_NOT_STORED,
    KEY_REUSED,
    LEDGER_FULL,
    claim_failed,
    outcome_unknown,
)
from banyansail.router.requests.response_outcome import Answer
from banyansail.routing.request_types import RunStatus

if TYPE_CHECKING:
    from banyansail.ledger.records import Result
    from banyansail.upstreams.upstream_client import UpstreamClient

# While another request has claimed the key, its outcome is polled.
POLL_INTERVAL = timedelta(milliseconds=200)
MAX_IN_FLIGHT_WAIT = timedelta(seconds=5)
LATE_ANSWER_TIMEOUT = timedelta(seconds=30)  # later answers are not recorded


class KeyedExchange(PlainExchange):
    """A call that is not idempotent and has an idempotency key."""

    def __init__(self, *args: Any, router_id: str) -> None:
        super().__init__(*args)
        self.ledger_key = f"{self.request_class.service}/{self.request.workspace}/"
        self.ledger_key += self.request.idempotency_key
        self._claimant_id = f"{router_id}/{self.request.request_id}"
        self.may_have_run = True  # at another router, until the key is claimed

    async def run_attempts(self) -> None:
        """Claim the key, then retry only while nothing was sent."""
        stored = await self._claim_key()
        if stored is not None:
            super().deliver(stored)
            return
        try:
            await super().run_attempts()
        except (RefusedError, defer.CancelledError) as error:
            if self.run_status() is RunStatus.NOT_RUN:
                self._release_key()
            elif isinstance(error, RefusedError) and await self.query_has_run():
                raise RefusedError(ANSWER_LOST) from error
            raise

    async def query_has_run(self) -> bool:
        """Return whether the service reports that the key's call ran.

        Only ``True`` is reliable: a call in transit may still run after the query.
        """
        service = self.context.rules.service_by_name[self.request_class.service]
        states = self.context.scheduler.dispatcher.state_by_name
        for name, state in states.items():
            client = self.context.upstream_clients.get(name)
            is_usable = state.rule.service == service.name and not state.is_leaving
            if service.lookup_path and is_usable and client is not None:
                return await self._query_lookup(client, service.lookup_path)
        return False

    async def _query_lookup(self, client: UpstreamClient, path_template: str) -> bool:
        path = path_template.replace(
            "{key}", quote(self.request.idempotency_key, safe="")
        )
        body = await client.request_json("GET", path)
        return isinstance(body, dict) and body.get("ran") is True

    def deliver(self, answer: Answer) -> None:
        """Write the answer and record it for repeated calls."""
        super().deliver(answer)
        stored = StoredAnswer(
            answer.status, answer.content_type, _storable_body(answer.body)
        )
        operation = FinishKey(self.ledger_key, self._claimant_id, stored)
        self.context.ledger.perform_in_background(operation)

    def _stop(self) -> None:
        if not self.may_have_run or self.assignment is None:
            super()._stop()
            return
        # The caller has its final answer; a late one is recorded for repeated calls.
        self.context.reactor.callLater(
            LATE_ANSWER_TIMEOUT.total_seconds(), super()._stop
        )

    async def _claim_key(self) -> Answer | None:
        """Claim the key; return the stored answer if the call has run before."""
        operation = StartKey(self.ledger_key, self._claimant_id, self.fingerprint)
        max_wait = min(MAX_IN_FLIGHT_WAIT, self.remaining() / 2)
        wait_started_at = self.context.clock.monotonic()
        while True:
            result = await self._send_claim(operation)
            if not isinstance(result, InFlight):
                break
            waited = self.context.clock.monotonic() - wait_started_at
            if waited > max_wait:
                break
            await task.deferLater(self.context.reactor, POLL_INTERVAL.total_seconds())
        if isinstance(result, InFlight) and await self.query_has_run():
            raise RefusedError(ANSWER_LOST)
        return self._handle_result(result)

    async def _send_claim(self, operation: StartKey) -> Result:
        try:
            return await self.context.ledger.perform(operation)
        except PlatformUnavailableError as error:
            raise RefusedError(claim_failed(error.message)) from error
        except defer.CancelledError:
            self._release_key()
            raise

    def _handle_result(self, result: Result) -> Answer | None:
        match result:
            case Started():
                self.may_have_run = False
                return None
            case Finished(StoredAnswer(status, content_type, body)) if body is not None:
                return Answer(status, content_type, body.encode())
            case Finished():
                raise RefusedError(ANSWER_NOT_STORED)
            case KeyMismatch():
                raise RefusedError(KEY_REUSED)
            case ShardFull():
                raise RefusedError(LEDGER_FULL)
            case InFlight(claimant_id):
                raise RefusedError(outcome_unknown(claimant_id))
        return None

    def _release_key(self) -> None:
        operation = ReleaseKey(self.ledger_key, self._claimant_id)
        self.context.ledger.perform_in_background(operation)


def _storable_body(body: bytes) -> str | None:
    if len(body) > MAX_STORED_ANSWER_BYTES:
        return None
    try:
        return body.decode()
    except UnicodeDecodeError:
        return None
