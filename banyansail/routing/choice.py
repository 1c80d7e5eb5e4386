"""Choice of an upstream for one request."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from banyansail.routing.pool import UpstreamPool
    from banyansail.routing.request_types import Ticket
    from banyansail.routing.sampled_set import SampledSet
    from banyansail.routing.upstream_state import UpstreamState

MAX_AFFINITY_CANDIDATES = 4  # upstreams tried in ring order for an affinity key
AFFINITY_LOAD_FACTOR = 1.25  # load bound of an upstream, as a multiple of the mean
SAMPLES_PER_GROUP = 2  # upstreams sampled each from the home, near and far zones
# One-way latency of a near zone: up to it a cached prefix saves more time than the
# extra network distance costs.
NEAR_ZONE_LATENCY = timedelta(milliseconds=5)
QUEUEING_LOAD = 0.7  # fraction of the limit; below it no waiting is expected
# Costs are rounded to a tenth of the latency target; equal ones are ordered by price.
COST_STEPS = 10


class ZoneLatency(Protocol):
    """Network latency between this router and the zones."""

    def to_zone(self, zone: str) -> timedelta:
        """Return the one-way latency to a zone."""


@dataclass(slots=True, frozen=True)
class Chosen:
    """The upstream chosen for a request.

    Parameters
    ----------
    reason : str
        Why it was chosen: affinity, exclusive, least_loaded or spilled.
    alternatives : tuple of str
        Other upstreams that were considered.
    """

    state: UpstreamState
    reason: str
    alternatives: tuple[str, ...]


def choose_upstream(
    ticket: Ticket,
    pool: UpstreamPool,
    *,
    home_zone: str,
    zone_latency: ZoneLatency,
    latency_target: timedelta,
    now: timedelta,
    random: Random,
) -> Chosen | None:
    """Choose an upstream with room, or return ``None`` if there is none.

    Requests with an affinity key go to the first upstream on the ring whose load
    is near the mean (consistent hashing with bounded loads). All others go to the
    cheapest, by load and network latency, of a few sampled at random from the home
    zone and from other zones.

    Parameters
    ----------
    ticket : Ticket
        The request.
    pool : UpstreamPool
        Upstreams of the version that the request goes to.
    home_zone : str
        Zone of this router.
    zone_latency : ZoneLatency
        Network latency to each zone.
    latency_target : timedelta
        Latency target of the service; network latency is weighted relative to it.
    now : timedelta
        Monotonic time.
    random : Random
        Source of randomness for the samples.
    """
    if ticket.is_exclusive:
        return _choose_idle(ticket, pool, now)
    if ticket.affinity:
        chosen = _choose_by_affinity(ticket, pool, zone_latency, now)
        if chosen is not None:
            return chosen
    candidates = _sample_candidates(ticket, pool, home_zone, zone_latency, now, random)
    if not candidates:
        return None

    def rank(state: UpstreamState) -> tuple[float, float, float, float]:
        load = (state.estimated_in_flight(now) + 1) / state.limit.value
        network_cost = zone_latency.to_zone(state.rule.zone) / latency_target
        queueing_cost = max(0.0, load - QUEUEING_LOAD)
        return (
            round((queueing_cost + network_cost) * COST_STEPS),
            state.rule.price,
            network_cost,
            load,
        )

    best = min(candidates, key=rank)
    alternatives = tuple(item.rule.name for item in candidates if item is not best)
    reason = "least_loaded" if best.rule.zone == home_zone else "spilled"
    return Chosen(best, reason, alternatives)


def _choose_by_affinity(
    ticket: Ticket, pool: UpstreamPool, zone_latency: ZoneLatency, now: timedelta
) -> Chosen | None:
    mean = (pool.in_flight + 1) / max(1, len(pool))
    bound = AFFINITY_LOAD_FACTOR * mean + 1
    skipped: list[str] = []
    for state in pool.walk_ring(ticket.affinity, MAX_AFFINITY_CANDIDATES):
        is_near = zone_latency.to_zone(state.rule.zone) <= NEAR_ZONE_LATENCY
        is_usable = state.rule.name not in ticket.excluded and state.has_room(now)
        if is_near and is_usable and state.in_flight <= bound:
            return Chosen(state, "affinity", tuple(skipped))
        skipped.append(state.rule.name)
    return None


def _choose_idle(ticket: Ticket, pool: UpstreamPool, now: timedelta) -> Chosen | None:
    for name in _names_with_room(pool):
        state = pool.state_by_name[name]
        is_idle = state.in_flight == 0 and state.has_room(now)
        if is_idle and name not in ticket.excluded:
            return Chosen(state, "exclusive", ())
    return None


def _names_with_room(pool: UpstreamPool) -> Iterable[str]:
    for zone_set in pool.names_with_room_by_zone.values():
        yield from zone_set


def _sample_candidates(
    ticket: Ticket,
    pool: UpstreamPool,
    home_zone: str,
    zone_latency: ZoneLatency,
    now: timedelta,
    random: Random,
) -> list[UpstreamState]:
    """Sample a few upstreams from the home zone, one near zone and one far zone."""
    home: list[SampledSet] = []
    near: list[SampledSet] = []
    far: list[SampledSet] = []
    for zone, names_with_room in pool.names_with_room_by_zone.items():
        if not names_with_room:
            continue
        if zone == home_zone:
            home.append(names_with_room)
        elif zone_latency.to_zone(zone) <= NEAR_ZONE_LATENCY:
            near.append(names_with_room)
        else:
            far.append(names_with_room)
    names: list[str] = []
    for sets in (home, near, far):
        if sets:
            zone_set = sets[int(random.random() * len(sets))]
            names.extend(zone_set.sample(random, SAMPLES_PER_GROUP))
    states = [pool.state_by_name[name] for name in dict.fromkeys(names)]
    usable = [item for item in states if _is_usable(item, ticket, now)]
    if usable or not ticket.excluded:
        return usable
    # Scanning all upstreams is slow, so only requests with failed attempts do it.
    all_with_room = (pool.state_by_name[name] for name in _names_with_room(pool))
    return [item for item in all_with_room if _is_usable(item, ticket, now)]


def _is_usable(state: UpstreamState, ticket: Ticket, now: timedelta) -> bool:
    return state.rule.name not in ticket.excluded and state.has_room(now)
