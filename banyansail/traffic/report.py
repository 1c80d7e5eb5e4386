"""Data classes of traffic: the report of one router, and sums of many."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from banyansail.traffic.speed_evidence import SpeedEvidence
from banyansail.traffic.tally import Tally, TallyKey


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
class NamedLimit:
    """Limit that an upstream named in an answer.

    Parameters
    ----------
    per_s : float or None
        Requests per second from all routers together; ``None`` if it named none.
    age : timedelta
        Time since that answer.
    """

    per_s: float | None
    age: timedelta

    def aged(self, time: timedelta) -> NamedLimit:
        """Return the same limit some time later."""
        return NamedLimit(self.per_s, self.age + time)


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
        Answers during the present moves.
    is_unfit_for_duties : bool
        Whether the router is draining or can't reach the store.
    is_urgent : bool
        Whether a quota is nearly used up, so that others should know this use soon.
    holds_duties : bool
        Whether the router holds the lease on the duties of the fleet.
    limits : dict
        Limits that upstreams named to the router, by the upstream's incarnation.
    speeds : dict
        Speeds that the router measured, by the upstream's incarnation.
    assigned_by_name : dict
        Work assigned since the process started, by `service/workspace`.
    rejected_by_workspace : dict
        Quota units that the quota rejected since the process started.
    """

    used_by_workspace: dict[str, float] = field(default_factory=dict)
    prefill_tokens_by_service: dict[str, float] = field(default_factory=dict)
    work_by_upstream: dict[str, UpstreamWork] = field(default_factory=dict)
    tallies: dict[TallyKey, Tally] = field(default_factory=dict)
    is_unfit_for_duties: bool = False
    is_urgent: bool = False
    holds_duties: bool = False
    limits: dict[str, NamedLimit] = field(default_factory=dict)
    speeds: dict[str, SpeedEvidence] = field(default_factory=dict)
    assigned_by_name: dict[str, float] = field(default_factory=dict)
    rejected_by_workspace: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class TrafficSum:
    """Traffic of the routers of a data centre, or of the fleet.

    The counters start at an arbitrary value with each process of the aggregator, so
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
    limits : dict
        Latest limits that upstreams named to the routers, by upstream's incarnation.
    speeds : dict
        Speeds that the routers measured, by the upstream's incarnation.
    assigned_by_name : dict
        Counters of assigned work, see `TrafficReport`.
    rejected_by_workspace : dict
        Counters of what quotas rejected, see `TrafficReport`.
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
    limits: dict[str, NamedLimit] = field(default_factory=dict)
    speeds: dict[str, SpeedEvidence] = field(default_factory=dict)
    assigned_by_name: dict[str, float] = field(default_factory=dict)
    rejected_by_workspace: dict[str, float] = field(default_factory=dict)


def merge_limits(
    latest: dict[str, NamedLimit], limits: dict[str, NamedLimit], time: timedelta
) -> None:
    """Keep the latest limit of each upstream.

    Parameters
    ----------
    time : timedelta
        Since `limits` were reported.
    """
    for upstream, named in limits.items():
        aged = named.aged(time)
        known = latest.get(upstream)
        if known is None or aged.age < known.age:
            latest[upstream] = aged


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
        total.setdefault(key, Tally()).merge_max(tally)
