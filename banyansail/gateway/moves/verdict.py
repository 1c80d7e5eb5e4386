"""Judgement of a move's target by its answers, compared with those of other versions.

A version may fail under load or on one route only. So each route is judged by itself,
and so are the answers while the target gets most of the traffic: sums over all routes
and the whole time would hide them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from banyansail.rollout.binomial import binomial_tail
from banyansail.traffic.tally import ALL_ROUTES, Tally, TallyKey

MIN_SAMPLES = 20  # answers before a version may be judged good
MIN_BAD = 4  # bad answers before a version may be judged bad
MIN_BAD_WHEN_DUE = 2  # the same, shortly before its deadline
BAD_RATIO = 2.0  # tolerated multiple of the other versions' share of bad answers
BAD_MARGIN = 0.12  # share of bad answers that is tolerated on top
# Of answers under load, as a stall of a router makes several in a row late.
MIN_BAD_UNDER_LOAD = 8
BAD_MARGIN_UNDER_LOAD = 0.25
MIN_FAILED = 2  # failures that upstreams reported, for the test of their number
# Probability of as many failures by chance if the version were like the others.
FAILURE_SIGNIFICANCE = 0.005


class Verdict(Enum):
    """Judgement of a version by its answers."""

    OPEN = "open"  # too few answers
    GOOD = "good"
    BAD = "bad"


@dataclass(slots=True)
class Evidence:
    """Answers of the target and of the other versions to the same kind of requests.

    Parameters
    ----------
    under_load : Tally
        Those of the target's answers that were received under load.
    """

    target: Tally = field(default_factory=Tally)
    others: Tally = field(default_factory=Tally)
    under_load: Tally = field(default_factory=Tally)


@dataclass(slots=True)
class MoveEvidence:
    """All answers during a move, and those of each route."""

    total: Evidence = field(default_factory=Evidence)
    by_route: dict[str, Evidence] = field(default_factory=dict)

    def add(self, key: TallyKey, tally: Tally) -> None:
        """Add a tally of the move."""
        if key.route == ALL_ROUTES:
            (self.total.target if key.is_target else self.total.others).add(tally)
            return
        evidence = self.by_route.setdefault(key.route, Evidence())
        (evidence.target if key.is_target else evidence.others).add(tally)
        if key.is_target and key.is_under_load:
            evidence.under_load.add(tally)

    @property
    def answers_under_load(self) -> int:
        """Number of the target's answers under load."""
        return sum(item.under_load.total for item in self.by_route.values())


def judge(evidence: MoveEvidence, *, is_due: bool = False) -> Verdict:
    """Compare a version with the others.

    Parameters
    ----------
    is_due : bool
        Whether the move must be decided now, with the answers that there are.
    """
    total = evidence.total
    min_bad = MIN_BAD_WHEN_DUE if is_due else MIN_BAD
    if _is_worse(total.target, total.others, min_bad, BAD_MARGIN):
        return Verdict.BAD
    if any(map(_is_bad_route, evidence.by_route.values())):
        return Verdict.BAD
    if total.target.total >= MIN_SAMPLES:
        return Verdict.GOOD
    return Verdict.OPEN


def _is_bad_route(route: Evidence) -> bool:
    return (
        _is_worse(route.target, route.others, MIN_BAD, BAD_MARGIN)
        or _is_worse(
            route.under_load,
            route.others,
            MIN_BAD_UNDER_LOAD,
            BAD_MARGIN_UNDER_LOAD,
        )
        or _fails_more_often(route.target, route.others)
        or _fails_more_often(route.under_load, route.others)
    )


def _is_worse(target: Tally, others: Tally, min_bad: int, margin: float) -> bool:
    """Return whether the share of bad answers is clearly larger."""
    max_bad_share = others.bad_share * BAD_RATIO + margin
    return target.bad >= min_bad and target.bad_share > max_bad_share


def _fails_more_often(target: Tally, others: Tally) -> bool:
    """Return whether as many failures are unlikely by chance alone.

    Only failures that upstreams reported count: slow and missing answers also come from
    links and routers, and several at once.
    """
    if target.failed < MIN_FAILED:
        return False
    usual_share = (others.failed + 0.5) / (others.total + 1)
    return (
        binomial_tail(target.failed, target.total, usual_share) < FAILURE_SIGNIFICANCE
    )
