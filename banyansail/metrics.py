"""Metrics sent to statsd under the documented names."""

from __future__ import annotations

from typing import TYPE_CHECKING

import statsd

if TYPE_CHECKING:
    from datetime import timedelta

    from banyansail.config.settings import Address

PREFIX = "banyansail"


class Metrics:
    """Counters and timings; without an address they are discarded.

    Parameters
    ----------
    address : Address or None
        Address of the statsd daemon.
    """

    __slots__ = ("_client",)

    def __init__(self, address: Address | None) -> None:
        self._client = None
        if address is not None:
            self._client = statsd.StatsClient(
                address.host, address.port, prefix=PREFIX, maxudpsize=512
            )

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter."""
        if self._client is not None:
            self._client.incr(name, amount)

    def time(self, name: str, duration: timedelta) -> None:
        """Record a duration."""
        if self._client is not None:
            self._client.timing(name, duration)
