"""Network latency from a router to zones."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.fleet.entries import Member

LATENCY_WITHIN_REGION = timedelta(milliseconds=1)
LATENCY_BETWEEN_REGIONS = timedelta(milliseconds=20)


class RegionZoneLatency:
    """Estimate of the latency to zones by the regions that routers report.

    Parameters
    ----------
    zone, region : str
        Zone and region of this router.
    """

    __slots__ = ("_region", "_region_by_zone", "_zone")

    def __init__(self, zone: str, region: str) -> None:
        self._zone = zone
        self._region = region
        self._region_by_zone: dict[str, str] = {}

    def record_region(self, member: Member) -> None:
        """Record the region of a router's zone."""
        self._region_by_zone[member.zone] = member.region

    def to_zone(self, zone: str) -> timedelta:
        """Return the estimated one-way latency to a zone."""
        if zone == self._zone:
            return timedelta(0)
        region = self._region_by_zone.get(zone, self._region)
        return (
            LATENCY_WITHIN_REGION if region == self._region else LATENCY_BETWEEN_REGIONS
        )
