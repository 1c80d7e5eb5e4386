"""Listening sockets of a gateway and the servers behind them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from banyansail.gateway.callers.caller_listener import (
    LISTEN_BACKLOG,
    CallerListener,
    open_listener,
)
from banyansail.gateway.callers.http_server import GatewayFactory
from banyansail.gateway.callers.readiness import ReadyFactory
from banyansail.gateway.metrics import MetricsFactory

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from banyansail.config.gateway_settings import GatewaySettings
    from banyansail.gateway.callers.request_handler import RequestHandler
    from banyansail.gateway.sharing.fleet_link import FleetLink
    from banyansail.gateway.site import CallerLimits


class Servers:
    """Servers for callers, relayed requests, readiness, metrics and other routers.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    settings : GatewaySettings
        Addresses to listen on.
    handler : RequestHandler
        Serves requests of callers and those that other routers relay.
    is_ready : callable
        Returns whether the load balancer should send new connections.
    render_metrics : callable
        Returns the metrics as text.
    """

    def __init__(
        self,
        reactor: Any,
        settings: GatewaySettings,
        handler: RequestHandler,
        *,
        is_ready: Callable[[], bool],
        render_metrics: Callable[[], bytes],
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._is_ready = is_ready
        self._callers = GatewayFactory(reactor, handler.handle)
        self._relays = GatewayFactory(reactor, handler.handle_relayed)
        self._metrics = MetricsFactory(reactor, render_metrics)
        self._readiness = ReadyFactory(reactor, is_ready)
        self._ports: list[Any] = []

    @property
    def has_connections(self) -> bool:
        """Whether callers or routers that relay requests are connected."""
        return bool(self._callers.channels or self._relays.channels)

    def start(self, link: FleetLink, listener: socket.socket | None) -> None:
        """Open the sockets.

        Parameters
        ----------
        link : FleetLink
            Protocols for other routers.
        listener : socket.socket or None
            Socket that callers connect to; ``None`` to open one.
        """
        settings = self._settings
        peer = settings.peer
        self._ports = [self._reactor.listenUDP(peer.port, link.protocol, peer.host)]
        for address, factory in (
            (peer, link.server),
            (settings.relay, self._relays),
            (settings.ready, self._readiness),
            (settings.metrics, self._metrics),
        ):
            port = self._reactor.listenTCP(
                address.port, factory, LISTEN_BACKLOG, address.host
            )
            self._ports.append(port)
        listener = listener or open_listener(settings.listen)
        callers = CallerListener(self._reactor, listener, self._callers, self._is_ready)
        callers.start()
        self._ports.append(callers)

    def set_limits(self, limits: CallerLimits) -> None:
        """Apply the configured limits of requests and connections."""
        self._callers.set_limits(limits)
        self._relays.set_limits(limits)

    def close_idle_connections(self) -> None:
        """Close the connections that carry no request."""
        self._callers.close_idle_connections()
        self._relays.close_idle_connections()

    def stop(self) -> None:
        """Close the listening sockets."""
        ports, self._ports = self._ports, []
        for port in ports:
            port.stopListening()
