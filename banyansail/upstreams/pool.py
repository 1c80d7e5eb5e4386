"""Pool of connections to one server that reuses idle ones while they should be open."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, protocol

from banyansail.exceptions import ConnectFailedError
from banyansail.log import log_event
from banyansail.upstreams.connection import MAX_SILENCE, HttpConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.clock import Clock
    from banyansail.config.fields import Address

CONNECT_TIMEOUT_S = 0.6
IDLE_REUSE_FRACTION = 0.6  # of the time for which the server keeps idle connections
DEFAULT_KEEP_ALIVE_S = 2.0
MAX_IDLE_CONNECTIONS = 16
EXPIRY_INTERVAL_S = 1.0  # between checks of idle connections


class ConnectionPool:
    """Pool of connections to one address.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    clock : Clock
        Source of time.
    address : Address
        Address of the server.
    on_connect : callable or None
        Called after each attempt to connect with whether it succeeded.
    max_silence : timedelta
        Time after which a server that acknowledges nothing is taken for dead.
    reuse_time : timedelta or None
        Time for which idle connections are used again; ``None`` for a share of that
        for which the server keeps them.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        address: Address,
        on_connect: Callable[[bool], None] | None = None,
        max_silence: timedelta = MAX_SILENCE,
        reuse_time: timedelta | None = None,
    ) -> None:
        self._max_silence = max_silence
        self._reuse_time = reuse_time
        self._on_connect = on_connect or (lambda is_connected: None)
        self._reactor = reactor
        self._clock = clock
        self.address = address
        self._idle: list[HttpConnection] = []
        self._open: set[HttpConnection] = set()
        self._is_closed = False
        self._expiry: Any = None  # timer while connections are idle

    @property
    def has_idle(self) -> bool:
        """Whether an idle connection should be open."""
        now = self._clock.monotonic()
        return any(
            not connection.is_closed and self._is_reusable(connection, now)
            for connection in self._idle
        )

    def pop_idle(self, request_id: str = "") -> HttpConnection | None:
        """Remove and return an idle connection that should be open, or ``None``.

        A connection on which the request was answered before is left for others, as a
        copy of that answer may follow. Without any other, the oldest one is closed, so
        that the new connection takes its place.
        """
        now = self._clock.monotonic()
        found: HttpConnection | None = None
        skipped: list[HttpConnection] = []
        while self._idle and found is None:
            connection = self._idle.pop()
            if connection.is_closed or not self._is_reusable(connection, now):
                connection.close()
            elif request_id in connection.answered_ids:
                skipped.append(connection)
            else:
                found = connection
        if skipped:
            server = str(self.address)
            log_event("id_answered_before", request=request_id, server=server)
            if found is None:
                skipped.pop().close()
        self._idle += reversed(skipped)
        return found

    async def connect(self) -> HttpConnection:
        """Open a connection.

        Raises
        ------
        ConnectFailedError
            If the server did not accept it in time; nothing was sent.
        """
        factory = protocol.Factory.forProtocol(
            lambda: HttpConnection(
                self._clock, self.keep, self._open.discard, self._max_silence
            )
        )
        factory.noisy = False
        connected = connect_tcp(self._reactor, self.address, factory)
        try:
            connection = await connected
        except defer.CancelledError:
            raise
        except Exception as error:
            self._on_connect(False)
            text = f"can't connect to {self.address}: {error}"
            raise ConnectFailedError(text) from error
        self._on_connect(True)
        self._open.add(connection)
        if self._is_closed:
            connection.close()
            raise ConnectFailedError(
                f"{self.address} was reached after its pool was closed"
            )
        return connection

    def close(self) -> None:
        """Close idle connections now and busy ones when their exchange ends."""
        self._is_closed = True
        self.close_idle()

    def close_idle(self) -> None:
        """Close the idle connections."""
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def keep(self, connection: HttpConnection) -> None:
        """Keep a connection without an exchange for the next one."""
        if self._is_closed or len(self._idle) >= MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        self._idle.append(connection)
        if self._expiry is None:
            self._expiry = self._reactor.callLater(
                EXPIRY_INTERVAL_S, self._close_expired
            )

    def _close_expired(self) -> None:
        """Close idle connections that are not reused any more."""
        self._expiry = None
        now = self._clock.monotonic()
        idle, self._idle = self._idle, []
        for connection in idle:
            if not connection.is_closed and self._is_reusable(connection, now):
                self.keep(connection)
            else:
                connection.close()

    def _is_reusable(self, connection: HttpConnection, now: timedelta) -> bool:
        return now - connection.idle_since < self._reuse_time_of(connection)

    def _reuse_time_of(self, connection: HttpConnection) -> timedelta:
        if self._reuse_time is not None:
            return self._reuse_time
        keep_alive_s = connection.keep_alive_s
        if keep_alive_s is None:
            keep_alive_s = DEFAULT_KEEP_ALIVE_S
        return timedelta(seconds=keep_alive_s * IDLE_REUSE_FRACTION)


def connect_tcp(
    reactor: Any, address: Address, factory: protocol.Factory
) -> defer.Deferred[Any]:
    """Open a TCP connection.

    Cancelling the deferred closes the socket immediately, unlike Twisted's endpoints.
    """
    done: defer.Deferred[Any] = defer.Deferred(lambda _: connector.disconnect())
    connector = reactor.connectTCP(
        address.host,
        address.port,
        _SingleConnectionFactory(factory, done),
        CONNECT_TIMEOUT_S,
    )
    return done


class _SingleConnectionFactory(protocol.ClientFactory):
    """Client factory that fires a deferred with its connection once that is open."""

    noisy = False

    def __init__(self, factory: protocol.Factory, done: defer.Deferred[Any]) -> None:
        self._factory = factory
        self._done = done

    def buildProtocol(self, addr: Any) -> Any:
        protocol_instance = self._factory.buildProtocol(addr)
        original_connection_made = protocol_instance.connectionMade

        def connection_made() -> None:
            original_connection_made()
            if not self._done.called:
                self._done.callback(protocol_instance)

        protocol_instance.connectionMade = connection_made
        return protocol_instance

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        if not self._done.called:
            self._done.errback(reason)
