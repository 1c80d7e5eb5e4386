"""Upstreams of one service and version, indexed for fast choice."""

from __future__ import annotations

from bisect import bisect_left, insort
from typing import TYPE_CHECKING

from banyansail.routing.sampled_set import SampledSet
from banyansail.utils import hash64

if TYPE_CHECKING:
    from collections.abc import Iterator
    from datetime import timedelta

    from banyansail.routing.upstream_state import UpstreamState

RING_POINTS_PER_UPSTREAM = 32  # virtual nodes on the hash ring


class UpstreamPool:
    """Upstreams with a hash ring and, by zone, the set of those that have room."""

    __slots__ = ("_ring", "in_flight", "names_with_room_by_zone", "state_by_name")

    def __init__(self) -> None:
        self.state_by_name: dict[str, UpstreamState] = {}
        self.names_with_room_by_zone: dict[str, SampledSet] = {}
        self.in_flight = 0
        self._ring: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self.state_by_name)

    def add(self, state: UpstreamState, now: timedelta) -> None:
        """Add an upstream."""
        name = state.rule.name
        self.state_by_name[name] = state
        for point in _ring_points(name):
            insort(self._ring, (point, name))
        self.refresh(state, now)

    def remove(self, name: str) -> None:
        """Remove an upstream; its calls in flight are not interrupted."""
        state = self.state_by_name.pop(name)
        self._ring = [item for item in self._ring if item[1] != name]
        zone_set = self.names_with_room_by_zone.get(state.rule.zone)
        if zone_set is not None:
            zone_set.discard(name)

    def refresh(self, state: UpstreamState, now: timedelta) -> None:
        """Update the index after the load, limit or state of an upstream changed."""
        if state.rule.name not in self.state_by_name:
            return
        zone_set = self.names_with_room_by_zone.setdefault(
            state.rule.zone, SampledSet()
        )
        if state.has_room(now):
            zone_set.add(state.rule.name)
        else:
            zone_set.discard(state.rule.name)

    def has_room(self) -> bool:
        """Return whether any upstream has room."""
        return any(self.names_with_room_by_zone.values())

    def walk_ring(self, key: str, count: int) -> Iterator[UpstreamState]:
        """Yield up to `count` distinct upstreams in ring order, starting at a key."""
        if not self._ring:
            return
        start = bisect_left(self._ring, (hash64(key), ""))
        seen: set[str] = set()
        for step in range(len(self._ring)):
            name = self._ring[(start + step) % len(self._ring)][1]
            if name in seen:
                continue
            seen.add(name)
            yield self.state_by_name[name]
            if len(seen) == count:
                return


def _ring_points(name: str) -> list[int]:
    return [hash64(f"{name}/{number}") for number in range(RING_POINTS_PER_UPSTREAM)]
