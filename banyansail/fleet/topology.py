"""Which routers are known and live, and which of them talk to which."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.fleet.duties import rank_names
from banyansail.fleet.view import LIVE_TIME

if TYPE_CHECKING:
    from banyansail.config.fields import Address
    from banyansail.fleet.entries import Member
    from banyansail.fleet.view import FleetView

BRIDGES_PER_ZONE = 2
RECOUNT_TIME = timedelta(milliseconds=100)  # much shorter than a router stays live


class Topology:
    """Members of the fleet, as one router of a zone sees them.

    Inside a zone any router talks to any other; between zones only a few bridges of
    each zone do.

    Parameters
    ----------
    view : FleetView
        What was heard.
    zone : str
        Zone of this router.
    """

    __slots__ = ("_counted_at", "_live", "_member_by_name", "_view", "_zone")

    def __init__(self, view: FleetView, zone: str) -> None:
        self._view = view
        self._zone = zone
        self._member_by_name: dict[str, Member] = {}
        self._live: dict[str, Member] = {}
        self._counted_at: timedelta | None = None

    def learn(self, name: str, member: Member) -> None:
        """Take in what a router says of itself."""
        self._member_by_name[name] = member
        self._counted_at = None

    def forget_old(self) -> None:
        """Drop members whose routers the view has forgotten."""
        known = set(self._view.names)
        for name in self._member_by_name.keys() - known:
            del self._member_by_name[name]
        self._counted_at = None

    def members(self) -> dict[str, Member]:
        """Return every router that was heard of, live or not."""
        return self._member_by_name

    def live_members(self) -> dict[str, Member]:
        """Return the routers that were heard of lately, this one included.

        They are counted anew after `RECOUNT_TIME`, as it takes a look at each.
        """
        now = self._view.now()
        if self._counted_at is None or now - self._counted_at >= RECOUNT_TIME:
            self._counted_at = now
            self._live = {
                name: member
                for name, member in self._member_by_name.items()
                if self.is_live(name)
            }
        return self._live

    def is_live(self, name: str) -> bool:
        """Tell whether a router was heard of lately, by the measure of its zone."""
        member = self._member_by_name.get(name)
        is_near = member is not None and member.zone == self._zone
        return self._view.is_live(name, LIVE_TIME if is_near else None)

    def zone_peers(self) -> list[Address]:
        """Return the other live routers of this zone."""
        return [
            member.peer
            for name, member in self.live_members().items()
            if member.zone == self._zone and name != self._view.name
        ]

    def lost_peers(self) -> list[tuple[Address, int]]:
        """Return routers that are not heard of now; a lost path may be back.

        Those of other zones are left to the bridges. With each goes the number of
        routers that may ask it.
        """
        live = self._live_names_by_zone()
        near = live.get(self._zone, [])
        far = BRIDGES_PER_ZONE * max(1, len(live) - 1)
        is_bridge = self._view.name in _bridges(self._zone, near)
        return [
            (member.peer, len(near) if member.zone == self._zone else far)
            for name, member in self._member_by_name.items()
            if (is_bridge or member.zone == self._zone) and not self.is_live(name)
        ]

    def bridges_by_zone(self) -> dict[str, list[Address]]:
        """Return bridges of other zones, if this router is a bridge itself."""
        live = self._live_names_by_zone()
        near = live.pop(self._zone, [])
        if self._view.name not in _bridges(self._zone, near):
            return {}
        return {
            zone: [self._member_by_name[name].peer for name in _bridges(zone, names)]
            for zone, names in live.items()
        }

    def _live_names_by_zone(self) -> dict[str, list[str]]:
        names_by_zone: dict[str, list[str]] = {}
        for name, member in self.live_members().items():
            names_by_zone.setdefault(member.zone, []).append(name)
        return names_by_zone

    def known_addresses(self) -> set[Address]:
        """Return the addresses of all live routers."""
        return {member.peer for member in self.live_members().values()}


def _bridges(zone: str, names: list[str]) -> list[str]:
    """Return the few routers of a zone that talk to other zones."""
    return rank_names(zone, names)[:BRIDGES_PER_ZONE]
