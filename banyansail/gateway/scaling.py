"""How many replicas of a service to order, of which kind and where.

Reclaimable replicas are a fraction of the price, so they carry the load, spread over
the data centres with a reserve for the largest of them. On-demand ones fill in while
reclaimable ones are not to be had or not ready yet.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from banyansail.gateway.site import EngineSpec, ScalingSpec

LOST_ZONES = 2  # whose replicas may be taken away together
READING_SHARE = 0.3  # of an engine's time; while it reads, its streams crawl
RUNNING_SHARE = 0.35  # of an engine's slots that may be taken
URGENT_SHARE = 0.6  # of the need, below which reclaimable ones are not waited for


@dataclass(slots=True, frozen=True)
class Demand:
    """Load of a service over all routers.

    Parameters
    ----------
    reading : float
        Prompt tokens a second that engines have to read.
    running : float
        Requests in flight.
    read_rate : float
        Prompt tokens that one engine reads in a second.
    """

    reading: float
    running: float
    read_rate: float


@dataclass(slots=True, frozen=True)
class ZoneReplicas:
    """Replicas of a service in one data centre that take work."""

    on_demand: int = 0
    reclaimable: int = 0


@dataclass(slots=True, frozen=True)
class ReplicaOrder:
    """Wanted number of replicas of one kind in one data centre."""

    zone: str
    is_reclaimable: bool
    wanted: int


def engines_needed(demand: Demand, engine: EngineSpec) -> int:
    """Return how many engines serve a load within the objectives."""
    reading = demand.reading / (max(1.0, demand.read_rate) * READING_SHARE)
    running = demand.running / (engine.slots * RUNNING_SHARE)
    return max(1, math.ceil(reading + running))


def plan_replicas(
    spec: ScalingSpec,
    replicas_by_zone: Mapping[str, ZoneReplicas],
    needed: int,
    refused: frozenset[tuple[str, bool]] = frozenset(),
) -> list[ReplicaOrder]:
    """Return the wanted replicas of each kind and data centre.

    Parameters
    ----------
    replicas_by_zone : mapping
        What takes work now.
    needed : int
        Engines that the load needs.
    refused : frozenset of (str, bool)
        Data centres and kinds that are not to be had at the moment.
    """
    zones = sorted(spec.price_by_zone, key=lambda zone: spec.price_by_zone[zone])
    reclaimable = _spread(
        with_reserve(needed, len(zones)),
        [zone for zone in zones if (zone, True) not in refused],
        spec.maximum,
    )
    is_scarce = any(is_reclaimable for _, is_reclaimable in refused)
    ready = _lasting(replicas_by_zone, is_scarce)
    on_demand = _keep(max(0, needed - ready), zones, spec, replicas_by_zone)
    urgent = math.ceil(needed * URGENT_SHARE) - ready - sum(on_demand.values())
    _add(urgent, on_demand, zones, spec, replicas_by_zone, refused)
    orders = []
    for zone in zones:
        has = replicas_by_zone.get(zone, ZoneReplicas())
        fixed = on_demand.get(zone, 0)
        # A data centre may not fall below the least number while its
        # reclaimable replicas are still starting.
        least = spec.minimum - has.reclaimable
        fixed = min(spec.maximum, max(fixed, least if has.on_demand else 0, 0))
        room = max(0, spec.maximum - fixed)
        orders.append(ReplicaOrder(zone, True, min(room, reclaimable.get(zone, 0))))
        orders.append(ReplicaOrder(zone, False, fixed))
    return orders


def with_reserve(needed: int, zones: int) -> int:
    """Return how many replicas bear the loss of `LOST_ZONES` data centres."""
    if zones < 2:
        return needed
    per_zone = math.ceil(needed / max(1, zones - LOST_ZONES))
    return per_zone * zones


def _lasting(replicas_by_zone: Mapping[str, ZoneReplicas], is_scarce: bool) -> int:
    """Return the reclaimable replicas that can be counted on.

    While they are not to be had anywhere, those of a further data centre may go.
    """
    counts = [item.reclaimable for item in replicas_by_zone.values()]
    return sum(counts) - (max(counts, default=0) if is_scarce else 0)


def _spread(count: int, zones: list[str], most: int) -> dict[str, int]:
    """Spread replicas evenly; the cheapest data centres take the rest."""
    wanted = dict.fromkeys(zones, 0)
    while count > 0:
        open_zones = [zone for zone in zones if wanted[zone] < most]
        if not open_zones:
            break
        least = min(wanted[zone] for zone in open_zones)
        zone = next(zone for zone in open_zones if wanted[zone] == least)
        wanted[zone] += 1
        count -= 1
    return wanted


def _keep(
    lacking: int,
    zones: list[str],
    spec: ScalingSpec,
    replicas_by_zone: Mapping[str, ZoneReplicas],
) -> dict[str, int]:
    """Return the on-demand replicas that stay, as others are lacking."""
    wanted: dict[str, int] = {}
    for zone in zones:
        has = replicas_by_zone.get(zone, ZoneReplicas())
        wanted[zone] = min(has.on_demand, lacking, spec.maximum)
        lacking -= wanted[zone]
    return wanted


def _add(
    count: int,
    wanted: dict[str, int],
    zones: list[str],
    spec: ScalingSpec,
    replicas_by_zone: Mapping[str, ZoneReplicas],
    refused: frozenset[tuple[str, bool]],
) -> None:
    """Add on-demand replicas in the cheapest data centres that have them."""
    for zone in zones:
        if count <= 0 or (zone, False) in refused:
            continue
        has = replicas_by_zone.get(zone, ZoneReplicas())
        room = max(0, spec.maximum - wanted[zone] - has.reclaimable)
        added = min(count, room)
        wanted[zone] += added
        count -= added
