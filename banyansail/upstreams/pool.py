"""Connections to one server: idle ones are used again while they can be trusted."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, protocol

from banyansail.exceptions import ConnectFailedError
from banyansail.upstreams.connection import HttpConnection

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.config.fields import Address

CONNECT_TIMEOUT_S = 0.6
IDLE_TRUST_SHARE = 0.6  # of the time that the server keeps an idle connection
DEFAULT_KEEP_ALIVE_S = 2.0
MAX_IDLE = 16


class ConnectionPool:
    """Connections to one address.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    clock : Clock
        Source of time.
    address : Address
        The server.
    """

    def __init__(self, reactor: Any, clock: Clock, address: Address) -> None:
        self._reactor = reactor
        self._clock = clock
        self._address = address
        self._idle: list[HttpConnection] = []
        self._open: set[HttpConnection] = set()
        self._is_closed = False

    def take_idle(self) -> HttpConnection | None:
        """Return an idle connection that the server still keeps, or ``None``."""
        now = self._clock.monotonic()
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_closed and self._is_fresh(connection, now):
                return connection
            connection.close()
        return None

    async def connect(self) -> HttpConnection:
        """Open a connection.

        Raises
        ------
        ConnectFailedError
            If the server does not take it in time; nothing was sent.
        """
        factory = protocol.Factory.forProtocol(
            lambda: HttpConnection(self._clock, self._keep, self._open.discard)
        )
        factory.noisy = False
        connected = connect_tcp(self._reactor, self._address, factory)
        try:
            connection = await connected
        except defer.CancelledError:
            raise
        except Exception as error:
            text = f"{self._address}: {error}"
            raise ConnectFailedError(text) from error
        self._open.add(connection)
        if self._is_closed:
            connection.close()
            raise ConnectFailedError(f"{self._address}: the pool is closed")
        return connection

    def close(self) -> None:
        """Close idle connections; busy ones close once they are through."""
        self._is_closed = True
        self.drop_idle()

    def drop_idle(self) -> None:
        """Close the idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def _keep(self, connection: HttpConnection) -> None:
        if self._is_closed or len(self._idle) >= MAX_IDLE:
            connection.close()
            return
        self._idle.append(connection)

    def _is_fresh(self, connection: HttpConnection, now: timedelta) -> bool:
        kept_s = connection.keep_alive_s
        if kept_s is None:
            kept_s = DEFAULT_KEEP_ALIVE_S
        trusted = timedelta(seconds=kept_s * IDLE_TRUST_SHARE)
        return now - connection.idle_since < trusted


def connect_tcp(
    reactor: Any, address: Address, factory: protocol.Factory
) -> defer.Deferred[Any]:
    """Connect; unlike Twisted's endpoint, cancelling closes the socket at once."""
    done: defer.Deferred[Any] = defer.Deferred(lambda _: connector.disconnect())
    connector = reactor.connectTCP(
        address.host, address.port, _OneConnection(factory, done), CONNECT_TIMEOUT_S
    )
    return done


class _OneConnection(protocol.ClientFactory):
    """Hands over one connection once it is made."""

    noisy = False

    def __init__(self, factory: protocol.Factory, done: defer.Deferred[Any]) -> None:
        self._factory = factory
        self._done = done

    def buildProtocol(self, addr: Any) -> Any:
        built = self._factory.buildProtocol(addr)
        made = built.connectionMade

        def connection_made() -> None:
            made()
            if not self._done.called:
                self._done.callback(built)

        built.connectionMade = connection_made
        return built

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        if not self._done.called:
            self._done.errback(reason)
