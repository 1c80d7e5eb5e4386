"""Planner of one move's share from growing evidence."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.rollout.schedule import PlannedShare, plan_share
from banyansail.rollout.tally import Tallies, count_answered_calls
from banyansail.rollout.verdict import (
    Regression,
    SuspectedRegression,
    judge,
    tally_slice,
)
from banyansail.rollout.windows import EvidenceWindows

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.config.rules import RolloutRule
    from banyansail.rollout.evidence import Evidence

COMPARISON_SHARE = 0.25  # maximum of the new version while both are compared
COMPARISON_TIME = timedelta(seconds=10)
COMPARISON_COOLDOWN = timedelta(seconds=60)  # no new comparison this soon after one


class MovePlanner:
    """Planner of one move at one router, without any I/O.

    Parameters
    ----------
    rule : RolloutRule
        The move.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_clock",
        "_cooldown_until",
        "_last_planned",
        "_latency_target",
        "_windows",
        "rule",
    )

    def __init__(self, rule: RolloutRule, clock: Clock) -> None:
        self.rule = rule
        self._clock = clock
        self._windows = EvidenceWindows(self._tally_slice)
        self._latency_target = timedelta(0)
        self._last_planned: PlannedShare | None = None
        self._cooldown_until = timedelta(0)

    def plan(
        self, totals: Evidence, latency_target: timedelta, *, is_isolated: bool
    ) -> PlannedShare | Regression:
        """Return the share that the new version may have, or the regression found.

        Parameters
        ----------
        totals : dict
            Totals of all routers, as far as they were received.
        latency_target : timedelta
            Target of the service.
        is_isolated : bool
            Whether no other router is reachable; the share is then not raised.
        """
        self._latency_target = latency_target
        now = self._clock.monotonic()
        answered_calls = 0
        suspected: SuspectedRegression | None = None
        for tallies in self._windows.update(totals, now):
            match judge(tallies):
                case Regression() as regression:
                    return regression
                case SuspectedRegression() as found:
                    suspected = suspected or found
            answered_calls = count_answered_calls(tallies)
        if self._update_comparison(suspected, now):
            return self._plan_comparison(suspected)
        planned = plan_share(self._clock.now(), self.rule, answered_calls)
        self._last_planned = self._limit_to_last(planned) if is_isolated else planned
        return self._last_planned

    def _update_comparison(
        self, suspected: SuspectedRegression | None, now: timedelta
    ) -> bool:
        """Start a comparison on a suspicion, unless one ended recently.

        Return whether a comparison is in progress.
        """
        if suspected is not None and now >= self._cooldown_until:
            self._cooldown_until = now + COMPARISON_TIME + COMPARISON_COOLDOWN
        return (
            suspected is not None and now < self._cooldown_until - COMPARISON_COOLDOWN
        )

    def _plan_comparison(self, suspected: SuspectedRegression) -> PlannedShare:
        """Send most calls to the old version, so that it can be compared."""
        last_share = self._last_planned.share if self._last_planned else 0.0
        reason = f"the old version is needed for comparison: {suspected.reason}"
        return PlannedShare(min(last_share, COMPARISON_SHARE), False, False, reason)

    def _tally_slice(self, slice_evidence: Evidence, totals: Evidence) -> Tallies:
        return tally_slice(
            slice_evidence,
            totals,
            self.rule.service,
            self.rule.old_version,
            self.rule.new_version,
            self._latency_target,
        )

    def _limit_to_last(self, planned: PlannedShare) -> PlannedShare:
        last = self._last_planned
        if last is None or planned.share <= last.share:
            return planned
        return PlannedShare(
            last.share, last.is_proven, False, "no other router is heard from"
        )
