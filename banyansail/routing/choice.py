"""Choice of an upstream for one request."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from banyansail.routing.messages import Ticket
    from banyansail.routing.pool import Pool
    from banyansail.routing.sampled_set import SampledSet
    from banyansail.routing.upstream_state import UpstreamState

AFFINITY_WALK = 4  # upstreams tried along the ring
AFFINITY_LOAD_FACTOR = 1.25  # bound on the load, as a multiple of the mean
SAMPLES = 2  # upstreams drawn from each zone's set
NEAR_HOP = timedelta(milliseconds=5)  # a prefix cache this near is worth the hop
BUSY_LOAD = 0.7  # of the limit; below it a call does not wait
PRICE_BAND = 10  # waits equal to a tenth of the target are told apart by price


class Hops(Protocol):
    """Network distance of zones from this router."""

    def to_zone(self, zone: str) -> timedelta:
        """Return the one-way latency to a zone."""


@dataclass(slots=True, frozen=True)
class Chosen:
    """The upstream for a request.

    Parameters
    ----------
    reason : str
        Which rule of the choice decided.
    losers : tuple of str
        Upstreams that were considered as well.
    """

    state: UpstreamState
    reason: str
    losers: tuple[str, ...]


def choose_upstream(
    ticket: Ticket,
    pool: Pool,
    *,
    home_zone: str,
    hops: Hops,
    latency_target: timedelta,
    now: timedelta,
    random: Random,
) -> Chosen | None:
    """Choose an upstream with room, or return ``None`` if there is none.

    Requests with an affinity key go to the first upstream on the ring whose load
    is near the mean (consistent hashing with bounded loads); the rest go to the
    least loaded of a few drawn at random, the home zone's and the others'.

    Parameters
    ----------
    ticket : Ticket
        The request.
    pool : Pool
        Upstreams of the version that the request goes to.
    home_zone : str
        Zone of this router.
    hops : Hops
        Distance to each zone.
    latency_target : timedelta
        Latency target of the service; a hop's cost is measured against it.
    now : timedelta
        Monotonic time.
    random : Random
        Source of the draws.
    """
    if ticket.exclusive:
        return _choose_idle(ticket, pool, now)
    if ticket.affinity:
        chosen = _choose_by_affinity(ticket, pool, hops, now)
        if chosen is not None:
            return chosen
    candidates = _draw(ticket, pool, home_zone, hops, now, random)
    if not candidates:
        return None

    def rank(state: UpstreamState) -> tuple[float, float, float, float]:
        load = (state.load(now) + 1) / state.limit.value
        hop = hops.to_zone(state.rule.zone) / latency_target
        wait = max(0.0, load - BUSY_LOAD)
        return (round((wait + hop) * PRICE_BAND), state.rule.price, hop, load)

    best = min(candidates, key=rank)
    losers = tuple(item.rule.name for item in candidates if item is not best)
    reason = "least_loaded" if best.rule.zone == home_zone else "spilled"
    return Chosen(best, reason, losers)


def _choose_by_affinity(
    ticket: Ticket, pool: Pool, hops: Hops, now: timedelta
) -> Chosen | None:
    mean = (pool.in_flight + 1) / max(1, len(pool))
    bound = AFFINITY_LOAD_FACTOR * mean + 1
    passed: list[str] = []
    for state in pool.ring_walk(ticket.affinity, AFFINITY_WALK):
        near = hops.to_zone(state.rule.zone) <= NEAR_HOP
        allowed = state.rule.name not in ticket.excluded and state.has_room(now)
        if near and allowed and state.in_flight <= bound:
            return Chosen(state, "affinity", tuple(passed))
        passed.append(state.rule.name)
    return None


def _choose_idle(ticket: Ticket, pool: Pool, now: timedelta) -> Chosen | None:
    for name in _names_with_room(pool):
        state = pool.state_by_name[name]
        idle = state.in_flight == 0 and state.has_room(now)
        if idle and name not in ticket.excluded:
            return Chosen(state, "exclusive", ())
    return None


def _names_with_room(pool: Pool) -> Iterable[str]:
    for zone_set in pool.room_by_zone.values():
        yield from zone_set


def _draw(
    ticket: Ticket,
    pool: Pool,
    home_zone: str,
    hops: Hops,
    now: timedelta,
    random: Random,
) -> list[UpstreamState]:
    """Draw a few upstreams from home, from a near zone and from a far one."""
    home: list[SampledSet] = []
    near: list[SampledSet] = []
    far: list[SampledSet] = []
    for zone, names_with_room in pool.room_by_zone.items():
        if not names_with_room:
            continue
        if zone == home_zone:
            home.append(names_with_room)
        elif hops.to_zone(zone) <= NEAR_HOP:
            near.append(names_with_room)
        else:
            far.append(names_with_room)
    names: list[str] = []
    for sets in (home, near, far):
        if sets:
            drawn = sets[int(random.random() * len(sets))]
            names.extend(drawn.draw(random, SAMPLES))
    states = [pool.state_by_name[name] for name in dict.fromkeys(names)]
    usable = [item for item in states if _is_usable(item, ticket, now)]
    if usable or not ticket.excluded:
        return usable
    # Only a request that was tried before pays for a look at all upstreams.
    every = (pool.state_by_name[name] for name in _names_with_room(pool))
    return [item for item in every if _is_usable(item, ticket, now)]


def _is_usable(state: UpstreamState, ticket: Ticket, now: timedelta) -> bool:
    return state.rule.name not in ticket.excluded and state.has_room(now)
