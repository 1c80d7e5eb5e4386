"""HTTP/1.1 client connection that carries one exchange at a time.

It uses h11 because Twisted's client discards bytes that follow an answer, whereas an
answer to an earlier request must be recognised and skipped here.
"""

from __future__ import annotations

import socket
from datetime import timedelta
from typing import TYPE_CHECKING, Any, Protocol

import h11
from twisted.internet import protocol
from twisted.internet.error import ConnectionDone

from banyansail.upstreams.answered_ids import AnsweredIds

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from banyansail.clock import Clock

# Of a peer that acknowledges neither sent bytes nor keep-alive probes. Linux ends an
# idle connection by this time too, whatever the number of probes.
MAX_SILENCE = timedelta(milliseconds=1500)
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_HEAD_BYTES = 64 * 1024
# A faulty peer may send these without end; parsing them costs processor time.
MAX_INTERIM_ANSWERS = 16
MAX_SKIPPED_BYTES = 1024**2


class AnswerReceiver(Protocol):
    """Receiver of the answer of one exchange."""

    def is_own_answer(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        """Return whether an answer belongs to the exchange."""

    def head_received(
        self, status: int, reason: bytes, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Handle the status line and the headers."""

    def body_received(self, data: bytes) -> None:
        """Handle a chunk of the body."""

    def answer_complete(self) -> None:
        """Handle the end of a complete answer."""

    def exchange_failed(self, reason: str) -> None:
        """Handle the end of the exchange without a complete answer."""


class HttpConnection(protocol.Protocol):
    """Client side of a connection.

    Parameters
    ----------
    clock : Clock
        Source of time.
    on_idle : callable
        Called with the connection when it can carry another exchange.
    on_closed : callable
        Called with the connection when it is closed.
    max_silence : timedelta
        Time after which a peer that acknowledges nothing is taken for dead.
    """

    def __init__(
        self,
        clock: Clock,
        on_idle: Callable[[HttpConnection], None],
        on_closed: Callable[[HttpConnection], None],
        max_silence: timedelta = MAX_SILENCE,
    ) -> None:
        self._clock = clock
        self._max_silence = max_silence
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._parser = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._receiver: AnswerReceiver | None = None
        self._request: h11.Request | None = None
        self._is_skipping_answer = False
        self._interim_count = 0
        self._skipped_bytes = 0
        self._must_close = False
        self.is_closed = False
        # Whether an answer has begun before; bytes that follow it belong to no request.
        self.has_answered = False
        self.answered_ids = AnsweredIds()
        self.idle_since: timedelta = clock.monotonic()
        self.keep_alive_s: float | None = None

    def connectionMade(self) -> None:
        """Set socket timeouts, so that a dead peer is detected."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        set_socket_timeouts(self.transport.getHandle(), self._max_silence)

    @property
    def is_busy(self) -> bool:
        """Whether an exchange is in progress."""
        return self._receiver is not None

    def send_request(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        receiver: AnswerReceiver,
    ) -> None:
        """Send a request."""
        self._receiver = receiver
        self._interim_count = self._skipped_bytes = 0
        self._request = h11.Request(method=method, target=target, headers=headers)
        data = self._parser.send(self._request)
        if body:
            data += self._parser.send(h11.Data(data=body))
        data += self._parser.send(h11.EndOfMessage())
        self.transport.write(data)

    def record_answer(self, request_id: str, *, is_success: bool) -> None:
        """Record that a request was answered; close if no further id can be kept."""
        self.answered_ids.add(request_id, is_success=is_success)
        if self.answered_ids.is_full:
            self._close()

    def abort(self) -> None:
        """Close the connection and drop the exchange without notifying its receiver."""
        self._receiver = None
        self._close()

    def close(self) -> None:
        """Close an idle connection."""
        self._close()

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes; close the connection if no request is in flight."""
        if self._receiver is None:
            self._close()
            return
        self._parser.receive_data(data)
        self._read_events()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """End the exchange; the close also ends an answer without a length."""
        if self._receiver is not None and reason.check(ConnectionDone):
            try:
                self._parser.receive_data(b"")
            except RuntimeError:  # the parser has seen the end before
                pass
            self._must_close = True
            self._read_events()
        self._fail_exchange(reason.getErrorMessage())
        self._report_closed()

    def _read_events(self) -> None:
        while self._receiver is not None:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                self._give_up(f"invalid answer: {error}")
                return
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            self._handle_event(event)

    def _handle_event(self, event: Any) -> None:
        match event:
            case h11.InformationalResponse():
                self._interim_count += 1
                if self._interim_count > MAX_INTERIM_ANSWERS:
                    self._give_up("too many interim answers")
            case h11.Response():
                self._receive_head(event)
            case h11.Data() if self._is_skipping_answer:
                self._skipped_bytes += len(event.data)
                if self._skipped_bytes > MAX_SKIPPED_BYTES:
                    self._give_up("an answer to another request does not end")
            case h11.Data():
                self._receiver.body_received(bytes(event.data))
            case h11.EndOfMessage() if self._is_skipping_answer:
                self._expect_next_answer()
            case h11.EndOfMessage():
                self._complete_exchange()
            case h11.ConnectionClosed():
                self._give_up("the connection was closed")

    def _receive_head(self, event: h11.Response) -> None:
        headers = event.headers.raw_items()
        self._is_skipping_answer = not self._receiver.is_own_answer(
            event.status_code, headers
        )
        self.has_answered = True
        if self._is_skipping_answer:
            self._must_close = True
            return
        self.keep_alive_s = parse_keep_alive(headers)
        self._receiver.head_received(event.status_code, event.reason, headers)

    def _give_up(self, reason: str) -> None:
        self._fail_exchange(reason)
        self._close()

    def _expect_next_answer(self) -> None:
        """Restart the parser after a skipped answer to another request.

        h11 parses an answer only after a request, so the new parser is given a
        placeholder request that is not sent. Its method tells whether a body follows.
        """
        remaining, is_closed = self._parser.trailing_data
        self._is_skipping_answer = False
        if is_closed:
            self._fail_exchange(
                "the connection was closed after an answer to another request"
            )
            return
        self._parser = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._parser.send(
            h11.Request(
                method=self._request.method, target=b"/", headers=[PLACEHOLDER_HOST]
            )
        )
        self._parser.send(h11.EndOfMessage())
        if remaining:
            self._parser.receive_data(remaining)

    def _complete_exchange(self) -> None:
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

    def _fail_exchange(self, reason: str) -> None:
        receiver, self._receiver = self._receiver, None
        if receiver is not None:
            receiver.exchange_failed(reason)

    def _close(self) -> None:
        if self.transport is not None and not self.is_closed:
            self.transport.abortConnection()
        self._report_closed()

    def _report_closed(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self._on_closed(self)


PLACEHOLDER_HOST = (b"host", b"-")


def set_socket_timeouts(
    handle: socket.socket, max_silence: timedelta = MAX_SILENCE
) -> None:
    """Make the kernel close a connection whose peer no longer responds."""
    for option, value in (
        (socket.TCP_USER_TIMEOUT, max_silence // timedelta(milliseconds=1)),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)


def parse_keep_alive(headers: list[tuple[bytes, bytes]]) -> float | None:
    """Return the keep-alive timeout of the server in seconds, if it sent one."""
    for name, value in headers:
        if name.lower() != b"keep-alive":
            continue
        for item in value.split(b","):
            key, _, number = item.strip().partition(b"=")
            if key.lower() == b"timeout" and number.strip().isdigit():
                return float(number)
    return None
