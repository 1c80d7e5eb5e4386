"""Judges a new version by comparing it with the old one over the same periods.

Time is cut into slices. If both versions fail alike, a failure within a slice is the
new version's with the probability of its share of the calls. The observed failures
are tested against this expectation over all slices (a stratified test, as by Mantel
and Haenszel, with a binomial tail as counts are small). Sums over the whole time
would blame the new version for a disturbance of both versions that occurred while it
had more of the traffic.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

from banyansail.rollout.evidence import (
    BUCKETS_PER_DOUBLING,
    FIRST_BUCKET_LIMIT,
    Evidence,
    EvidenceCell,
    EvidenceKey,
)
from banyansail.rollout.tally import ALL_CALLS, EventCounts, Tallies, Tally

TOLERATED_FAILURE_RATE = 0.02  # tolerated beyond the old version's failure rate
TOLERATED_SLOW_RATE = 0.1
# Rates that are suspicious while the old version has too few calls to compare with.
SUSPECT_FAILURE_RATE = 0.05
SUSPECT_SLOW_RATE = 0.2
SLOW_FACTOR = 2.0  # times the old version's 90th percentile
SLOW_FLOOR_SHARE = 0.25  # of the latency target; faster than this is never slow
SLOW_PERCENTILE = 0.9
SLOW_MIN_CALLS = 20  # answered by the old version, to estimate its percentile


@dataclass(slots=True, frozen=True)
class Regression:
    """The new version is worse than the old one.

    Parameters
    ----------
    reason : str
        Affected calls, kind of regression and the counts.
    """

    reason: str


@dataclass(slots=True, frozen=True)
class SuspectedRegression:
    """The new version seems worse, but the old one has too few calls to compare.

    Parameters
    ----------
    reason : str
        Affected calls, kind of suspected regression and the counts.
    """

    reason: str


@dataclass(slots=True, frozen=True)
class NoRegression:
    """There is no sign of a regression."""


Verdict = Regression | SuspectedRegression | NoRegression


def tally_slice(
    slice_evidence: Evidence,
    totals: Evidence,
    service: str,
    old_version: str,
    new_version: str,
    latency_target: timedelta,
) -> Tallies:
    """Compare two versions within one slice of time.

    Parameters
    ----------
    slice_evidence : dict
        Evidence recorded within the slice.
    totals : dict
        All evidence; provides the old version's usual latency.
    latency_target : timedelta
        Target of the service.

    Returns
    -------
    dict of str to Tally
        By group of calls: all, each route, and each route's workspaces and load
        bands.
    """
    old_cell_by_group = _sum_by_group(slice_evidence, service, old_version)
    new_cell_by_group = _sum_by_group(slice_evidence, service, new_version)
    if not new_cell_by_group:
        return {}
    old_totals_by_group = _sum_by_group(totals, service, old_version)
    tallies: Tallies = {ALL_CALLS: Tally()}
    for group in new_cell_by_group.keys() | old_cell_by_group.keys():
        old_totals = old_totals_by_group.get(_CallGroup(group.route), EvidenceCell())
        slow_limit = _slow_limit(old_totals, latency_target)
        old = old_cell_by_group.get(group, EvidenceCell())
        new = new_cell_by_group.get(group, EvidenceCell())
        # A route's calls are split between the versions in the same proportion for
        # every workspace, but not in every load band: the versions differ in load.
        split_group = group if group.load_band is not None else _CallGroup(group.route)
        split_old = old_cell_by_group.get(split_group, EvidenceCell())
        split_new = new_cell_by_group.get(split_group, EvidenceCell())
        tally = _compare_cells(old, new, split_old, split_new, slow_limit)
        tallies[str(group)] = tally
        if group == _CallGroup(group.route):
            tallies[ALL_CALLS].add(tally)
    return tallies


def judge(tallies: Tallies) -> Verdict:
    """Judge each group of calls separately."""
    for name, tally in tallies.items():
        if tally.failures.is_excessive(TOLERATED_FAILURE_RATE):
            return Regression(_explain(name, tally.failures, "failed"))
        if tally.slow_answers.is_excessive(TOLERATED_SLOW_RATE):
            return Regression(_explain(name, tally.slow_answers, "were slow"))
    for name, tally in tallies.items():
        if tally.failures.is_suspicious(SUSPECT_FAILURE_RATE):
            return SuspectedRegression(_explain(name, tally.failures, "failed"))
        if tally.slow_answers.is_suspicious(SUSPECT_SLOW_RATE):
            return SuspectedRegression(_explain(name, tally.slow_answers, "were slow"))
    return NoRegression()


@dataclass(slots=True, frozen=True)
class _CallGroup:
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


def _groups_of_key(key: EvidenceKey) -> Iterator[_CallGroup]:
    yield _CallGroup(key.route)
    yield _CallGroup(key.route, workspace=key.workspace)
    yield _CallGroup(key.route, load_band=key.load_band)


def _sum_by_group(
    evidence: Evidence, service: str, version: str
) -> dict[_CallGroup, EvidenceCell]:
    cell_by_group: dict[_CallGroup, EvidenceCell] = {}
    for key, cell in evidence.items():
        if key.service != service or key.version != version:
            continue
        for group in _groups_of_key(key):
            cell_by_group.setdefault(group, EvidenceCell()).add(cell)
    return cell_by_group


def _compare_cells(
    old: EvidenceCell,
    new: EvidenceCell,
    split_old: EvidenceCell,
    split_new: EvidenceCell,
    slow_limit: timedelta,
) -> Tally:
    failures = _count_events(
        new.total,
        new.failed,
        old.failed,
        split_new.total / max(1, split_new.total + split_old.total),
    )
    slow_answers = _count_events(
        new.answered,
        new.count_slower_than(slow_limit),
        old.count_slower_than(slow_limit),
        split_new.answered / max(1, split_new.answered + split_old.answered),
    )
    return Tally(failures, slow_answers)


def _count_events(
    new_calls: int, new_events: int, old_events: int, new_split: float
) -> EventCounts:
    all_events = new_events + old_events
    return EventCounts(new_calls, new_events, all_events, all_events * new_split)


def _explain(group: str, counts: EventCounts, outcome: str) -> str:
    return (
        f"{group}: {counts.new_events} of {counts.new_calls} calls {outcome}, "
        f"where {counts.expected_events:.1f} of {counts.all_events} would be the new "
        "version's part"
    )


def _slow_limit(old_totals: EvidenceCell, latency_target: timedelta) -> timedelta:
    if old_totals.answered < SLOW_MIN_CALLS:
        return latency_target
    usual_latency = _percentile(old_totals, SLOW_PERCENTILE)
    return max(usual_latency * SLOW_FACTOR, latency_target * SLOW_FLOOR_SHARE)


def _percentile(cell: EvidenceCell, fraction: float) -> timedelta:
    rank = cell.answered * fraction
    cumulative = 0
    for bucket, count in enumerate(cell.latencies):
        cumulative += count
        if cumulative >= rank:
            return FIRST_BUCKET_LIMIT * 2 ** (bucket / BUCKETS_PER_DOUBLING)
    return FIRST_BUCKET_LIMIT * 2 ** (len(cell.latencies) / BUCKETS_PER_DOUBLING)
