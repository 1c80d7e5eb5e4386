"""Exchange with a model engine: a streamed answer that can move between engines."""

from __future__ import annotations

import json
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from banyansail.log import log_event
from banyansail.router.caller import Answer
from banyansail.router.exchange import Exchange
from banyansail.router.parsing import COMPLETIONS_PATH
from banyansail.router.silence import SilenceWatch
from banyansail.routing.event_sequencer import AbortAttempt, Deliver, EventSequencer
from banyansail.routing.retry import AttemptFailure
from banyansail.upstreams.engine_api import EngineApi
from banyansail.upstreams.events import (
    DONE_EVENT,
    EVENT_SEPARATOR,
    AnswerEvent,
    EndEvent,
    EventSplitter,
    MalformedEvent,
    TokenEvent,
)
from banyansail.upstreams.upstream_client import (
    AttemptError,
    BodyReceiver,
    UpstreamClient,
    read_body,
)

if TYPE_CHECKING:
    from twisted.web.iweb import IResponse

PREFIX_CHARS = 200
MIGRATION_MARGIN = timedelta(milliseconds=1500)
MAX_FAILURE_BYTES = 64 * 1024
PROGRESS_SLACK = 2  # tokens that may be on their way


class ModelExchange(Exchange):
    """A completion; its tokens reach the caller once and in order.

    Parameters
    ----------
    body : dict
        The decoded body of the request.
    delivered : list of bytes
        Events that the caller has already, for an answer that is continued.
    """

    def __init__(
        self, *args: Any, body: dict[str, Any], delivered: list[bytes]
    ) -> None:
        self.body = body
        self.delivered = delivered
        super().__init__(*args)
        self.wants_stream = bool(body.get("stream"))
        self._order = EventSequencer(len(delivered))
        self._has_ended = False
        self._api: EngineApi | None = None
        self._receiver: BodyReceiver | None = None
        self._watch: SilenceWatch | None = None
        self._splitter = EventSplitter()
        self._attempt_bytes = b""
        self._request_bytes = self.request.request_id.encode()
        self._exported: dict[str, Any] | None = None
        self._migration: Any = None

    def affinity(self) -> str:
        """Return the workspace and the beginning of the prompt."""
        messages = self.body.get("messages") or []
        texts = [str(item.get("content", "")) for item in messages[:2]]
        return f"{self.request.workspace}/{''.join(texts)[:PREFIX_CHARS]}"

    async def attempt(self, client: UpstreamClient) -> None:
        """Send the completion and pass its events on."""
        self._api = EngineApi(client)
        self._splitter = EventSplitter()
        attempt_id = self.attempt_id()
        self._attempt_bytes = attempt_id.encode()
        silence = self.context.rules.service_by_name[self.request_class.service].silence
        try:
            with SilenceWatch(
                self.context.reactor, silence, self._check_silence
            ) as watch:
                self._watch = watch
                await self._import_cache(attempt_id)
                response = await client.send(
                    self.build_call(self._encode_body(), COMPLETIONS_PATH)
                )
                watch.touch()
                await self._read(response, attempt_id)
        finally:
            self._cancel_migration()
            self.caller.unregister_producer()

    def prepare_for_reclaim(self, notice: timedelta) -> None:
        """Move to another engine shortly before this one is gone."""
        if self._migration is not None:
            return
        delay = max(notice - MIGRATION_MARGIN, timedelta(0))
        self._migration = self.context.reactor.callLater(
            delay.total_seconds(), self._start_migration
        )

    def suspend(self) -> None:
        """Stop here; another router will continue the stream."""
        self._stop()

    def text(self) -> str:
        """Return the text that was delivered so far."""
        return "".join(_text_of(raw) for raw in self.delivered)

    def _encode_body(self) -> bytes:
        body = dict(self.body)
        body["stream"] = True
        if self.delivered:
            body["resume_from"] = len(self.delivered)
            body["resume_text"] = self.text()
        return json.dumps(body).encode()

    async def _read(self, response: IResponse, attempt_id: str) -> None:
        if response.code != 200:
            await self._read_failure(response)
            return
        echoed = response.headers.getRawHeaders("x-request-id", [""])[0]
        if echoed != attempt_id:
            raise AttemptError(
                AttemptFailure.BAD_ANSWER, "the answer is of another request"
            )
        receiver = BodyReceiver(self._take_data)
        self._receiver = receiver
        response.deliverBody(receiver)
        if self.wants_stream:
            self.caller.begin_stream()
            self.caller.register_producer(_Producer(receiver, self._watch))
        try:
            await receiver.ended
        except AttemptError:
            if not self._has_ended:
                raise
        if not self._has_ended:
            raise AttemptError(AttemptFailure.CONNECTION_LOST, "the stream has no end")
        self._answer()

    async def _read_failure(self, response: IResponse) -> None:
        body = await read_body(response, MAX_FAILURE_BYTES)
        if response.headers.getRawHeaders("x-ran", [""])[0] == "not_run":
            raise AttemptError(AttemptFailure.REFUSED, f"status {response.code}")
        if response.code >= 500:
            raise AttemptError(AttemptFailure.BAD_ANSWER, f"status {response.code}")
        self.on_first_byte()
        self.caller.answer(Answer(response.code, "application/json", body))

    def _take_data(self, data: bytes) -> None:
        self._watch.touch()
        passed: list[bytes] = []
        for event in self._splitter.feed(data):
            error = self._take_event(event, passed)
            if error is not None:
                self._receiver.fail(error)
                break
        if passed and self.wants_stream:
            passed.append(b"")
            self.caller.write(EVENT_SEPARATOR.join(passed))

    def _take_event(
        self, event: AnswerEvent, passed: list[bytes]
    ) -> AttemptError | None:
        match event:
            case TokenEvent(index, raw):
                return self._take_token(index, raw, passed)
            case EndEvent():
                self._has_ended = True
                return None
            case MalformedEvent(reason):
                return AttemptError(AttemptFailure.BAD_ANSWER, reason)

    def _take_token(
        self, index: int, raw: bytes, passed: list[bytes]
    ) -> AttemptError | None:
        if self._attempt_bytes not in raw:
            return AttemptError(
                AttemptFailure.BAD_ANSWER, "an event of another request"
            )
        verdict = self._order.accept(index)
        match verdict:
            case Deliver():
                self.on_first_byte()
                raw = raw.replace(self._attempt_bytes, self._request_bytes, 1)
                self.delivered.append(raw)
                passed.append(raw)
            case AbortAttempt(reason):
                return AttemptError(AttemptFailure.BAD_ANSWER, reason)
        return None

    def _answer(self) -> None:
        if self.wants_stream:
            self.caller.begin_stream()
            self.caller.write(DONE_EVENT + EVENT_SEPARATOR)
            self.caller.end_stream()
            return
        chunk = {
            "id": self.request.request_id,
            "object": "chat.completion",
            "model": self.request_class.service,
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": self.text()},
                    "finish_reason": "stop",
                }
            ],
            "usage": {"completion_tokens": len(self.delivered)},
        }
        self.caller.answer(Answer(200, "application/json", json.dumps(chunk).encode()))

    async def _check_silence(self) -> None:
        """Break the attempt if its connection is lost; a slow engine is kept."""
        name = self.assignment.state.rule.name
        attempt = self._attempt
        tokens = await self._api.token_count(self.attempt_id())
        if tokens is None and not await self.context.health.is_alive(name):
            error = AttemptError(
                AttemptFailure.CONNECTION_LOST, "no answer on a new connection"
            )
        elif tokens is None:
            error = AttemptError(
                AttemptFailure.CONNECTION_STALLED,
                "the engine does not know the request",
            )
        elif tokens > len(self.delivered) + PROGRESS_SLACK:
            error = AttemptError(
                AttemptFailure.CONNECTION_STALLED, "tokens are made and do not arrive"
            )
        else:
            log_event("slow", request=self.request.request_id, upstream=name)
            return
        if attempt is self._attempt:
            self.context.upstream_clients.get(name).close_idle()
            if tokens is not None:
                await self._api.cancel(self.attempt_id())
            self.break_attempt(error)

    def _start_migration(self) -> None:
        self._migration = None
        moved = defer.Deferred.fromCoroutine(self._migrate())
        moved.addErrback(lambda failure: None)

    async def _migrate(self) -> None:
        attempt = self._attempt
        if attempt is None or attempt.called or self.is_over:
            return
        self._exported = await self._api.export_cache(self.attempt_id())
        if attempt is self._attempt:
            error = AttemptError(AttemptFailure.RECLAIMED, "the engine is taken back")
            self.break_attempt(error)

    async def _import_cache(self, attempt_id: str) -> None:
        if self._exported is not None:
            exported, self._exported = self._exported, None
            await self._api.import_cache(attempt_id, exported)

    def _cancel_migration(self) -> None:
        if self._migration is not None and self._migration.active():
            self._migration.cancel()
        self._migration = None


class _Producer:
    """Pauses an upstream's connection for a slow caller."""

    __slots__ = ("_receiver", "_watch")

    def __init__(self, receiver: BodyReceiver, watch: SilenceWatch) -> None:
        self._receiver = receiver
        self._watch = watch

    def pauseProducing(self) -> None:
        self._watch.is_paused = True
        self._receiver.transport.pauseProducing()

    def resumeProducing(self) -> None:
        self._watch.is_paused = False
        self._watch.touch()
        self._receiver.transport.resumeProducing()

    def stopProducing(self) -> None:
        return None


def _text_of(raw: bytes) -> str:
    data = raw.partition(b"data: ")[2]
    return json.loads(data)["choices"][0]["delta"].get("content", "")
