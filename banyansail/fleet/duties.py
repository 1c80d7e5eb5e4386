"""Spreads small duties over the live routers by rendezvous hashing.

The result is advice: two routers may both believe that a duty is theirs.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from banyansail.utils import hash64

if TYPE_CHECKING:
    from banyansail.fleet.gossiper import Gossiper

WATCHERS_PER_ZONE = 2
AGGREGATORS_PER_ZONE = 2


def rank_names(duty: str, names: Iterable[str]) -> list[str]:
    """Return names from the one that a duty falls to first."""
    return sorted(names, key=lambda name: hash64(f"{duty}/{name}"))


class Duties:
    """Duties of this router.

    Parameters
    ----------
    name, zone : str
        This router.
    gossiper : Gossiper
        Knows the live routers.
    """

    __slots__ = ("_gossiper", "_name", "_zone")

    def __init__(self, name: str, zone: str, gossiper: Gossiper) -> None:
        self._name = name
        self._zone = zone
        self._gossiper = gossiper

    def owner_of(self, duty: str) -> str | None:
        """Return the router that a duty falls to, or ``None`` for this one."""
        before = self.ranked_before(duty, 1)
        return before[0] if before else None

    def ranked_before(self, duty: str, count: int) -> list[str]:
        """Return the first routers that a duty falls to before this one."""
        names = [
            name
            for name, member in self._gossiper.live_members().items()
            if not member.is_leaving
        ]
        ranked = rank_names(duty, names)
        if self._name in ranked:
            ranked = ranked[: ranked.index(self._name)]
        return ranked[:count]

    def is_watcher(self) -> bool:
        """Tell whether this router watches the platform for its zone."""
        return self._name in self.zone_watchers()

    def zone_watchers(self) -> list[str]:
        """Return the routers that watch the platform for this zone."""
        return self._rank_zone("watch")[:WATCHERS_PER_ZONE]

    def zone_aggregators(self) -> list[str]:
        """Return the routers that add up the evidence of this zone."""
        return self._rank_zone("evidence")[:AGGREGATORS_PER_ZONE]

    def _rank_zone(self, duty: str) -> list[str]:
        names = {*self.zone_members(), self._name}
        return rank_names(f"{duty}/{self._zone}", names)

    def zone_members(self) -> list[str]:
        """Return the live routers of this zone that are not being stopped."""
        return [
            name
            for name, member in self._gossiper.live_members().items()
            if member.zone == self._zone and not member.is_leaving
        ]

    def stream_keepers(self, request_id: str, count: int) -> list[str]:
        """Return routers of this zone, but this one, that keep a stream's record."""
        names = [name for name in self.zone_members() if name != self._name]
        return rank_names(f"stream/{request_id}", names)[:count]
