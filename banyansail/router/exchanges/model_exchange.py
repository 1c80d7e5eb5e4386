"""Exchange with a model engine; its stream can migrate between engines."""

from __future__ import annotations

import json
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from banyansail.log import log_event
from banyansail.router.exchanges.completion import build_completion, join_text
from banyansail.router.exchanges.exchange import Exchange
from banyansail.router.exchanges.pausable_body import PausableBody
from banyansail.router.exchanges.stall_detector import StallDetector
from banyansail.router.requests.parsing import COMPLETIONS_PATH
from banyansail.router.requests.response_outcome import Answer, StreamCompleted
from banyansail.routing.event_sequencer import AbortAttempt, Deliver, EventSequencer
from banyansail.routing.retry import AttemptFailure
from banyansail.upstreams.attempt_error import AttemptError
from banyansail.upstreams.body_receiver import BodyReceiver, read_body
from banyansail.upstreams.engine_api import EngineApi
from banyansail.upstreams.events import (
    EVENT_SEPARATOR,
    AnswerEvent,
    EndEvent,
    EventSplitter,
    MalformedEvent,
    TokenEvent,
)
from banyansail.upstreams.upstream_client import UpstreamClient

if TYPE_CHECKING:
    from twisted.web.iweb import IResponse

AFFINITY_PREFIX_CHARS = 200  # of the prompt
MIGRATION_MARGIN = timedelta(milliseconds=1500)  # before the engine is reclaimed
MAX_ERROR_BODY_BYTES = 64 * 1024
MAX_TOKENS_IN_TRANSIT = 2  # more generated than delivered is a stall


