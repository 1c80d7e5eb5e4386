"""Network distance of zones from a router."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.fleet.entries import Member

HOP_WITHIN_REGION = timedelta(milliseconds=1)
HOP_BETWEEN_REGIONS = timedelta(milliseconds=20)


class ZoneHops:
    """Distance to zones, from the regions that members report.

    Parameters
    ----------
    zone, region : str
        Where this router is.
    """

    __slots__ = ("_region", "_region_by_zone", "_zone")

    def __init__(self, zone: str, region: str) -> None:
        self._zone = zone
        self._region = region
        self._region_by_zone: dict[str, str] = {}

    def learn(self, member: Member) -> None:
        """Take in where a router is."""
        self._region_by_zone[member.zone] = member.region

    def to_zone(self, zone: str) -> timedelta:
        """Return the one-way latency to a zone."""
        if zone == self._zone:
            return timedelta(0)
        region = self._region_by_zone.get(zone, self._region)
        return HOP_WITHIN_REGION if region == self._region else HOP_BETWEEN_REGIONS
