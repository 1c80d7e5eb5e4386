"""Server for the readiness checks of the load balancer."""

from __future__ import annotations

from twisted.web import http

from banyansail.gateway.callers.http_server import GatewayFactory


class ReadyRequest(http.Request):
    """Readiness check by the load balancer."""

    def process(self) -> None:
        """Respond with 200 if this router is ready, else 503."""
        is_ready = self.channel.factory.handle()
        self.setResponseCode(200 if is_ready else 503)
        self.setHeader(b"content-length", b"0")
        self.finish()


class ReadyChannel(http.HTTPChannel):
    """A connection of the load balancer."""

    requestFactory = ReadyRequest


class ReadyFactory(GatewayFactory):
    """Factory of the load balancer's connections.

    Its `handle` takes no request and returns whether this router is ready.
    """

    protocol = ReadyChannel
