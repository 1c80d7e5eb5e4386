"""Choice of the upstream for a request: prefix affinity against load.

Routers agree without communication on a preferred engine for each shared prefix, by
rendezvous hashing, so that a prefix is prefilled once and not once per router. A loaded
or suspect engine loses its preference gradually.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from heapq import nlargest
from typing import TYPE_CHECKING

from banyansail.gateway.decisions.upstreams.peer_demand import PeerDemand, draw_by_room
from banyansail.gateway.decisions.upstreams.upstream_load import ENGINE_BASE_LATENCY
from banyansail.utils import hash64

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from banyansail.gateway.decisions.upstreams.prefix_spread import PrefixSpread
    from banyansail.gateway.decisions.upstreams.upstream_load import UpstreamLoad
    from banyansail.gateway.request_types import Prompt

MS = timedelta(milliseconds=1)
ENGINE_BASE_MS = ENGINE_BASE_LATENCY / MS
OTHER_ZONE_PENALTY_MS = 4.0  # two hops, and traffic that is billed
FAILURE_PENALTY_MS = 1500.0  # times the failure rate
TIE_TOLERANCE_MS = 3.0  # smaller differences are noise
NEXT_BEST = 2  # candidates that the log names besides the chosen one
ASSUMED_CACHED_SHARE = 0.7  # of shared parts, at the engine that all routers prefer
MIN_OVERDUE_WAIT = timedelta(milliseconds=250)


@dataclass(slots=True, frozen=True)
class Chosen:
    """Chosen upstream and the reason for the choice.

    Parameters
    ----------
    prefill_tokens : int
        Prompt tokens that the upstream is expected to prefill.
    expected_latency : timedelta
        Expected time to the first byte.
    nominal_latency : timedelta
        The same for an upstream of speed 1 without failures, as the speed is measured
        against it.
    next_best : str
        Ids and expected times in ms of the next best upstreams.
    """

    load: UpstreamLoad
    prefill_tokens: int
    expected_latency: timedelta
    reason: str
    nominal_latency: timedelta = timedelta(0)
    next_best: str = ""


@dataclass(slots=True, frozen=True)
class ServiceDemand:
    """Demand of a service, for choices by reports that are old.

    Parameters
    ----------
    peers : PeerDemand
        Work that the other routers assign.
    spread : PrefixSpread
        Demand of the prefixes at this router.
    """

    peers: PeerDemand
    spread: PrefixSpread


def affinity_key(prompt: Prompt | None) -> str:
    """Return the key that requests with the same shared prefix have in common."""
    if prompt is None or not prompt.parts:
        return ""
    # The last part is specific to the request or its session.
    shared = prompt.parts[-2] if len(prompt.parts) > 1 else prompt.parts[0]
    return shared.id


def choose(
    loads: Iterable[UpstreamLoad],
    prompt: Prompt | None,
    *,
    zone: str,
    now: timedelta,
    random: Random,
    excluded: frozenset[str] = frozenset(),
    demand: ServiceDemand | None = None,
) -> Chosen | None:
    """Return the best upstream that has room, or ``None``.

    Parameters
    ----------
    loads : iterable of UpstreamLoad
        Upstreams that may take new work.
    zone : str
        Data centre of this router.
    excluded : frozenset of str
        Ids of upstreams that already failed the request.
    demand : ServiceDemand or None
        Demand of the service; without it the upstream with the shortest expected time
        is chosen, and each prefix has one preferred engine.
    """
    available = [
        load
        for load in loads
        if load.upstream.id not in excluded and has_free_slot(load, now)
    ]
    candidates = [load for load in available if not load.is_suspect(now)] or available
    if not candidates:
        return None
    if prompt is None:
        return _choose_plain(candidates, zone, now, random, demand)
    return _choose_engine(candidates, prompt, zone, now, random, demand)


def has_free_slot(load: UpstreamLoad, now: timedelta) -> bool:
    """Return whether an upstream takes a request of this router.

    One that asked for a pause takes none. One that named a limit or is cold takes only
    as many as are this router's part.
    """
    return (
        load.has_room()
        and not load.pause_left(now)
        and load.limit.is_open(now)
        and load.cold.is_open(now)
    )


@dataclass(slots=True)
class _Candidate:
    """Upstream that may be chosen; times are in milliseconds."""

    load: UpstreamLoad
    prefill_tokens: int
    latency_ms: float
    nominal_ms: float
    reason: str

    def chosen(self, next_best: str = "") -> Chosen:
        """Return the choice of this upstream."""
        return Chosen(
            self.load,
            self.prefill_tokens,
            self.latency_ms * MS,
            self.reason,
            self.nominal_ms * MS,
            next_best,
        )


def _choose_plain(
    loads: list[UpstreamLoad],
    zone: str,
    now: timedelta,
    random: Random,
    demand: ServiceDemand | None,
) -> Chosen:
    is_uneven = any(load.speed != 1 for load in loads)
    candidates = [
        _plain_candidate(load, zone, now, is_uneven=is_uneven) for load in loads
    ]
    return _choose_candidate(
        candidates, demand.peers.added_ms(now) if demand else 0.0, random
    )


def _plain_candidate(
    load: UpstreamLoad, zone: str, now: timedelta, *, is_uneven: bool
) -> _Candidate:
    """Return an upstream of a plain service with its expected time.

    If the speeds of the service's upstreams differ, they are compared by the mean time
    of the service and their speeds, which all routers know alike; else by the times
    that this router measured lately.
    """
    utilisation = (load.in_flight + load.peer_in_flight) / load.upstream.slots
    service_ms = load.answer_time.mean / MS
    if is_uneven:
        latency_ms = service_ms / load.speed * (1 + utilisation / load.speed)
    else:
        latency_ms = load.mean_latency(now) / MS * (1 + utilisation)
    latency_ms += _penalty_ms(load, zone, now)
    return _Candidate(load, 0, latency_ms, service_ms, "shortest expected time")


def _choose_engine(
    loads: list[UpstreamLoad],
    prompt: Prompt,
    zone: str,
    now: timedelta,
    random: Random,
    demand: ServiceDemand | None,
) -> Chosen:
    key = affinity_key(prompt)
    shared = sum(part.tokens for part in prompt.parts[:-1])
    tokens_if_cached = int(prompt.tokens - shared * ASSUMED_CACHED_SHARE)
    count = demand.spread.preferred_count(key, len(loads), now) if demand else 1
    preferred = _preferred(key, loads, count)
    age_ms = demand.peers.age_ms(now) if demand else 0.0
    candidates = []
    for load in loads:
        prefill_tokens = load.uncached_tokens(prompt)
        reason = "less loaded"
        if load.upstream.id in preferred:
            prefill_tokens = min(prefill_tokens, tokens_if_cached)
            reason = "preferred for its prefix"
        nominal_ms, latency_ms = _prefill_ms(load, prefill_tokens, age_ms)
        latency_ms += _penalty_ms(load, zone, now)
        candidates.append(
            _Candidate(load, prefill_tokens, latency_ms, nominal_ms, reason)
        )
    added_ms = demand.peers.added_ms(now) if demand else 0.0
    if added_ms and shared:
        # Requests of other prefixes prefer other engines.
        added_ms *= demand.spread.share(key, now)
    return _choose_candidate(candidates, added_ms, random)


def _preferred(key: str, loads: list[UpstreamLoad], count: int) -> set[str]:
    """Return the ids of the first engines for a prefix by rendezvous hashing."""
    ids = (load.upstream.id for load in loads)
    return set(nlargest(count, ids, key=lambda name: hash64(f"{key}/{name}")))


def _prefill_ms(
    load: UpstreamLoad, tokens: int, report_age_ms: float
) -> tuple[float, float]:
    """Return the time to the first token at speed 1, and at the engine's speed.

    Work that others reported has been prefilled in part since their reports.
    """
    tokens_per_ms = load.prefill_rate.tokens_per_ms
    drained = report_age_ms * tokens_per_ms * load.speed
    ahead = max(0.0, load.peer_pending_prefill_tokens - drained)
    ahead += load.pending_prefill_tokens
    prefill_ms = (tokens + ahead) / tokens_per_ms
    # Decode steps take longer with a larger batch, and prefill runs between them.
    utilisation = (load.in_flight + load.peer_in_flight) / load.upstream.slots
    nominal_ms = ENGINE_BASE_MS + prefill_ms * (1 + utilisation)
    if load.speed == 1:
        return nominal_ms, nominal_ms
    slowdown = 1 + utilisation / load.speed
    return nominal_ms, ENGINE_BASE_MS + prefill_ms / load.speed * slowdown


def _penalty_ms(load: UpstreamLoad, zone: str, now: timedelta) -> float:
    penalty = load.failure_rate(now) * FAILURE_PENALTY_MS
    if load.upstream.zone != zone:
        penalty += OTHER_ZONE_PENALTY_MS
    waited = load.oldest_wait(now)
    if waited > MIN_OVERDUE_WAIT:
        overdue = waited - max(MIN_OVERDUE_WAIT, load.mean_latency(now) * 3)
        penalty += max(0.0, overdue / MS) * 2
    return penalty


def _choose_candidate(
    candidates: list[_Candidate], added_ms: float, random: Random
) -> Chosen:
    """Choose the fastest, or by room if others assign work that isn't known yet."""
    if not added_ms:
        shortest = min(item.latency_ms for item in candidates)
        return random.choice(
            [
                item
                for item in candidates
                if item.latency_ms - shortest <= TIE_TOLERANCE_MS
            ]
        ).chosen()
    candidates.sort(key=lambda item: item.latency_ms)
    chosen = draw_by_room(
        [(item.latency_ms, item.load.speed) for item in candidates], added_ms, random
    )
    others = [
        f"{item.load.upstream.id}:{item.latency_ms:.0f}"
        for item in candidates[: NEXT_BEST + 1]
        if item is not candidates[chosen]
    ]
    return candidates[chosen].chosen(" ".join(others[:NEXT_BEST]))
