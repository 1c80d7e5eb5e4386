"""Assignment of the fleet's duties to live routers by rendezvous hashing.

The assignment is a hint: while their views of the fleet differ, two routers may both
act as the owner of a duty.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.fleet.ranking import rank_names

if TYPE_CHECKING:
    from banyansail.fleet.gossiper import Gossiper

WATCHERS_PER_ZONE = 2  # routers that watch the platform for their zone
AGGREGATORS_PER_ZONE = 2  # routers that sum up the evidence of their zone


class Duties:
    """Assignment of duties according to this router's view of the fleet.

    Parameters
    ----------
    name, zone : str
        Name and zone of this router.
    gossiper : Gossiper
        Source of the live routers.
    """

    __slots__ = ("_gossiper", "_name", "_zone")

    def __init__(self, name: str, zone: str, gossiper: Gossiper) -> None:
        self._name = name
        self._zone = zone
        self._gossiper = gossiper

    def owner_of(self, duty: str) -> str | None:
        """Return the router that owns a duty, or ``None`` if this router does."""
        names = self.higher_ranked(duty, 1)
        return names[0] if names else None

    def higher_ranked(self, duty: str, count: int) -> list[str]:
        """Return the first `count` routers that rank above this one for a duty."""
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
        """Return whether this router watches the platform for its zone."""
        return self._name in self.zone_watchers()

    def zone_watchers(self) -> list[str]:
        """Return the routers that watch the platform for this zone."""
        return self._rank_zone("watch")[:WATCHERS_PER_ZONE]

    def zone_aggregators(self) -> list[str]:
        """Return the routers that aggregate the evidence of this zone."""
        return self._rank_zone("evidence")[:AGGREGATORS_PER_ZONE]

    def _rank_zone(self, duty: str) -> list[str]:
        names = {*self.zone_members(), self._name}
        return rank_names(f"{duty}/{self._zone}", names)

    def zone_members(self) -> list[str]:
        """Return the live routers of this zone that are not draining."""
        return [
            name
            for name, member in self._gossiper.live_members().items()
            if member.zone == self._zone and not member.is_leaving
        ]

    def stream_record_holders(self, request_id: str, count: int) -> list[str]:
        """Return other routers of this zone that store a copy of a stream's record."""
        names = [name for name in self.zone_members() if name != self._name]
        return rank_names(f"stream/{request_id}", names)[:count]
