"""HTTP server for callers with bounded connections, headers and bodies."""

from __future__ import annotations

import io
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import Request, Site

MAX_BODY_BYTES = 2 * 1024**2
MAX_HEADER_BYTES = 16 * 1024
IDLE_TIMEOUT_S = 60
BODY_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 413 Payload Too Large\r\n"
    b"content-type: application/json\r\nx-ran: not_run\r\nconnection: close\r\n"
    b"content-length: 64\r\n\r\n"
    b'{"error":{"code":"body_too_large","message":"","ran":"not_run"}}'
)


class BoundedRequest(Request):
    """A request whose body is kept in memory and has a maximum size."""

    _is_rejected = False

    def gotLength(self, length: int | None) -> None:
        """Prepare for the body; Twisted's implementation would write it to a file."""
        self.content = io.BytesIO()
        if length is not None and length > MAX_BODY_BYTES:
            self._reject()

    def handleContentChunk(self, data: bytes) -> None:
        """Store a chunk of the body, or reject the request if it becomes too large."""
        if self._is_rejected:
            return
        if self.content.tell() + len(data) > MAX_BODY_BYTES:
            self._reject()
            return
        super().handleContentChunk(data)

    def process(self) -> None:
        """Process the request unless it was rejected, as its body is incomplete."""
        if not self._is_rejected:
            super().process()

    def _reject(self) -> None:
        self._is_rejected = True
        if self.channel is not None:
            self.channel.transport.write(BODY_TOO_LARGE_RESPONSE)
            self.channel.transport.loseConnection()


class BoundedSite(Site):
    """HTTP site with a maximum number of connections.

    Parameters
    ----------
    resource : Resource
        Resource that serves the requests.
    max_connections : int
        Maximum number of concurrent connections.
    """

    def __init__(self, resource: Resource, max_connections: int) -> None:
        super().__init__(resource, BoundedRequest, timeout=IDLE_TIMEOUT_S)
        self.displayTracebacks = False
        self._max_connections = max_connections
        self.connection_count = 0

    def buildProtocol(self, addr: Any) -> Any:
        """Build the protocol of a connection; ``None`` closes one beyond the limit."""
        if self.connection_count >= self._max_connections:
            return None
        wrapper = super().buildProtocol(addr)
        channel = getattr(wrapper, "_channel", wrapper)
        channel.totalHeadersSize = MAX_HEADER_BYTES
        self.connection_count += 1
        original_connection_lost = wrapper.connectionLost

        def connection_lost(*args: Any) -> None:
            self.connection_count -= 1
            original_connection_lost(*args)

        wrapper.connectionLost = connection_lost
        return wrapper

    def log(self, request: Request) -> None:
        """Write no access log; the decision log covers requests."""
