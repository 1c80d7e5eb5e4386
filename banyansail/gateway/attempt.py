"""Carries one attempt at one upstream over a connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet import defer

from banyansail.exceptions import ConnectFailedError
from banyansail.gateway.attempts import Answered, Broken, NotSent, Outcome
from banyansail.gateway.events import EventReader, StreamEvent
from banyansail.platform.calls import decode_reply

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.gateway.messages import HeaderList, ReplyHead
    from banyansail.upstreams.connection import HttpConnection
    from banyansail.upstreams.pool import ConnectionPool

MAX_ANSWER_BYTES = 16 * 1024**2


class StreamSink(Protocol):
    """Takes the events of a stream as they come."""

    def event_received(self, head: ReplyHead, event: StreamEvent) -> None:
        """Take a whole event."""


class Attempt:
    """Sends a request to one upstream and collects its answer.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to the upstream.
    attempt_id : str
        Identity that the answer repeats; an answer with another one is skipped.
    sink : StreamSink or None
        Takes the events of a successful stream; ``None`` collects the whole body.
    on_first_byte : callable
        Called once with the answer's head.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        attempt_id: str,
        sink: StreamSink | None,
        on_first_byte: Callable[[ReplyHead], None],
    ) -> None:
        self._pool = pool
        self._attempt_id = attempt_id
        self._sink = sink
        self._on_first_byte = on_first_byte
        self._connection: HttpConnection | None = None
        self._done: defer.Deferred[Outcome] | None = None
        self._head: ReplyHead | None = None
        self._body = bytearray()
        self._reader = EventReader()
        self.is_sent = False

    async def run(
        self, method: bytes, target: bytes, headers: HeaderList, body: bytes
    ) -> Outcome:
        """Send the request and wait for the end of its answer."""
        connection = self._pool.pop_idle()
        if connection is None:
            try:
                connection = await self._pool.connect()
            except ConnectFailedError as error:
                return NotSent(error.message)
        self._connection = connection
        self._done = defer.Deferred()
        self.is_sent = True
        connection.send_request(method, target, headers, body, self)
        try:
            return await self._done
        except defer.CancelledError:
            connection.abort()
            raise

    def give_up(self, reason: str) -> None:
        """End the attempt; the upstream sees its connection close."""
        if self._connection is not None:
            self._connection.abort()
        self._end(Broken(reason))

    def is_own_answer(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        """Tell whether an answer is that of this attempt."""
        head = decode_reply(status, b"", headers)
        return not head.attempt_id or head.attempt_id == self._attempt_id

    def head_received(
        self, status: int, reason: bytes, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Take the head of the answer."""
        self._head = decode_reply(status, reason, headers)
        if self._sink is None or status >= 300:
            self._sink = None
            self._on_first_byte(self._head)

    def body_received(self, data: bytes) -> None:
        """Take a piece of the body."""
        if self._sink is None:
            self._body += data
            if len(self._body) > MAX_ANSWER_BYTES:
                self.give_up(f"the answer has more than {MAX_ANSWER_BYTES} bytes")
            return
        try:
            events = self._reader.feed(data)
        except ValueError as error:
            self.give_up(str(error))
            return
        for event in events:
            self._pass_on(event)

    def answer_complete(self) -> None:
        """Take note that the answer is whole."""
        if self._sink is not None and self._reader.has_rest:
            self._end(Broken("the stream ended within an event"))
            return
        self._end(Answered(self._head, bytes(self._body)))

    def exchange_failed(self, reason: str) -> None:
        """Take note that the connection broke."""
        self._end(Broken(reason))

    def _pass_on(self, event: StreamEvent) -> None:
        first, self._on_first_byte = self._on_first_byte, _ignore
        first(self._head)
        self._sink.event_received(self._head, event)

    def _end(self, outcome: Outcome) -> None:
        if self._done is not None and not self._done.called:
            self._done.callback(outcome)


def _ignore(head: Any) -> None:
    """Do nothing: the first byte was reported before."""
