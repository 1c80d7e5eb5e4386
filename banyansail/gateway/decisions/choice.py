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
    """

    load: UpstreamLoad
    prefill_tokens: int
    expected_latency: timedelta
    reason: str


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

    One that asked for a pause takes none. One that named a limit or is cold takes only
    as many as are this router's part.
    """
    return (
        load.has_room()
        and not load.pause_left(now)
        and load.limit.is_open(now)
        and load.cold.is_open(now)
    )


def _choose_plain(
    loads: list[UpstreamLoad], zone: str, now: timedelta, random: Random
) -> Chosen:
    return _choose_fastest(
        [
            Chosen(
                load,
                0,
                _expected_plain_latency(load, zone, now),
                "shortest expected time",
            )
            for load in loads
        ],
        random,
    )


def _expected_plain_latency(load: UpstreamLoad, zone: str, now: timedelta) -> timedelta:
    utilisation = (load.in_flight + load.peer_in_flight) / load.upstream.slots
    return load.mean_latency(now) * (1 + utilisation) + _penalty(load, zone, now)


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
        slowdown = 1 + running / load.upstream.slots
        expected_latency = (
            ENGINE_BASE_LATENCY
            + tokens / load.prefill_rate.tokens_per_ms * MS * slowdown
        )
        reason = "preferred for its prefix" if load is preferred else "less loaded"
        candidates.append(
            Chosen(
                load,
                prefill_tokens,
                expected_latency + _penalty(load, zone, now),
                reason,
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
