"""One attempt of a request at one upstream, over a connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet import defer

from banyansail.exceptions import ConnectFailedError
from banyansail.gateway.decisions.responses.retry_policy import (
    Answered,
    Incomplete,
    NotSent,
    Outcome,
)
from banyansail.gateway.requests.events import EventParser, StreamEvent, may_follow
from banyansail.platform.calls import decode_reply
from banyansail.upstreams.body_end import NO_BODY_STATUSES, BodyEnd, expected_end

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.gateway.request_types import HeaderList, ReplyHead
    from banyansail.gateway.requests.byte_budget import ByteBudget
    from banyansail.upstreams.connection import HttpConnection
    from banyansail.upstreams.pool import ConnectionPool

MAX_ANSWER_BYTES = 16 * 1024**2
# Each piece costs processor time, however small it is.
MAX_BODY_PIECES = 16 * 1024
MAX_EVENT_PIECES = 4 * 1024


class StreamSink(Protocol):
    """Receiver of the events of a stream, as they arrive."""

    def event_received(self, head: ReplyHead, event: StreamEvent) -> None:
        """Process a complete event."""


class Attempt:
    """One attempt: sends a request to an upstream and receives the answer.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to the upstream.
    attempt_id : str
        Id that the answer repeats; an answer with another id is skipped.
    is_id_repeated : bool
        Whether all answers of the server repeat the id, so that one without an id is
        skipped too. The first answer on a connection may lack it, as nothing but the
        request can have caused that.
    sink : StreamSink or None
        Receiver of a successful stream's events; with ``None``, the body is buffered.
    on_head : callable
        Called with the answer's head on its arrival.
    on_first_byte : callable
        Called once with the answer's head; for a stream, at its first event.
    budget : ByteBudget
        Bytes that all attempts together may buffer.
    last_event_id : str
        Id of the last event that the caller has of a stream that is continued; empty
        for an answer that begins anew.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        attempt_id: str,
        sink: StreamSink | None,
        on_head: Callable[[ReplyHead], None],
        on_first_byte: Callable[[ReplyHead], None],
        budget: ByteBudget,
        last_event_id: str = "",
        *,
        is_id_repeated: bool = True,
    ) -> None:
        self._pool = pool
        self._attempt_id = attempt_id
        self._is_id_repeated = is_id_repeated
        self._sink = sink
        self._on_head = on_head
        self._on_first_byte = on_first_byte
        self._connection: HttpConnection | None = None
        self._done: defer.Deferred[Outcome] | None = None
        self._head: ReplyHead | None = None
        self._budget = budget
        self._last_event_id = last_event_id
        self._body = bytearray()
        self._parser = EventParser()
        self._stream_bytes = 0
        self._piece_count = 0  # of the body, or of the present event
        self._has_events = False
        self._method = b""

    async def run(
        self, method: bytes, target: bytes, headers: HeaderList, body: bytes
    ) -> Outcome:
        """Send the request and return its outcome once the answer has ended."""
        # On a used connection, an answer without an id may be a foreign one.
        can_reuse = bool(self._attempt_id) or not self._is_id_repeated
        connection = self._pool.pop_idle(self._attempt_id) if can_reuse else None
        if connection is None:
            try:
                connection = await self._pool.connect()
            except ConnectFailedError as error:
                return NotSent(error.message)
        self._connection = connection
        self._done = defer.Deferred()
        self._method = method
        connection.send_request(method, target, headers, body, self)
        try:
            return await self._done
        except defer.CancelledError:
            connection.abort()
            raise
        finally:
            self._budget.give_back(len(self._body))

    def abort(self, reason: str, *, is_timeout: bool = False) -> None:
        """End the attempt; close its connection, so that the upstream stops working."""
        if self._connection is not None:
            self._connection.abort()
        self._finish(Incomplete(reason, is_timeout))

    def is_own_answer(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        """Return whether an answer belongs to this attempt."""
        attempt_id = decode_reply(status, b"", headers).attempt_id
        if attempt_id:
            return attempt_id == self._attempt_id
        return not (self._is_id_repeated and self._connection.has_answered)

    def head_received(
        self, status: int, reason: bytes, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Process the head of the answer."""
        end = expected_end(self._method, status, headers)
        self._head = decode_reply(status, reason, headers, end)
        self._on_head(self._head)
        if self._sink is None or not self._head.is_success:
            self._sink = None
            self._on_first_byte(self._head)

    def body_received(self, data: bytes) -> None:
        """Process a chunk of the body."""
        self._piece_count += 1
        if self._sink is None:
            self._buffer(data)
            return
        self._stream_bytes += len(data)
        if self._stream_bytes > MAX_ANSWER_BYTES:
            self.abort(f"the stream is larger than {MAX_ANSWER_BYTES} bytes")
            return
        try:
            events = self._parser.feed(data)
        except ValueError as error:
            self.abort(str(error))
            return
        for event in events:
            if not may_follow(event.id, self._last_event_id):
                self.abort(f"event {event.id} follows {self._last_event_id}")
                return
            self._piece_count = 0
            self._forward_event(event)
        if self._piece_count > MAX_EVENT_PIECES:
            self.abort(f"an event has more than {MAX_EVENT_PIECES} pieces")

    def _buffer(self, data: bytes) -> None:
        if len(self._body) + len(data) > MAX_ANSWER_BYTES:
            self.abort(f"the answer is larger than {MAX_ANSWER_BYTES} bytes")
        elif self._piece_count > MAX_BODY_PIECES:
            self.abort(f"the answer has more than {MAX_BODY_PIECES} pieces")
        elif not self._budget.take(len(data)):
            self.abort("too many bytes of answers are buffered")
        else:
            self._body += data

    def answer_complete(self) -> None:
        """End the attempt with a complete answer."""
        reason = None if self._sink is None else self._stream_fault()
        is_success = self._head.is_success and reason is None
        self._connection.record_answer(self._attempt_id, is_success=is_success)
        if reason is not None:
            self._finish(Incomplete(reason))
            return
        self._finish(Answered(self._head, bytes(self._body)))

    def _stream_fault(self) -> str | None:
        """Return why a stream that has ended is not complete."""
        if self._head.status in NO_BODY_STATUSES:
            return f"the status of the stream was {self._head.status}"
        if self._parser.has_partial_event:
            return "the stream ended in the middle of an event"
        if self._has_events:
            return None
        if self._head.end is BodyEnd.CLOSE:
            return "the stream ended before its first event"
        if self._last_event_id:
            return "the continuation of the stream has no event"
        return None

    def exchange_failed(self, reason: str) -> None:
        """End the attempt after a connection failure."""
        self._finish(Incomplete(reason))

    def _forward_event(self, event: StreamEvent) -> None:
        self._has_events = True
        on_first_byte, self._on_first_byte = self._on_first_byte, _ignore
        on_first_byte(self._head)
        self._sink.event_received(self._head, event)

    def _finish(self, outcome: Outcome) -> None:
        if self._done is not None and not self._done.called:
            self._done.callback(outcome)


def _ignore(head: Any) -> None:
    """Replace `on_first_byte` after its only call."""
