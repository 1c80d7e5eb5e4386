"""HTTP server for callers; buffers whole requests."""

from __future__ import annotations

import io
import socket
import struct
from typing import TYPE_CHECKING, Any

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.python.failure import Failure
from twisted.web import http
from zope.interface import implementer

from banyansail.gateway.site import CallerLimits
from banyansail.log import log_event
from banyansail.upstreams.connection import set_socket_timeouts

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_HEADER_BYTES = 64 * 1024
MAX_BUFFERED_BODY_BYTES = 8 * 1024**2  # whatever limit is configured
IDLE_TIMEOUT_MARGIN_S = 2.0  # connections stay open beyond the published timeout
# Until a configuration is applied: the default timeout of 15 s plus the margin.
INITIAL_IDLE_TIMEOUT_S = 17.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for 0 s
SEND_ON_CLOSE = struct.pack("ii", 0, 0)  # SO_LINGER: off


class GatewayRequest(http.Request):
    """A request whose body is buffered in memory."""

    _is_rejected = False

    def gotLength(self, length: int | None) -> None:
        """Prepare the body buffer; Twisted's version may use a temporary file."""
        self.content = io.BytesIO()
        if length is not None and length > self._max_body_bytes:
            self._reject_oversized_body()

    def handleContentChunk(self, data: bytes) -> None:
        """Append a chunk of the body, unless it is or becomes too large."""
        if self._is_rejected:
            return
        if self.content.tell() + len(data) > self._max_body_bytes:
            self._reject_oversized_body()
            return
        super().handleContentChunk(data)

    def process(self) -> None:
        """Pass the request to the factory's handler if its body is complete."""
        if not self._is_rejected:
            self.channel.factory.handle(self)

    def start_unframed(self) -> None:
        """Write the head of a response that ends by the close of its connection."""
        self.setHeader(b"connection", b"close")
        self.channel.persistent = False
        self.startedWriting = 1
        self.channel.writeHeaders(
            self.clientproto, b"%d" % self.code, self.code_message, self.responseHeaders
        )
        self.channel.reset_unless_ended()

    @property
    def accepts_chunks(self) -> bool:
        """Whether the caller can tell the end of a body without a length."""
        return self.clientproto == b"HTTP/1.1"

    @property
    def _max_body_bytes(self) -> int:
        if self.channel is None:
            return MAX_BUFFERED_BODY_BYTES
        return min(self.channel.factory.limits.max_body_bytes, MAX_BUFFERED_BODY_BYTES)

    def _reject_oversized_body(self) -> None:
        self._is_rejected = True
        if self.channel is not None:
            self.channel.reject_and_close(b"413 Payload Too Large")


@implementer(IHalfCloseableProtocol)
class GatewayChannel(http.HTTPChannel):
    """A caller's connection."""

    requestFactory = GatewayRequest
    totalHeadersSize = MAX_HEADER_BYTES

    def __init__(self) -> None:
        super().__init__()
        self._header_timer: Any = None
        self._awaits_headers = True
        self._resets_on_close = False

    def connectionMade(self) -> None:
        """Set TCP options that detect dead connections."""
        super().connectionMade()
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        set_socket_timeouts(self.transport.getHandle())
        self.factory.channels.add(self)

    def connectionLost(self, reason: Any) -> None:
        """Remove the connection from the open ones of its factory."""
        self.factory.channels.discard(self)
        self._stop_header_timer()
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:
        """Process data; headers must be complete some time after their first byte."""
        if self._resets_on_close and self.is_idle:
            return  # the last response of the connection has ended
        if self._awaits_headers and self._header_timer is None:
            self._header_timer = self.factory.reactor.callLater(
                self.factory.limits.header_timeout.total_seconds(),
                self._on_header_timeout,
            )
        super().dataReceived(data)

    def allHeadersReceived(self) -> None:
        """Stop the timer of the headers."""
        self._awaits_headers = False
        self._stop_header_timer()
        super().allHeadersReceived()

    def requestDone(self, request: http.Request) -> None:
        """Wait for the headers of the next request."""
        self._awaits_headers = True
        super().requestDone(request)

    def reset_unless_ended(self) -> None:
        """Let each close of the socket reset the connection, also that by the kernel.

        A response that ends with its connection would otherwise look complete if this
        process ended before it.
        """
        self._resets_on_close = True
        self._set_linger(RESET_ON_CLOSE)

    def loseConnection(self) -> None:
        """Close the connection after the written bytes have been sent."""
        if not self._resets_on_close:
            super().loseConnection()
            return
        # The caller closes the other half; a close with unread bytes would be a reset.
        self._networkProducer.unregisterProducer()
        self.setTimeout(self.timeOut)
        self.transport.loseWriteConnection()

    def writeConnectionLost(self) -> None:
        """Let the kernel send the rest of a response whose end it has been given."""
        self._set_linger(SEND_ON_CLOSE)

    def readConnectionLost(self) -> None:
        """Close the connection; the caller has closed its half and left."""
        self.transport.connectionLost(Failure(ConnectionDone()))

    def _set_linger(self, option: bytes) -> None:
        self.transport.getHandle().setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, option
        )

    def reject_and_close(self, status: bytes) -> None:
        """Answer a request that was not read completely, and close the connection."""
        self.transport.write(
            b"HTTP/1.1 "
            + status
            + b"\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
        )
        self.transport.loseConnection()

    def _on_header_timeout(self) -> None:
        self._header_timer = None
        log_event("headers_incomplete")
        self.reject_and_close(b"408 Request Timeout")

    def _stop_header_timer(self) -> None:
        timer, self._header_timer = self._header_timer, None
        if timer is not None and timer.active():
            timer.cancel()

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress."""
        return not self.requests


class GatewayFactory(http.HTTPFactory):
    """Factory of callers' connections.

    Parameters
    ----------
    handle : callable
        Called with each complete request.
    """

    noisy = False
    protocol = GatewayChannel

    def __init__(self, reactor: Any, handle: Callable[[GatewayRequest], None]) -> None:
        super().__init__(timeout=INITIAL_IDLE_TIMEOUT_S, reactor=reactor)
        self.handle = handle
        self.channels: set[GatewayChannel] = set()
        self.limits = CallerLimits()

    def close_idle_connections(self) -> None:
        """Close the connections without a request in progress."""
        for channel in list(self.channels):
            if channel.is_idle:
                channel.loseConnection()

    def set_limits(self, limits: CallerLimits) -> None:
        """Set the limits of requests, and the idle timeout of new connections."""
        self.limits = limits
        self.timeOut = limits.idle_timeout.total_seconds() + IDLE_TIMEOUT_MARGIN_S

    def startFactory(self) -> None:
        """Start without an access log; routing decisions are logged instead."""

    def stopFactory(self) -> None:
        """Stop; no access log to close."""

    def log(self, request: http.Request) -> None:
        """Write no access log."""
