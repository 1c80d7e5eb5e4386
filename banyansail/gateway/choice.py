"""Chooses the upstream for a request: cached prefix against load.

Routers agree without talking on a preferred engine for each shared prefix, by
rendezvous hashing, so that a prefix is read once and not once a router. A loaded or
doubtful engine loses its preference gradually.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.gateway.upstream_load import ENGINE_BASE
from banyansail.utils import hash64

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from banyansail.gateway.messages import Prompt
    from banyansail.gateway.upstream_load import UpstreamLoad

MS = timedelta(milliseconds=1)
OTHER_ZONE_COST = timedelta(milliseconds=4)  # two hops, and bytes that are paid for
FAILURE_COST = timedelta(milliseconds=1500)  # at a failure share of 1
TIE = timedelta(milliseconds=3)  # differences below this are noise
ASSUMED_CACHED_SHARE = 0.7  # of shared parts, at the engine that all prefer
OVERDUE = timedelta(milliseconds=250)


@dataclass(slots=True, frozen=True)
class Chosen:
    """An upstream and why it was chosen.

    Parameters
    ----------
    work : int
        Prompt tokens that it is expected to read.
    expected : timedelta
        Expected time to the first byte.
    """

    load: UpstreamLoad
    work: int
    expected: timedelta
    reason: str


def affinity_key(prompt: Prompt | None) -> str:
    """Return what requests with the same cached prefix have in common."""
    if prompt is None or not prompt.parts:
        return ""
    # The last part belongs to the request itself or to its session.
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
        Ids of upstreams that failed the request before.
    """
    able = [
        load for load in loads if load.upstream.id not in excluded and has_room(load)
    ]
    trusted = [load for load in able if not load.is_suspect(now)] or able
    if not trusted:
        return None
    if prompt is None:
        return _choose_plain(trusted, zone, now, random)
    return _choose_engine(trusted, prompt, zone, now, random)


def has_room(load: UpstreamLoad) -> bool:
    """Tell whether an upstream has a free slot by what is known."""
    return load.in_flight + load.peer_in_flight < load.upstream.slots


def _choose_plain(
    loads: list[UpstreamLoad], zone: str, now: timedelta, random: Random
) -> Chosen:
    return _best(
        [
            Chosen(load, 0, _plain_time(load, zone, now), "shortest expected time")
            for load in loads
        ],
        random,
    )


def _plain_time(load: UpstreamLoad, zone: str, now: timedelta) -> timedelta:
    queued = (load.in_flight + load.peer_in_flight) / load.upstream.slots
    return load.latency(now) * (1 + queued) + _penalty(load, zone, now)


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
        work = load.uncached(prompt)
        if load is preferred:
            shared = sum(part.tokens for part in prompt.parts[:-1])
            work = min(work, int(prompt.tokens - shared * ASSUMED_CACHED_SHARE))
        tokens = work + load.reading + load.peer_reading
        running = load.in_flight + load.peer_in_flight
        # Steps grow with the batch, and reading is spread between them.
        slowdown = 1 + running / load.upstream.slots
        expected = ENGINE_BASE + tokens / load.pace.tokens_per_ms * MS * slowdown
        reason = "preferred for its prefix" if load is preferred else "less loaded"
        candidates.append(
            Chosen(load, work, expected + _penalty(load, zone, now), reason)
        )
    return _best(candidates, random)


def _penalty(load: UpstreamLoad, zone: str, now: timedelta) -> timedelta:
    cost = load.failure_share(now) * FAILURE_COST
    if load.upstream.zone != zone:
        cost += OTHER_ZONE_COST
    overdue = load.oldest_wait(now) - max(OVERDUE, load.latency(now) * 3)
    return cost + max(timedelta(0), overdue) * 2


def _best(candidates: list[Chosen], random: Random) -> Chosen:
    least = min(candidate.expected for candidate in candidates)
    near = [item for item in candidates if item.expected - least <= TIE]
    return random.choice(near)
