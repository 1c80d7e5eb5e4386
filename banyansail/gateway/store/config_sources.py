"""From which routers a newer configuration is fetched, and when."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from banyansail.clock import Clock
    from banyansail.fleet.entries import Member

# The store's watch, or a router that is followed, mostly brings a change before.
FETCH_DELAY = timedelta(milliseconds=300)


class ConfigSources:
    """Choice of the routers to fetch from; others that are behind choose other ones.

    Parameters
    ----------
    zone : str
        Data centre of this router.
    clock, random : object
        Sources of time and randomness.
    """

    __slots__ = ("_clock", "_heard_at", "_heard_version", "_random", "_zone")

    def __init__(self, zone: str, clock: Clock, random: Random) -> None:
        self._zone = zone
        self._clock = clock
        self._random = random
        self._heard_version = 0
        self._heard_at: timedelta | None = None

    def choose(self, peers: Mapping[str, Member], version: int) -> list[str]:
        """Return the routers to ask, in order; none while the change may still come.

        Parameters
        ----------
        peers : mapping
            Other live routers by name.
        version : int
            Version that this router has; 0 if it has none.
        """
        newer = [name for name, peer in peers.items() if peer.rules_version > version]
        if not newer:
            self._heard_at = None
            return []
        now = self._clock.monotonic()
        if self._heard_at is None or self._heard_version != version:
            self._heard_version, self._heard_at = version, now
        if version and now - self._heard_at < FETCH_DELAY:
            return []
        self._random.shuffle(newer)
        newer.sort(key=lambda name: peers[name].zone != self._zone)
        return newer
