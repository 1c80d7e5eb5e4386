"""Listening sockets of a router."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

from twisted.internet import defer
from twisted.web.server import Site

from banyansail.fleet.peer_calls import PeerServerFactory
from banyansail.router.callers.admin import AdminResource
from banyansail.router.callers.tls import ReloadingContextFactory

if TYPE_CHECKING:
    from twisted.internet.protocol import DatagramProtocol

    from banyansail.config.settings import Settings
    from banyansail.wire.call_types import PeerCall, PeerReply
    from banyansail.wire.message_auth import MessageAuthenticator

BACKLOG = 512  # connections waiting to be accepted


class Listeners:
    """Opens and closes the ports of a router.

    Parameters
    ----------
    settings : Settings
        Addresses and keys.
    reactor : object
        Twisted's reactor.
    authenticator : MessageAuthenticator
        Authenticates other routers.
    """

    __slots__ = ("_authenticator", "_ports", "_reactor", "_settings")

    def __init__(
        self, settings: Settings, reactor: Any, authenticator: MessageAuthenticator
    ) -> None:
        self._settings = settings
        self._reactor = reactor
        self._authenticator = authenticator
        self._ports: list[Any] = []

    def listen_for_peers(
        self,
        gossip: DatagramProtocol,
        handle_call: Callable[[PeerCall], Coroutine[Any, Any, PeerReply]],
    ) -> None:
        """Open the gossip and call ports for other routers."""
        peer = self._settings.peer
        factory = PeerServerFactory(self._authenticator, handle_call)
        self._ports += [
            self._reactor.listenUDP(peer.port, gossip, interface=peer.host),
            self._reactor.listenTCP(peer.port, factory, interface=peer.host),
        ]

    def listen_for_callers_and_operators(
        self, callers: Site, read_status: Callable[[], dict[str, Any]]
    ) -> None:
        """Open the port for callers and, if configured, the one for operators."""
        self._ports.append(self._listen_for_callers(callers))
        admin = self._settings.admin
        if admin is not None:
            site = Site(AdminResource(read_status))
            port = self._reactor.listenTCP(admin.port, site, interface=admin.host)
            self._ports.append(port)

    def close(self) -> defer.Deferred[Any]:
        """Stop listening; established connections stay open."""
        ports, self._ports = self._ports, []
        closed = [defer.maybeDeferred(port.stopListening) for port in ports]
        return defer.DeferredList(closed, consumeErrors=True)

    def _listen_for_callers(self, callers: Site) -> Any:
        settings = self._settings
        listen = settings.listen
        if settings.certificate is None or settings.private_key is None:
            return self._reactor.listenTCP(listen.port, callers, BACKLOG, listen.host)
        context_factory = ReloadingContextFactory(
            settings.certificate, settings.private_key
        )
        return self._reactor.listenSSL(
            listen.port, callers, context_factory, BACKLOG, listen.host
        )
