"""One HTTP/1.1 connection to a server; it carries one exchange at a time.

The parser is h11's, as Twisted's client drops bytes that follow an answer: an answer
that belongs to an earlier request must be told apart and skipped.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any, Protocol

import h11
from twisted.internet import protocol
from twisted.internet.error import ConnectionDone

if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    from twisted.python.failure import Failure

    from banyansail.clock import Clock

USER_TIMEOUT_MS = 1500  # for bytes that the other side does not acknowledge
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_HEAD_BYTES = 64 * 1024


class Receiver(Protocol):
    """Takes the answer of one exchange."""

    def is_answer(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        """Tell whether an answer belongs to the exchange."""

    def head_received(
        self, status: int, reason: bytes, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Take the head."""

    def body_received(self, data: bytes) -> None:
        """Take a piece of the body."""

    def answer_complete(self) -> None:
        """Take note that the answer is whole."""

    def exchange_failed(self, reason: str) -> None:
        """Take note that no more will come."""


class HttpConnection(protocol.Protocol):
    """A client's connection.

    Parameters
    ----------
    clock : Clock
        Source of time.
    on_idle, on_closed : callable
        Called with the connection once it can carry another exchange, or never
        again.
    """

    def __init__(
        self,
        clock: Clock,
        on_idle: Callable[[HttpConnection], None],
        on_closed: Callable[[HttpConnection], None],
    ) -> None:
        self._clock = clock
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._parser = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._receiver: Receiver | None = None
        self._request: h11.Request | None = None
        self._is_skipping = False
        self._must_close = False
        self.is_closed = False
        self.idle_since: timedelta = clock.monotonic()
        self.keep_alive_s: float | None = None

    def connectionMade(self) -> None:
        """Make a silent connection show itself."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        set_timeouts(self.transport.getHandle())

    @property
    def is_busy(self) -> bool:
        """Whether an exchange is in progress."""
        return self._receiver is not None

    def start(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        receiver: Receiver,
    ) -> None:
        """Send a request."""
        self._receiver = receiver
        self._request = h11.Request(method=method, target=target, headers=headers)
        data = self._parser.send(self._request)
        if body:
            data += self._parser.send(h11.Data(data=body))
        data += self._parser.send(h11.EndOfMessage())
        self.transport.write(data)

    def abort(self) -> None:
        """Give the exchange and the connection up."""
        self._receiver = None
        self._close()

    def close(self) -> None:
        """Close an idle connection."""
        self._close()

    def dataReceived(self, data: bytes) -> None:
        """Parse what came; bytes without a request end the connection."""
        if self._receiver is None:
            self._close()
            return
        self._parser.receive_data(data)
        self._read_events()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """End the exchange; an answer without a length ends so."""
        if self._receiver is not None and reason.check(ConnectionDone):
            try:
                self._parser.receive_data(b"")
            except RuntimeError:  # its end was seen before
                pass
            self._must_close = True
            self._read_events()
        self._fail(reason.getErrorMessage())
        self._note_closed()

    def _read_events(self) -> None:
        while self._receiver is not None:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                self._fail(f"no valid answer: {error}")
                self._close()
                return
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            self._handle(event)

    def _handle(self, event: Any) -> None:
        match event:
            case h11.Response():
                self._take_head(event)
            case h11.Data() if not self._is_skipping:
                self._receiver.body_received(bytes(event.data))
            case h11.EndOfMessage() if self._is_skipping:
                self._expect_next_answer()
            case h11.EndOfMessage():
                self._finish()
            case h11.ConnectionClosed():
                self._fail("the connection was closed")
                self._close()

    def _take_head(self, event: h11.Response) -> None:
        headers = event.headers.raw_items()
        self._is_skipping = not self._receiver.is_answer(event.status_code, headers)
        if self._is_skipping:
            self._must_close = True
            return
        self.keep_alive_s = read_keep_alive(headers)
        self._receiver.head_received(event.status_code, event.reason, headers)

    def _expect_next_answer(self) -> None:
        """Parse on after an answer to another request."""
        rest, is_closed = self._parser.trailing_data
        self._is_skipping = False
        if is_closed:
            self._fail("the connection was closed after an answer to another request")
            return
        self._parser = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._parser.send(h11.Request(method=b"GET", target=b"/", headers=[HOST]))
        self._parser.send(h11.EndOfMessage())
        if rest:
            self._parser.receive_data(rest)

    def _finish(self) -> None:
        receiver, self._receiver = self._receiver, None
        has_more = bool(self._parser.trailing_data[0])
        if self._must_close or has_more or self._parser.their_state is not h11.DONE:
            self._close()
        else:
            self._parser.start_next_cycle()
            self.idle_since = self._clock.monotonic()
        receiver.answer_complete()
        if not self.is_closed and self._receiver is None:
            self._on_idle(self)

    def _fail(self, reason: str) -> None:
        receiver, self._receiver = self._receiver, None
        if receiver is not None:
            receiver.exchange_failed(reason)

    def _close(self) -> None:
        if self.transport is not None and not self.is_closed:
            self.transport.abortConnection()
        self._note_closed()

    def _note_closed(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self._on_closed(self)


HOST = (b"host", b"-")


def set_timeouts(handle: socket.socket) -> None:
    """Make the kernel end a connection whose other side is gone."""
    for option, value in (
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)


def read_keep_alive(headers: list[tuple[bytes, bytes]]) -> float | None:
    """Return for how many seconds the server keeps an idle connection open."""
    for name, value in headers:
        if name.lower() != b"keep-alive":
            continue
        for item in value.split(b","):
            key, _, number = item.strip().partition(b"=")
            if key.lower() == b"timeout" and number.strip().isdigit():
                return float(number)
    return None
