"""Number, kind and data centre of the replicas to order for a service.

Reclaimable replicas cost a fraction of on-demand ones, so they carry the load, spread
over the data centres with a reserve for the loss of the largest of them. On-demand
replicas fill in while reclaimable ones are unavailable or still starting.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from banyansail.gateway.site import EngineSpec, ScalingSpec

# The reserve: when two data centres are preempted at once, the engines of the others
# carry the load, as none can be ordered for up to 15 s. Engines are counted for prefill
# and for running requests separately and added, which leaves room for bursts.
TOLERATED_ZONE_LOSSES = 2
MAX_PREFILL_SHARE = 0.3  # of an engine's time, as prefill delays its running streams
MAX_SLOT_SHARE = 0.35  # of an engine's slots that the load may occupy
MIN_MEAN_SPEED = 0.25  # a lower one is more likely a wrong expectation
URGENT_SHARE = 0.6  # of the need; below it, on-demand replicas are ordered at once


@dataclass(slots=True, frozen=True)
class Demand:
    """Load of a service over all routers.

    Parameters
    ----------
    prompt_token_rate : float
        Prompt tokens per second that need prefill.
    in_flight : float
        Requests in flight.
    engine_prefill_rate : float
        Prompt tokens per second that one engine can prefill.
    mean_speed : float
        Of the replicas that serve now, relative to `engine_prefill_rate`.
    """

    prompt_token_rate: float
    in_flight: float
    engine_prefill_rate: float
    mean_speed: float = 1.0


@dataclass(slots=True, frozen=True)
class ZoneReplicas:
    """Replicas of a service in one data centre that accept work."""

    on_demand: int = 0
    reclaimable: int = 0


@dataclass(slots=True, frozen=True)
class ReplicaOrder:
    """Wanted number of replicas of one kind in one data centre."""

    zone: str
    is_reclaimable: bool
    wanted: int


def engines_needed(demand: Demand, engine: EngineSpec) -> int:
    """Return how many engines of the mean speed serve a load within the objectives."""
    prefilling = demand.prompt_token_rate / (
        max(1.0, demand.engine_prefill_rate) * MAX_PREFILL_SHARE
    )
    running = demand.in_flight / (engine.slots * MAX_SLOT_SHARE)
    speed = max(MIN_MEAN_SPEED, demand.mean_speed)
    return max(1, math.ceil((prefilling + running) / speed))


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
        Replicas that accept work now.
    needed : int
        Engines that the load needs.
    refused : frozenset of (str, bool)
        Data centres and kinds (whether reclaimable) whose orders the platform
        refused recently.
    """
    zones = sorted(spec.price_by_zone, key=lambda zone: spec.price_by_zone[zone])
    reclaimable = _spread(
        with_reserve(needed, len(zones)),
        [zone for zone in zones if (zone, True) not in refused],
        spec.maximum,
    )
    is_scarce = any(is_reclaimable for _, is_reclaimable in refused)
    ready = _dependable_reclaimable(replicas_by_zone, is_scarce)
    on_demand = _retain_on_demand(max(0, needed - ready), zones, spec, replicas_by_zone)
    urgent = math.ceil(needed * URGENT_SHARE) - ready - sum(on_demand.values())
    _add_on_demand(urgent, on_demand, zones, spec, replicas_by_zone, refused)
    orders = []
    for zone in zones:
        current = replicas_by_zone.get(zone, ZoneReplicas())
        on_demand_wanted = on_demand.get(zone, 0)
        # A data centre must not fall below its minimum while its reclaimable
        # replicas are still starting.
        least = spec.minimum - current.reclaimable
        on_demand_wanted = min(
            spec.maximum, max(on_demand_wanted, least if current.on_demand else 0, 0)
        )
        room = max(0, spec.maximum - on_demand_wanted)
        orders.append(ReplicaOrder(zone, True, min(room, reclaimable.get(zone, 0))))
        orders.append(ReplicaOrder(zone, False, on_demand_wanted))
    return orders


def with_reserve(needed: int, zones: int) -> int:
    """Return how many replicas to run so that enough survive lost data centres."""
    if zones < 2:
        return needed
    per_zone = math.ceil(needed / max(1, zones - TOLERATED_ZONE_LOSSES))
    return per_zone * zones


def _dependable_reclaimable(
    replicas_by_zone: Mapping[str, ZoneReplicas], is_scarce: bool
) -> int:
    """Return the number of reclaimable replicas that can be relied on.

    While an order of reclaimable replicas is refused in any data centre, those of the
    largest one are left out, as they may be preempted next.
    """
    counts = [item.reclaimable for item in replicas_by_zone.values()]
    return sum(counts) - (max(counts, default=0) if is_scarce else 0)


def _spread(count: int, zones: list[str], max_per_zone: int) -> dict[str, int]:
    """Spread replicas evenly; the cheapest data centres get the remainder."""
    wanted = dict.fromkeys(zones, 0)
    while count > 0:
        open_zones = [zone for zone in zones if wanted[zone] < max_per_zone]
        if not open_zones:
            break
        least = min(wanted[zone] for zone in open_zones)
        zone = next(zone for zone in open_zones if wanted[zone] == least)
        wanted[zone] += 1
        count -= 1
    return wanted


def _retain_on_demand(
    shortfall: int,
    zones: list[str],
    spec: ScalingSpec,
    replicas_by_zone: Mapping[str, ZoneReplicas],
) -> dict[str, int]:
    """Return how many running on-demand replicas to keep for a shortfall."""
    wanted: dict[str, int] = {}
    for zone in zones:
        current = replicas_by_zone.get(zone, ZoneReplicas())
        wanted[zone] = min(current.on_demand, shortfall, spec.maximum)
        shortfall -= wanted[zone]
    return wanted


def _add_on_demand(
    count: int,
    wanted: dict[str, int],
    zones: list[str],
    spec: ScalingSpec,
    replicas_by_zone: Mapping[str, ZoneReplicas],
    refused: frozenset[tuple[str, bool]],
) -> None:
    """Add on-demand replicas in the cheapest data centres that did not refuse them."""
    for zone in zones:
        if count <= 0 or (zone, False) in refused:
            continue
        current = replicas_by_zone.get(zone, ZoneReplicas())
        room = max(0, spec.maximum - wanted[zone] - current.reclaimable)
        added = min(count, room)
        wanted[zone] += added
        count -= added
