"""Judges a new version by comparing it with the old one at the same time.

Time is cut into slices. In each, the old version's rate says how many failures the
new one may have; observed and tolerated counts are then summed over the slices of a
window. Comparing sums alone would blame the new version for a disturbance of both
that fell into the time in which it had more of the traffic.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from banyansail.rollout.binomial import binomial_tail
from banyansail.rollout.evidence import (
    BUCKETS_PER_DOUBLING,
    FIRST_BUCKET,
    EvidenceCell,
    EvidenceKey,
)

SIGNIFICANCE = 1e-5
TOLERATED_RATE = 0.02  # failures beyond the old version's that are let pass
PRIOR_CALLS = 25  # weight of the prior for the old version's rate
MARGIN_DEVIATIONS = 2.0
SLOW_FACTOR = 2.0  # beyond the old version's 90th percentile
SLOW_FLOOR_SHARE = 0.25  # of the latency target; faster than this is never slow
SLOW_PERCENTILE = 0.9
SLOW_MIN_CALLS = 20  # of the old version, for a percentile to be known
TOLERATED_SLOW_RATE = 0.1
MIN_BASELINE_CALLS = 8  # of the old version in a slice, for a comparison
MAX_RATE = 0.95

ALL_CALLS = "all calls"

Evidence = dict[EvidenceKey, EvidenceCell]


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
    """Nothing speaks against the new version.

    Parameters
    ----------
    good : int
        Calls that the new version answered.
    """

    good: int


Verdict = Bad | Doubtful | NoBadSign


@dataclass(slots=True)
class Counts:
    """Observed and tolerated counts of the new version.

    Parameters
    ----------
    calls, failed : int
        Calls of the new version, and those that it did not answer.
    tolerated : float
        Failures that the old version's rate lets it have.
    good, slow : int
        Answered calls, and those of them that were slow.
    tolerated_slow : float
        Slow calls that the old version's rate lets it have.
    """

    calls: int = 0
    failed: int = 0
    tolerated: float = 0.0
    good: int = 0
    slow: int = 0
    tolerated_slow: float = 0.0

    def add(self, other: Counts) -> None:
        """Add the counts of another slice."""
        self.calls += other.calls
        self.failed += other.failed
        self.tolerated += other.tolerated
        self.good += other.good
        self.slow += other.slow
        self.tolerated_slow += other.tolerated_slow


@dataclass(slots=True)
class Tally:
    """Counts of slices with a baseline, and of those without.

    Parameters
    ----------
    compared : Counts
        From slices in which the old version had enough calls.
    uncompared : Counts
        From the others; they can raise a doubt but not settle it.
    """

    compared: Counts = field(default_factory=Counts)
    uncompared: Counts = field(default_factory=Counts)

    def add(self, other: Tally) -> None:
        """Add the counts of another slice."""
        self.compared.add(other.compared)
        self.uncompared.add(other.uncompared)


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
    new_groups = _group(part, service, new_version)
    if not new_groups:
        return {}
    old_groups = _group(part, service, old_version)
    usual_groups = _group(totals, service, old_version)
    every_old = old_groups.get(ALL_CALLS, EvidenceCell())
    tallies = {}
    for name, new in new_groups.items():
        old = old_groups.get(name, EvidenceCell())
        limit = _slow_limit(usual_groups.get(name, EvidenceCell()), latency_target)
        tallies[name] = _compare(old, every_old, new, limit)
    return tallies


def has_baseline(part: Evidence, service: str, old_version: str) -> bool:
    """Tell whether the old version had enough calls in a slice."""
    calls = sum(
        cell.total
        for key, cell in part.items()
        if key.service == service and key.version == old_version
    )
    return calls >= MIN_BASELINE_CALLS


def sum_tallies(slices: Iterable[Tallies]) -> Tallies:
    """Return the sum over slices."""
    total: Tallies = {}
    for tallies in slices:
        for name, tally in tallies.items():
            total.setdefault(name, Tally()).add(tally)
    return total


def judge(tallies: Tallies) -> Verdict:
    """Judge each group of calls by itself."""
    for name, tally in tallies.items():
        reason = _find_excess(tally.compared)
        if reason:
            return Bad(f"{name}: {reason}")
    for name, tally in tallies.items():
        reason = _find_excess(tally.uncompared)
        if reason:
            return Doubtful(f"{name}: {reason}")
    every = tallies.get(ALL_CALLS, Tally())
    return NoBadSign(every.compared.good + every.uncompared.good)


def _group(evidence: Evidence, service: str, version: str) -> dict[str, EvidenceCell]:
    groups: dict[str, EvidenceCell] = {}
    namers: tuple[Callable[[EvidenceKey], str], ...] = (
        lambda key: ALL_CALLS,
        lambda key: f"route {key.route}",
        lambda key: f"route {key.route} of workspace {key.workspace}",
        lambda key: f"route {key.route} in load band {key.load_band}",
    )
    for key, cell in evidence.items():
        if key.service != service or key.version != version:
            continue
        for namer in namers:
            groups.setdefault(namer(key), EvidenceCell()).add(cell)
    return groups


def _compare(
    old: EvidenceCell, every_old: EvidenceCell, new: EvidenceCell, limit: timedelta
) -> Tally:
    """Compare a group; one with few old calls is held against all old calls too."""
    baselines = [old]
    if old.total < MIN_BASELINE_CALLS:
        baselines.append(every_old)
    rate = max(_tolerated(c.failed, c.total, TOLERATED_RATE) for c in baselines)
    slow_rate = max(
        _tolerated(c.count_slower_than(limit), c.good, TOLERATED_SLOW_RATE)
        for c in baselines
    )
    counts = Counts(
        new.total,
        new.failed,
        new.total * rate,
        new.good,
        new.count_slower_than(limit),
        new.good * slow_rate,
    )
    if max(cell.total for cell in baselines) >= MIN_BASELINE_CALLS:
        return Tally(compared=counts)
    return Tally(uncompared=counts)


def _find_excess(tally: Counts) -> str:
    if _is_excess(tally.failed, tally.calls, tally.tolerated):
        return (
            f"{tally.failed} of {tally.calls} calls failed; "
            f"the old version's rate allows {tally.tolerated:.1f}"
        )
    if _is_excess(tally.slow, tally.good, tally.tolerated_slow):
        return (
            f"{tally.slow} of {tally.good} calls were slow; "
            f"the old version's rate allows {tally.tolerated_slow:.1f}"
        )
    return ""


def _tolerated(events: int, calls: int, tolerance: float) -> float:
    """Return the rate that the new version may have, from the old version's."""
    weight = calls + PRIOR_CALLS
    rate = (events + PRIOR_CALLS * tolerance / 2) / weight
    margin = MARGIN_DEVIATIONS * (rate * (1 - rate) / weight) ** 0.5
    return min(MAX_RATE, rate + margin + tolerance / 2)


def _is_excess(events: int, calls: int, tolerated: float) -> bool:
    if events == 0:
        return False
    return binomial_tail(events, calls, tolerated / calls) < SIGNIFICANCE


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