class ModelExchange(Exchange):
    """A completion, whose tokens are delivered once and in order.

    Parameters
    ----------
    body : dict
        Decoded body of the request.
    delivered : list of bytes
        Events already delivered to the caller, if a stream is resumed.
    """

    def __init__(
        self, *args: Any, body: dict[str, Any], delivered: list[bytes]
    ) -> None:
        self.body = body
        self.delivered = delivered
        super().__init__(*args)
        self.wants_stream = bool(body.get("stream"))
        self._sequencer = EventSequencer(len(delivered))
        self._has_end_event = False
        self._api: EngineApi | None = None
        self._receiver: BodyReceiver | None = None
        self._stall_detector: StallDetector | None = None
        self._splitter = EventSplitter()
        self._attempt_id_bytes = b""
        self._request_id_bytes = self.request.request_id.encode()
        self._exported_cache: dict[str, Any] | None = None
        self._migration_timer: Any = None

    def affinity(self) -> str:
        """Return the workspace and the start of the prompt."""
        messages = self.body.get("messages") or []
        texts = [str(item.get("content", "")) for item in messages[:2]]
        return f"{self.request.workspace}/{''.join(texts)[:AFFINITY_PREFIX_CHARS]}"

    async def attempt(self, client: UpstreamClient) -> None:
        """Send the completion and forward its events."""
        self._api = EngineApi(client)
        self._splitter = EventSplitter()
        self._sequencer.start_attempt()
        attempt_id = self.attempt_id()
        self._attempt_id_bytes = attempt_id.encode()
        stall_timeout = self.context.rules.service_by_name[
            self.request_class.service
        ].silence
        try:
            with StallDetector(
                self.context.reactor, stall_timeout, self._check_stall
            ) as stall_detector:
                self._stall_detector = stall_detector
                await self._import_cache(attempt_id)
                response = await client.send(
                    self.build_call(self._encode_body(), COMPLETIONS_PATH)
                )
                stall_detector.reset()
                await self._read_stream(response, attempt_id)
        finally:
            self._cancel_migration()
            self.writer.unregister_producer()

    def prepare_for_reclaim(self, notice: timedelta) -> None:
        """Schedule a migration shortly before the engine is reclaimed."""
        if self._migration_timer is not None:
            return
        delay = max(notice - MIGRATION_MARGIN, timedelta(0))
        self._migration_timer = self.context.reactor.callLater(
            delay.total_seconds(), self._start_migration
        )

    def suspend(self) -> None:
        """Stop without a final answer; another router resumes the stream."""
        self._stop()

    def _encode_body(self) -> bytes:
        body = dict(self.body)
        body["stream"] = True
        if self.delivered:
            body["resume_from"] = len(self.delivered)
            body["resume_text"] = join_text(self.delivered)
        return json.dumps(body).encode()

    async def _read_stream(self, response: IResponse, attempt_id: str) -> None:
        if response.code != 200:
            await self._read_error_response(response)
            return
        echoed = response.headers.getRawHeaders("x-request-id", [""])[0]
        if echoed != attempt_id:
            raise AttemptError(
                AttemptFailure.BAD_ANSWER, "the answer belongs to another request"
            )
        receiver = BodyReceiver(self._on_data)
        self._receiver = receiver
        response.deliverBody(receiver)
        if self.wants_stream:
            self.writer.start_stream()
            self.writer.register_producer(PausableBody(receiver, self._stall_detector))
        await receiver.ended
        if not self._has_end_event:
            raise AttemptError(
                AttemptFailure.CONNECTION_LOST,
                "the stream ended without its end marker",
            )
        self._complete_response()

    async def _read_error_response(self, response: IResponse) -> None:
        body = await read_body(response, MAX_ERROR_BODY_BYTES)
        if response.headers.getRawHeaders("x-ran", [""])[0] == "not_run":
            raise AttemptError(AttemptFailure.REFUSED, f"status {response.code}")
        is_final = 400 <= response.code < 500 and not self._has_partial_answer()
        if not is_final:
            raise AttemptError(AttemptFailure.BAD_ANSWER, f"status {response.code}")
        self.on_first_byte()
        self.writer.end(Answer(response.code, "application/json", body))

    def _has_partial_answer(self) -> bool:
        return self.writer.is_streaming or bool(self.delivered)

    def _on_data(self, data: bytes) -> None:
        self._stall_detector.reset()
        forwarded: list[bytes] = []
        for event in self._splitter.feed(data):
            error = self._handle_event(event, forwarded)
            if error is not None:
                self._receiver.fail(error)
            if error is not None or self._has_end_event:
                break
        if forwarded and self.wants_stream:
            forwarded.append(b"")
            self.writer.write(EVENT_SEPARATOR.join(forwarded))
        if self._has_end_event:
            self._receiver.finish(self.context.reactor)

    def _handle_event(
        self, event: AnswerEvent, forwarded: list[bytes]
    ) -> AttemptError | None:
        match event:
            case TokenEvent(index, raw):
                return self._handle_token(index, raw, forwarded)
            case EndEvent():
                return self._handle_end()
            case MalformedEvent(reason):
                return AttemptError(AttemptFailure.BAD_ANSWER, reason)

    def _handle_token(
        self, index: int, raw: bytes, forwarded: list[bytes]
    ) -> AttemptError | None:
        if self._attempt_id_bytes not in raw:
            return AttemptError(
                AttemptFailure.BAD_ANSWER, "an event belongs to another request"
            )
        action = self._sequencer.accept(index)
        match action:
            case Deliver():
                self.on_first_byte()
                raw = raw.replace(self._attempt_id_bytes, self._request_id_bytes, 1)
                self.delivered.append(raw)
                forwarded.append(raw)
            case AbortAttempt(reason):
                return AttemptError(AttemptFailure.BAD_ANSWER, reason)
        return None

    def _handle_end(self) -> AttemptError | None:
        action = self._sequencer.accept_end()
        if action is not None:
            return AttemptError(AttemptFailure.BAD_ANSWER, action.reason)
        self._has_end_event = True
        return None

    def _complete_response(self) -> None:
        if self.wants_stream:
            self.writer.end(StreamCompleted())
            return
        self.writer.end(
            build_completion(
                self.request.request_id, self.request_class.service, self.delivered
            )
        )

    async def _check_stall(self) -> None:
        """Abort the attempt if its connection is lost, but not for a slow engine."""
        name = self.assignment.state.rule.name
        attempt = self._current_attempt
        tokens = await self._api.token_count(self.attempt_id())
        if tokens is None and not await self.context.health.is_alive(name):
            error = AttemptError(
                AttemptFailure.CONNECTION_LOST, "no response on a new connection"
            )
        elif tokens is None:
            error = AttemptError(
                AttemptFailure.CONNECTION_STALLED,
                "the request is unknown to the engine",
            )
        elif tokens > len(self.delivered) + MAX_TOKENS_IN_TRANSIT:
            error = AttemptError(
                AttemptFailure.CONNECTION_STALLED, "generated tokens do not arrive"
            )
        else:
            log_event("slow", request=self.request.request_id, upstream=name)
            return
        if attempt is self._current_attempt:
            self.context.upstream_clients.get(name).close_idle()
            if tokens is not None:
                await self._api.cancel(self.attempt_id())
            self.abort_attempt(error)

    def _start_migration(self) -> None:
        self._migration_timer = None
        migrated = defer.Deferred.fromCoroutine(self._migrate())
        migrated.addErrback(lambda failure: None)

    async def _migrate(self) -> None:
        """Export the cache and abort the attempt; the retry imports the cache."""
        attempt = self._current_attempt
        if attempt is None or attempt.called or self.is_finished:
            return
        self._exported_cache = await self._api.export_cache(self.attempt_id())
        if attempt is self._current_attempt:
            error = AttemptError(
                AttemptFailure.RECLAIMED, "the engine is being reclaimed"
            )
            self.abort_attempt(error)

    async def _import_cache(self, attempt_id: str) -> None:
        if self._exported_cache is not None:
            exported, self._exported_cache = self._exported_cache, None
            await self._api.import_cache(attempt_id, exported)

    def _cancel_migration(self) -> None:
        if self._migration_timer is not None and self._migration_timer.active():
            self._migration_timer.cancel()
        self._migration_timer = None
