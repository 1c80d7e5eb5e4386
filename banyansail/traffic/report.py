"""Data classes of traffic: the report of one router, and sums of many."""

from __future__ import annotations

from dataclasses import dataclass, field

from banyansail.traffic.tally import Tally

TallyKey = tuple[str, int, bool]  # service, number of the move, is_target


@dataclass(slots=True, frozen=True)
class UpstreamWork:
    """Load of an upstream, by one router or by several.

    Parameters
    ----------
    running : int
        Requests in flight.
    pending_prefill_tokens : int
        Prompt tokens of requests that have no first token yet.
    """

    running: int
    pending_prefill_tokens: int

    def __add__(self, other: UpstreamWork) -> UpstreamWork:
        return UpstreamWork(
            self.running + other.running,
            self.pending_prefill_tokens + other.pending_prefill_tokens,
        )

    def __sub__(self, other: UpstreamWork) -> UpstreamWork:
        return UpstreamWork(
            max(0, self.running - other.running),
            max(0, self.pending_prefill_tokens - other.pending_prefill_tokens),
        )


NO_WORK = UpstreamWork(0, 0)


@dataclass(slots=True, frozen=True)
class TrafficReport:
    """Traffic of one router process.

    Parameters
    ----------
    used_by_workspace : dict
        Quota units used since the process started.
    prefill_tokens_by_service : dict
        Prompt tokens sent to engines for prefill since the process started.
    work_by_upstream : dict
        Load in flight.
    tallies : dict
        Answers by service, move and whether the version is the move's target.
    is_unfit_for_duties : bool
        Whether the router is draining or can't reach the store.
    is_urgent : bool
        Whether a quota is nearly used up, so that others should know this use soon.
    holds_duties : bool
        Whether the router holds the lease on the duties of the fleet.
    """

    used_by_workspace: dict[str, float] = field(default_factory=dict)
    prefill_tokens_by_service: dict[str, float] = field(default_factory=dict)
    work_by_upstream: dict[str, UpstreamWork] = field(default_factory=dict)
    tallies: dict[TallyKey, Tally] = field(default_factory=dict)
    is_unfit_for_duties: bool = False
    is_urgent: bool = False
    holds_duties: bool = False


@dataclass(slots=True, frozen=True)
class TrafficSum:
    """Traffic of the routers of a data centre, or of the fleet.

    The two counters start at an arbitrary value with each process of the aggregator, so
    that only their increase has a meaning.

    Parameters
    ----------
    used_by_workspace, prefill_tokens_by_service : dict
        Counters, see `TrafficReport`.
    work_by_upstream : dict
        Load in flight of the routers that reported recently.
    tallies : dict
        Answers counted by all processes of the routers.
    routers : int
        Routers in the sum, including the silent ones.
    silent_routers : int
        Routers without a recent report.
    duty_candidates : tuple of str
        Routers that rank first for duties among those fit for them.
    duty_holders : tuple of str
        Routers that hold the lease on the duties, as they reported; usually one.
    sequence_by_router : dict
        Sequence of the last report that the sum includes, by `router_key`, of the
        routers that reported recently; only in the sum that an aggregator sends to the
        routers of its own data centre.
    is_urgent : bool
        Whether one of the reports was urgent.
    """

    used_by_workspace: dict[str, float] = field(default_factory=dict)
    prefill_tokens_by_service: dict[str, float] = field(default_factory=dict)
    work_by_upstream: dict[str, UpstreamWork] = field(default_factory=dict)
    tallies: dict[TallyKey, Tally] = field(default_factory=dict)
    routers: int = 0
    silent_routers: int = 0
    duty_candidates: tuple[str, ...] = ()
    duty_holders: tuple[str, ...] = ()
    sequence_by_router: dict[int, int] = field(default_factory=dict)
    is_urgent: bool = False


def add_work(
    total: dict[str, UpstreamWork], work_by_upstream: dict[str, UpstreamWork]
) -> None:
    """Add the load of some routers to a total."""
    for name, work in work_by_upstream.items():
        total[name] = total.get(name, NO_WORK) + work


def add_tallies(total: dict[TallyKey, Tally], tallies: dict[TallyKey, Tally]) -> None:
    """Add the answers that others counted to a total."""
    for key, tally in tallies.items():
        total.setdefault(key, Tally()).add(tally)


def merge_max_tallies(
    total: dict[TallyKey, Tally], tallies: dict[TallyKey, Tally]
) -> None:
    """Keep the larger of two counts of the same answers."""
    for key, tally in tallies.items():
        known = total.setdefault(key, Tally())
        known.good = max(known.good, tally.good)
        known.bad = max(known.bad, tally.bad)
