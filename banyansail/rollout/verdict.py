"""Judges a new version by comparing it with the old one at the same time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
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
TOLERATED_SLOW_RATE = 0.1
SLOW_PERCENTILE = 0.9

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
class NoBadSign:
    """Nothing speaks against the new version.

    Parameters
    ----------
    good : int
        Calls that the new version answered.
    failed : int
        Calls that it did not answer.
    """

    good: int
    failed: int


Verdict = Bad | NoBadSign


def judge(
    evidence: Evidence,
    service: str,
    old_version: str,
    new_version: str,
    latency_target: timedelta,
) -> Verdict:
    """Compare two versions on each route, workspace and load band by itself.

    Parameters
    ----------
    evidence : dict
        Merged evidence of one window of time.
    latency_target : timedelta
        Target of the service.
    """
    old_groups = _group(evidence, service, old_version)
    new_groups = _group(evidence, service, new_version)
    for name, new in new_groups.items():
        old = old_groups.get(name, EvidenceCell())
        reason = _compare(old, new, latency_target)
        if reason:
            return Bad(f"{name}: {reason}")
    total = new_groups.get("all calls", EvidenceCell())
    return NoBadSign(total.good, total.failed)


def _group(evidence: Evidence, service: str, version: str) -> dict[str, EvidenceCell]:
    groups: dict[str, EvidenceCell] = {}
    namers: tuple[Callable[[EvidenceKey], str], ...] = (
        lambda key: "all calls",
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


def _compare(old: EvidenceCell, new: EvidenceCell, target: timedelta) -> str:
    rate = _tolerated(old.failed, old.total, TOLERATED_RATE)
    if _is_excess(new.failed, new.total, rate):
        return (
            f"{new.failed} of {new.total} calls failed, "
            f"against {old.failed} of {old.total}"
        )
    limit = _slow_limit(old, target)
    old_slow = old.count_slower_than(limit)
    new_slow = new.count_slower_than(limit)
    slow_rate = _tolerated(old_slow, old.good, TOLERATED_SLOW_RATE)
    if _is_excess(new_slow, new.good, slow_rate):
        milliseconds = round(limit / timedelta(milliseconds=1))
        return (
            f"{new_slow} of {new.good} calls took over {milliseconds} ms, "
            f"against {old_slow} of {old.good}"
        )
    return ""


def _tolerated(events: int, calls: int, tolerance: float) -> float:
    """Return the rate that the new version may have, from the old version's."""
    weight = calls + PRIOR_CALLS
    rate = (events + PRIOR_CALLS * tolerance / 2) / weight
    margin = MARGIN_DEVIATIONS * (rate * (1 - rate) / weight) ** 0.5
    return min(0.95, rate + margin + tolerance / 2)


def _is_excess(events: int, calls: int, rate: float) -> bool:
    return events > 0 and binomial_tail(events, calls, rate) < SIGNIFICANCE


def _slow_limit(old: EvidenceCell, target: timedelta) -> timedelta:
    floor = target * SLOW_FLOOR_SHARE
    if not old.good:
        return max(target, floor)
    return max(_percentile(old, SLOW_PERCENTILE) * SLOW_FACTOR, floor)


def _percentile(cell: EvidenceCell, share: float) -> timedelta:
    wanted = cell.good * share
    seen = 0
    for bucket, count in enumerate(cell.latencies):
        seen += count
        if seen >= wanted:
            return FIRST_BUCKET * 2 ** (bucket / BUCKETS_PER_DOUBLING)
    return FIRST_BUCKET * 2 ** (len(cell.latencies) / BUCKETS_PER_DOUBLING)
