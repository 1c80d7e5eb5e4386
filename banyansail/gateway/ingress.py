"""HTTP of callers: reads whole requests, hands them on, writes their answers."""

from __future__ import annotations

import io
import json
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.web import http

from banyansail.gateway.request_types import Cause, Rejection
from banyansail.upstreams.connection import set_socket_timeouts

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.gateway.request_types import ReplyHead

MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 8 * 1024**2  # whatever the operators allow
IDLE_MARGIN_S = 2.0  # kept open longer than callers are told
START_IDLE_S = 17.0


class GatewayRequest(http.Request):
    """A request whose body is held in memory."""

    def gotLength(self, length: int | None) -> None:
        """Prepare for the body; Twisted's own version would use a file."""
        self.content = io.BytesIO()
        if length is not None and length > MAX_BODY_BYTES:
            self._refuse_body()

    def handleContentChunk(self, data: bytes) -> None:
        """Take in a piece of the body."""
        if self.content.tell() + len(data) > MAX_BODY_BYTES:
            self._refuse_body()
            return
        super().handleContentChunk(data)

    def process(self) -> None:
        """Hand a whole request on."""
        self.channel.factory.handle(self)

    def _refuse_body(self) -> None:
        if self.channel is not None:
            self.channel.transport.write(
                b"HTTP/1.1 413 Payload Too Large\r\n"
                b"connection: close\r\ncontent-length: 0\r\n\r\n"
            )
            self.channel.transport.loseConnection()


class HttpPort:
    """Writes the answer to one request, once.

    Parameters
    ----------
    request : GatewayRequest
        Twisted's request.
    is_leaving : callable
        Whether callers should connect elsewhere for their next request.
    """

    __slots__ = ("_is_leaving", "_is_over", "_request")

    def __init__(self, request: GatewayRequest, is_leaving: Callable[[], bool]) -> None:
        self._request = request
        self._is_leaving = is_leaving
        self._is_over = False

    def answer(self, head: ReplyHead, body: bytes) -> None:
        """Give an upstream's whole answer."""
        if self._is_gone():
            return
        self._begin(head)
        if not _has_no_body(head.status, self._request.method):
            self._request.setHeader(b"content-length", b"%d" % len(body))
        self._request.write(body)
        self._finish()

    def begin_stream(self, head: ReplyHead) -> None:
        """Begin a streamed answer."""
        if not self._is_gone():
            self._begin(head)

    def write(self, data: bytes) -> None:
        """Write a piece of a streamed answer."""
        if not self._is_gone():
            self._request.write(data)

    def end_stream(self) -> None:
        """End a streamed answer."""
        if not self._is_gone():
            self._finish()

    def break_off(self) -> None:
        """Close the connection, so that the answer does not look complete."""
        if not self._is_gone():
            self._is_over = True
            self._request.channel.transport.abortConnection()

    def reject(self, rejection: Rejection) -> None:
        """Give the router's own final answer."""
        if self._is_gone():
            return
        body = json.dumps(
            {"error": {"code": rejection.cause.value, "message": rejection.detail}}
        ).encode()
        request = self._request
        request.setResponseCode(rejection.status)
        request.setHeader(b"content-type", b"application/json")
        if rejection.retry_after is not None:
            seconds = rejection.retry_after.total_seconds()
            request.setHeader(b"retry-after", b"%.3f" % seconds)
        request.setHeader(b"content-length", b"%d" % len(body))
        self._close_if_leaving()
        request.write(body)
        self._finish()

    def _begin(self, head: ReplyHead) -> None:
        request = self._request
        request.setResponseCode(head.status, head.reason or None)
        for name, value in head.headers:
            request.responseHeaders.addRawHeader(name, value)
        self._close_if_leaving()

    def _close_if_leaving(self) -> None:
        if self._is_leaving():
            self._request.setHeader(b"connection", b"close")
            self._request.channel.persistent = False

    def _finish(self) -> None:
        self._is_over = True
        self._request.finish()

    def _is_gone(self) -> bool:
        return self._is_over or self._request.channel is None


def _has_no_body(status: int, method: bytes) -> bool:
    return method == b"HEAD" or status in http.NO_BODY_CODES


class GatewayChannel(http.HTTPChannel):
    """A connection of a caller."""

    requestFactory = GatewayRequest
    totalHeadersSize = MAX_HEADER_BYTES

    def connectionMade(self) -> None:
        """Make a silent connection show itself."""
        super().connectionMade()
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        set_socket_timeouts(self.transport.getHandle())
        self.factory.channels.add(self)

    def connectionLost(self, reason: Any) -> None:
        """Take note that the connection is gone."""
        self.factory.channels.discard(self)
        super().connectionLost(reason)

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return not self.requests


class GatewayFactory(http.HTTPFactory):
    """Accepts the connections of callers.

    Parameters
    ----------
    handle : callable
        Takes each whole request.
    """

    noisy = False
    protocol = GatewayChannel

    def __init__(self, reactor: Any, handle: Callable[[GatewayRequest], None]) -> None:
        super().__init__(timeout=START_IDLE_S, reactor=reactor)
        self.handle = handle
        self.channels: set[GatewayChannel] = set()

    def close_idle(self) -> None:
        """Close the connections that carry no request now."""
        for channel in list(self.channels):
            if channel.is_idle:
                channel.loseConnection()

    def set_idle_time(self, idle_time: timedelta) -> None:
        """Keep idle connections of callers open for a time."""
        self.timeOut = idle_time.total_seconds() + IDLE_MARGIN_S

    def startFactory(self) -> None:
        """Start without an access log; decisions are logged instead."""

    def stopFactory(self) -> None:
        """Stop; there is no access log to close."""

    def log(self, request: http.Request) -> None:
        """Write no access log."""


class ReadyRequest(http.Request):
    """Answers the balancer's question whether this router takes callers."""

    def process(self) -> None:
        """Answer 200 or 503."""
        is_ready = self.channel.factory.handle()
        self.setResponseCode(200 if is_ready else 503)
        self.setHeader(b"content-length", b"0")
        self.finish()


class ReadyChannel(http.HTTPChannel):
    """A connection of the balancer."""

    requestFactory = ReadyRequest


class ReadyFactory(GatewayFactory):
    """Accepts the connections of the balancer."""

    protocol = ReadyChannel


NOT_CONFIGURED = Rejection(
    503, Cause.NO_CONFIG, "no configuration is known yet", timedelta(milliseconds=500)
)
STOPPING = Rejection(
    503, Cause.STOPPING, "this router stops", timedelta(milliseconds=50)
)
