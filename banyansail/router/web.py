"""HTTP server for callers: bounded connections, headers and bodies, no disk."""

from __future__ import annotations

import io
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import Request, Site

MAX_BODY_BYTES = 2 * 1024**2
MAX_HEADERS_BYTES = 16 * 1024
IDLE_TIMEOUT_S = 60
TOO_LARGE = (
    b"HTTP/1.1 413 Payload Too Large\r\n"
    b"content-type: application/json\r\nx-ran: not_run\r\nconnection: close\r\n"
    b"content-length: 64\r\n\r\n"
    b'{"error":{"code":"body_too_large","message":"","ran":"not_run"}}'
)


class BoundedRequest(Request):
    """A request whose body is held in memory and may not pass a size."""

    def gotLength(self, length: int | None) -> None:
        """Prepare for the body; Twisted's own version would use a file."""
        self.content = io.BytesIO()
        if length is not None and length > MAX_BODY_BYTES:
            self._reject()

    def handleContentChunk(self, data: bytes) -> None:
        """Take in a piece of the body."""
        if self.content.tell() + len(data) > MAX_BODY_BYTES:
            self._reject()
            return
        super().handleContentChunk(data)

    def _reject(self) -> None:
        if self.channel is not None:
            self.channel.transport.write(TOO_LARGE)
            self.channel.transport.loseConnection()


class BoundedSite(Site):
    """Accepts connections of callers up to a number.

    Parameters
    ----------
    resource : Resource
        What answers.
    max_connections : int
        Connections that are served at once.
    """

    def __init__(self, resource: Resource, max_connections: int) -> None:
        super().__init__(resource, BoundedRequest, timeout=IDLE_TIMEOUT_S)
        self.displayTracebacks = False
        self._max_connections = max_connections
        self.connections = 0

    def buildProtocol(self, addr: Any) -> Any:
        """Build the protocol of a connection, or drop it if there are too many."""
        if self.connections >= self._max_connections:
            return None
        wrapper = super().buildProtocol(addr)
        channel = getattr(wrapper, "_channel", wrapper)
        channel.totalHeadersSize = MAX_HEADERS_BYTES
        self.connections += 1
        lost = wrapper.connectionLost

        def connection_lost(*args: Any) -> None:
            self.connections -= 1
            lost(*args)

        wrapper.connectionLost = connection_lost
        return wrapper

    def log(self, request: Request) -> None:
        """Write no access log; decisions are logged instead."""
