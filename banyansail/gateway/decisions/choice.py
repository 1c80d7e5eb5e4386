"""Choice of the upstream for a request: prefix affinity against load.

Routers agree without communication on a preferred engine for each shared prefix, by
rendezvous hashing, so that a prefix is prefilled once and not once per router. A loaded
or suspect engine loses its preference gradually.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.gateway.decisions.upstream_load import ENGINE_BASE_LATENCY
from banyansail.utils import hash64

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from banyansail.gateway.decisions.upstream_load import UpstreamLoad
    from banyansail.gateway.request_types import Prompt

MS = timedelta(milliseconds=1)
OTHER_ZONE_PENALTY = timedelta(milliseconds=4)  # two hops, and traffic that is billed
FAILURE_PENALTY = timedelta(milliseconds=1500)  # times the failure rate
TIE_TOLERANCE = timedelta(milliseconds=3)  # smaller differences are noise
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
    """

    load: UpstreamLoad
    prefill_tokens: int
    expected_latency: timedelta
    reason: str
    nominal_latency: timedelta = timedelta(0)


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
        return _choose_plain(candidates, zone, now, random)
    return _choose_engine(candidates, prompt, zone, now, random)


def has_free_slot(load: UpstreamLoad, now: timedelta) -> bool:
    """Return whether an upstream takes a request of this router.

    One that asked for a pause takes none, and one that named a limit only as many as
    are this router's part of it.
    """
    return load.has_room() and not load.pause_left(now) and load.limit.is_open(now)


def _choose_plain(
    loads: list[UpstreamLoad], zone: str, now: timedelta, random: Random
) -> Chosen:
    is_uneven = any(load.speed != 1 for load in loads)
    return _choose_fastest(
        [_plain_candidate(load, zone, now, is_uneven=is_uneven) for load in loads],
        random,
    )


def _plain_candidate(
    load: UpstreamLoad, zone: str, now: timedelta, *, is_uneven: bool
) -> Chosen:
    """Return an upstream of a plain service with its expected time.

    If the speeds of the service's upstreams differ, they are compared by the mean time
    of the service and their speeds, which all routers know alike; else by the times
    that this router measured lately.
    """
    utilisation = (load.in_flight + load.peer_in_flight) / load.upstream.slots
    service_time = load.answer_time.mean
    if is_uneven:
        latency = service_time / load.speed * (1 + utilisation / load.speed)
    else:
        latency = load.mean_latency(now) * (1 + utilisation)
    return Chosen(
        load,
        0,
        latency + _penalty(load, zone, now),
        "shortest expected time",
        service_time,
    )


def _choose_engine(
    loads: list[UpstreamLoad],
    prompt: Prompt,
    zone: str,
    now: timedelta,
    random: Random,
) -> Chosen:
    key = affinity_key(prompt)
    preferred = max(loads, key=lambda load: hash64(f"{key}/{load.upstream.id}"))
    candidates = []
    for load in loads:
        prefill_tokens = load.uncached_tokens(prompt)
        if load is preferred:
            shared = sum(part.tokens for part in prompt.parts[:-1])
            prefill_tokens = min(
                prefill_tokens, int(prompt.tokens - shared * ASSUMED_CACHED_SHARE)
            )
        tokens = (
            prefill_tokens
            + load.pending_prefill_tokens
            + load.peer_pending_prefill_tokens
        )
        running = load.in_flight + load.peer_in_flight
        # Decode steps take longer with a larger batch, and prefill runs between them.
        utilisation = running / load.upstream.slots
        prefill_time = tokens / load.prefill_rate.tokens_per_ms * MS
        nominal_latency = ENGINE_BASE_LATENCY + prefill_time * (1 + utilisation)
        expected_latency = nominal_latency
        if load.speed != 1:
            slowdown = 1 + utilisation / load.speed
            expected_latency = (
                ENGINE_BASE_LATENCY + prefill_time / load.speed * slowdown
            )
        reason = "preferred for its prefix" if load is preferred else "less loaded"
        candidates.append(
            Chosen(
                load,
                prefill_tokens,
                expected_latency + _penalty(load, zone, now),
                reason,
                nominal_latency,
            )
        )
    return _choose_fastest(candidates, random)


def _penalty(load: UpstreamLoad, zone: str, now: timedelta) -> timedelta:
    penalty = load.failure_rate(now) * FAILURE_PENALTY
    if load.upstream.zone != zone:
        penalty += OTHER_ZONE_PENALTY
    overdue = load.oldest_wait(now) - max(MIN_OVERDUE_WAIT, load.mean_latency(now) * 3)
    return penalty + max(timedelta(0), overdue) * 2


def _choose_fastest(candidates: list[Chosen], random: Random) -> Chosen:
    shortest = min(candidate.expected_latency for candidate in candidates)
    tied = [
        item for item in candidates if item.expected_latency - shortest <= TIE_TOLERANCE
    ]
    return random.choice(tied)
