"""Judges a new version by comparing it with the old one at the same time.

Time is cut into slices. Within a slice a failure falls to the new version with the
probability of its part of the calls, if both versions fail alike; over all slices
the observed failures are held against that (a stratified test, as by Mantel and
Haenszel, with a binomial tail as counts are small). Sums over the whole time would
blame the new version for a disturbance of both that fell into the time in which it
had more of the traffic.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from banyansail.rollout.binomial import binomial_tail
from banyansail.rollout.evidence import (
    BUCKETS_PER_DOUBLING,
    FIRST_BUCKET,
    Evidence,
    EvidenceCell,
    EvidenceKey,
)

SIGNIFICANCE = 1e-5
TOLERATED_RATE = 0.02  # failures beyond the old version's that are let pass
TOLERATED_SLOW_RATE = 0.1
DOUBTFUL_RATE = 0.05  # with little of the old version to compare with
DOUBTFUL_SLOW_RATE = 0.2
DOUBTFUL_SPLIT = 0.6  # part of the calls from which on the old version has little
SLOW_FACTOR = 2.0  # beyond the old version's 90th percentile
SLOW_FLOOR_SHARE = 0.25  # of the latency target; faster than this is never slow
SLOW_PERCENTILE = 0.9
SLOW_MIN_CALLS = 20  # of the old version, for a percentile to be known
ALL_CALLS = "all calls"


@dataclass(slots=True, frozen=True)
class Bad:
    """The new version is worse than the old one.

    Parameters
    ----------
    reason : str
        On which calls, in what way, with the counts.
    """

    reason: str


@dataclass(slots=True, frozen=True)
class Doubtful:
    """The new version does badly, but the old one has too few calls to compare.

    Parameters
    ----------
    reason : str
        On which calls, in what way, with the counts.
    """

    reason: str


@dataclass(slots=True, frozen=True)
class NoBadSign:
    """Nothing speaks against the new version."""


Verdict = Bad | Doubtful | NoBadSign


@dataclass(slots=True)
class Events:
    """Bad events of one kind: failures, or slow answers.

    Parameters
    ----------
    calls : int
        Calls of the new version.
    new, both : int
        Events of the new version, and of both versions.
    expected : float
        Events that would fall to the new version if both did alike.
    """

    calls: int = 0
    new: int = 0
    both: int = 0
    expected: float = 0.0

    def add(self, other: Events, sign: int = 1) -> None:
        """Add the events of another slice, or take them out with a sign of -1."""
        self.calls += sign * other.calls
        self.new += sign * other.new
        self.both += sign * other.both
        self.expected += sign * other.expected

    def is_excess(self, tolerated_rate: float) -> bool:
        """Tell whether the new version has more than its part, beyond doubt."""
        if self.new == 0:
            return False
        let_pass = self.calls * tolerated_rate
        trials = max(self.new, math.ceil(self.both + let_pass))
        probability = min(0.999, (self.expected + let_pass) / trials)
        return binomial_tail(self.new, trials, probability) < SIGNIFICANCE

    def is_doubtful(self, rate: float) -> bool:
        """Tell whether the rate is high where the old version has few calls."""
        if self.new == 0 or self.expected < DOUBTFUL_SPLIT * self.both:
            return False
        return binomial_tail(self.new, self.calls, rate) < SIGNIFICANCE


@dataclass(slots=True)
class Tally:
    """Failures and slow answers of one group of calls."""

    failures: Events = field(default_factory=Events)
    slow: Events = field(default_factory=Events)

    def add(self, other: Tally, sign: int = 1) -> None:
        """Add the events of another slice, or take them out with a sign of -1."""
        self.failures.add(other.failures, sign)
        self.slow.add(other.slow, sign)


Tallies = dict[str, Tally]


def tally_slice(
    part: Evidence,
    totals: Evidence,
    service: str,
    old_version: str,
    new_version: str,
    latency_target: timedelta,
) -> Tallies:
    """Compare two versions within one slice of time.

    Parameters
    ----------
    part : dict
        Evidence that came within the slice.
    totals : dict
        All evidence; the old version's usual latency is taken from it.
    latency_target : timedelta
        Target of the service.

    Returns
    -------
    dict of str to Tally
        By group of calls: all, each route, and each route's workspaces and load
        bands.
    """
    old_groups = _group(part, service, old_version)
    new_groups = _group(part, service, new_version)
    if not new_groups:
        return {}
    usual_groups = _group(totals, service, old_version)
    tallies: Tallies = {ALL_CALLS: Tally()}
    for group in new_groups.keys() | old_groups.keys():
        usual = usual_groups.get(_Group(group.route), EvidenceCell())
        limit = _slow_limit(usual, latency_target)
        old = old_groups.get(group, EvidenceCell())
        new = new_groups.get(group, EvidenceCell())
        # Calls of a route are drawn alike in every workspace, but not in every
        # load band: the versions differ in their load.
        whole = group if group.load_band is not None else _Group(group.route)
        split_old = old_groups.get(whole, EvidenceCell())
        split_new = new_groups.get(whole, EvidenceCell())
        tally = _compare(old, new, split_old, split_new, limit)
        tallies[str(group)] = tally
        if group == _Group(group.route):
            tallies[ALL_CALLS].add(tally)
    return tallies


def add_tallies(total: Tallies, part: Tallies, sign: int = 1) -> None:
    """Add a slice to a sum, or take it out with a sign of -1."""
    for name, tally in part.items():
        total.setdefault(name, Tally()).add(tally, sign)


def joined_tallies(total: Tallies, part: Tallies) -> Tallies:
    """Return the sum of two, which are left as they are."""
    joined: Tallies = {}
    add_tallies(joined, total)
    add_tallies(joined, part)
    return joined


def judge(tallies: Tallies) -> Verdict:
    """Judge each group of calls by itself."""
    for name, tally in tallies.items():
        if tally.failures.is_excess(TOLERATED_RATE):
            return Bad(_explain(name, tally.failures, "failed"))
        if tally.slow.is_excess(TOLERATED_SLOW_RATE):
            return Bad(_explain(name, tally.slow, "were slow"))
    for name, tally in tallies.items():
        if tally.failures.is_doubtful(DOUBTFUL_RATE):
            return Doubtful(_explain(name, tally.failures, "failed"))
        if tally.slow.is_doubtful(DOUBTFUL_SLOW_RATE):
            return Doubtful(_explain(name, tally.slow, "were slow"))
    return NoBadSign()


def answered_calls(tallies: Tallies) -> int:
    """Return how many calls the new version answered."""
    failures = tallies.get(ALL_CALLS, Tally()).failures
    return failures.calls - failures.new


@dataclass(slots=True, frozen=True)
class _Group:
    """Calls that are judged together."""

    route: str
    workspace: str | None = None
    load_band: int | None = None

    def __str__(self) -> str:
        name = f"route {self.route}"
        if self.workspace is not None:
            name += f" of workspace {self.workspace}"
        if self.load_band is not None:
            name += f" in load band {self.load_band}"
        return name


def _groups_of(key: EvidenceKey) -> Iterator[_Group]:
    yield _Group(key.route)
    yield _Group(key.route, workspace=key.workspace)
    yield _Group(key.route, load_band=key.load_band)


def _group(
    evidence: Evidence, service: str, version: str
) -> dict[_Group, EvidenceCell]:
    cell_by_group: dict[_Group, EvidenceCell] = {}
    for key, cell in evidence.items():
        if key.service != service or key.version != version:
            continue
        for group in _groups_of(key):
            cell_by_group.setdefault(group, EvidenceCell()).add(cell)
    return cell_by_group


def _compare(
    old: EvidenceCell,
    new: EvidenceCell,
    split_old: EvidenceCell,
    split_new: EvidenceCell,
    limit: timedelta,
) -> Tally:
    failures = _count_events(
        new.total,
        new.failed,
        old.failed,
        split_new.total / max(1, split_new.total + split_old.total),
    )
    slow = _count_events(
        new.good,
        new.count_slower_than(limit),
        old.count_slower_than(limit),
        split_new.good / max(1, split_new.good + split_old.good),
    )
    return Tally(failures, slow)


def _count_events(calls: int, new: int, old: int, split: float) -> Events:
    both = new + old
    return Events(calls, new, both, both * split)


def _explain(group: str, events: Events, what: str) -> str:
    return (
        f"{group}: {events.new} of {events.calls} calls {what}, where "
        f"{events.expected:.1f} of {events.both} would be the new version's part"
    )


def _slow_limit(usual: EvidenceCell, target: timedelta) -> timedelta:
    if usual.good < SLOW_MIN_CALLS:
        return target
    usually = _percentile(usual, SLOW_PERCENTILE)
    return max(usually * SLOW_FACTOR, target * SLOW_FLOOR_SHARE)


def _percentile(cell: EvidenceCell, share: float) -> timedelta:
    wanted = cell.good * share
    seen = 0
    for bucket, count in enumerate(cell.latencies):
        seen += count
        if seen >= wanted:
            return FIRST_BUCKET * 2 ** (bucket / BUCKETS_PER_DOUBLING)
    return FIRST_BUCKET * 2 ** (len(cell.latencies) / BUCKETS_PER_DOUBLING)
