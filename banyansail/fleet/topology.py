"""Known and live routers, and which of them exchange gossip with each other."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.fleet.entries import NO_FEATURES
from banyansail.fleet.ranking import rank_names
from banyansail.fleet.view import LIVENESS_TIMEOUT

if TYPE_CHECKING:
    from banyansail.config.fields import Address
    from banyansail.fleet.entries import Member
    from banyansail.fleet.view import FleetView

BRIDGES_PER_ZONE = 2
# Much shorter than the liveness timeout, so a stale list rarely names a dead router.
LIVE_CACHE_TIME = timedelta(milliseconds=100)


class Topology:
    """Members of the fleet according to one router's view.

    Within a zone, any router exchanges gossip with any other. Between zones, only a
    few bridge routers of each zone do.

    Parameters
    ----------
    view : FleetView
        Entries and heartbeats received so far.
    zone : str
        Zone of this router.
    """

    __slots__ = (
        "_incarnation_by_name",
        "_live_by_name",
        "_live_cached_at",
        "_member_by_name",
        "_view",
        "_zone",
    )

    def __init__(self, view: FleetView, zone: str) -> None:
        self._view = view
        self._zone = zone
        self._member_by_name: dict[str, Member] = {}
        self._incarnation_by_name: dict[str, int] = {}  # that published the member
        self._live_by_name: dict[str, Member] = {}
        self._live_cached_at: timedelta | None = None

    def update_member(self, name: str, member: Member) -> None:
        """Store the state that a router published about itself."""
        self._member_by_name[name] = member
        self._incarnation_by_name[name] = self._view.incarnation_of(name)
        self._live_cached_at = None

    def forget_features(self, name: str) -> None:
        """Forget the features of a router that restarted, perhaps with another build.

        Its other state is kept, as the next member entry replaces it soon.
        """
        member = self._member_by_name.get(name)
        if member is None or not member.features:
            return
        if self._view.incarnation_of(name) != self._incarnation_by_name[name]:
            self._member_by_name[name] = replace(member, features=NO_FEATURES)
            self._live_cached_at = None

    def remove_expired(self) -> None:
        """Remove members that the view no longer contains."""
        known_names = set(self._view.names)
        for name in self._member_by_name.keys() - known_names:
            del self._member_by_name[name]
            del self._incarnation_by_name[name]
        self._live_cached_at = None

    def members(self) -> dict[str, Member]:
        """Return all known routers, live or not."""
        return self._member_by_name

    def live_members(self) -> dict[str, Member]:
        """Return the live routers, including this one.

        The result is cached for `LIVE_CACHE_TIME`, as computing it visits every router.
        """
        now = self._view.now()
        if (
            self._live_cached_at is None
            or now - self._live_cached_at >= LIVE_CACHE_TIME
        ):
            self._live_cached_at = now
            self._live_by_name = self._find_live_members()
        return self._live_by_name

    def _find_live_members(self) -> dict[str, Member]:
        age_by_name = self._view.ages()
        remote_timeout = self._view.remote_liveness_timeout
        live_by_name = {}
        for name, member in self._member_by_name.items():
            is_in_own_zone = member.zone == self._zone
            timeout = LIVENESS_TIMEOUT if is_in_own_zone else remote_timeout
            if age_by_name.get(name, timedelta.max) < timeout:
                live_by_name[name] = member
        return live_by_name

    def is_live(self, name: str) -> bool:
        """Return whether a router is live, by the timeout for its zone."""
        member = self._member_by_name.get(name)
        is_in_own_zone = member is not None and member.zone == self._zone
        return self._view.is_live(name, LIVENESS_TIMEOUT if is_in_own_zone else None)

    def zone_peers(self) -> list[Address]:
        """Return the other live routers of this zone."""
        return [
            member.peer
            for name, member in self.live_members().items()
            if member.zone == self._zone and name != self._view.name
        ]

    def unreachable_peers(self) -> list[tuple[Address, int]]:
        """Return known routers that are not live, to probe whether they have recovered.

        Only bridges probe routers of other zones. Each address comes with the number of
        routers that may probe it.
        """
        live = self._live_names_by_zone()
        zone_names = live.get(self._zone, [])
        remote_prober_count = BRIDGES_PER_ZONE * max(1, len(live) - 1)
        is_bridge = self._view.name in _choose_bridges(self._zone, zone_names)
        return [
            (
                member.peer,
                len(zone_names) if member.zone == self._zone else remote_prober_count,
            )
            for name, member in self._member_by_name.items()
            if (is_bridge or member.zone == self._zone) and not self.is_live(name)
        ]

    def bridges_by_zone(self) -> dict[str, list[Address]]:
        """Return the bridges of other zones; empty unless this router is a bridge."""
        live = self._live_names_by_zone()
        zone_names = live.pop(self._zone, [])
        if self._view.name not in _choose_bridges(self._zone, zone_names):
            return {}
        return {
            zone: [
                self._member_by_name[name].peer for name in _choose_bridges(zone, names)
            ]
            for zone, names in live.items()
        }

    def _live_names_by_zone(self) -> dict[str, list[str]]:
        names_by_zone: dict[str, list[str]] = {}
        for name, member in self.live_members().items():
            names_by_zone.setdefault(member.zone, []).append(name)
        return names_by_zone

    def live_addresses(self) -> set[Address]:
        """Return the addresses of all live routers."""
        return {member.peer for member in self.live_members().values()}


def _choose_bridges(zone: str, names: list[str]) -> list[str]:
    """Choose the few routers of a zone that exchange gossip with other zones."""
    return rank_names(zone, names)[:BRIDGES_PER_ZONE]
