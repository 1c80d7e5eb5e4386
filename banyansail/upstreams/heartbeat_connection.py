"""Connection for a short call now and then, which shows whether others are stalled.

A server's open connections may stall together, without a close, while new ones
work. As long as this one answers, all that are as old have not.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from banyansail.upstreams.http_call import HttpAnswer, call_over
from banyansail.upstreams.pool import ConnectionPool

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.config.fields import Address

REUSE_TIME = timedelta(days=1)  # the server's close ends it before


class HeartbeatConnection:
    """A single connection to a server, opened again when it has ended.

    Parameters
    ----------
    reactor, clock : object
        Sources of events and time.
    address : Address
        Address of the server.
    """

    __slots__ = ("_pool", "_reactor")

    def __init__(self, reactor: Any, clock: Clock, address: Address) -> None:
        self._reactor = reactor
        self._pool = ConnectionPool(reactor, clock, address, reuse_time=REUSE_TIME)

    @property
    def is_open(self) -> bool:
        """Whether the next call uses the connection of the last one."""
        return self._pool.has_idle

    def close(self) -> None:
        """Close the connection; none is opened any more."""
        self._pool.close()

    def end_connection(self) -> None:
        """Close the connection; the next call opens a new one."""
        self._pool.close_idle()

    async def call(self, method: str, target: str, timeout: timedelta) -> HttpAnswer:
        """Send a request and wait for the complete answer; see `call_over`."""
        return await call_over(self._reactor, self._pool, method, target, timeout)
