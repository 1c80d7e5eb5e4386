"""Plans the share of one move from evidence that grows."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.rollout.schedule import PlannedShare, plan_share
from banyansail.rollout.verdict import (
    Bad,
    Doubtful,
    Tallies,
    answered_calls,
    judge,
    tally_slice,
)
from banyansail.rollout.windows import EvidenceWindows

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.config.rules import RolloutRule
    from banyansail.rollout.evidence import Evidence

DOUBT_SHARE = 0.25
DOUBT_TIME = timedelta(seconds=10)
CLOSED_TIME = timedelta(seconds=60)  # a doubt that was compared is not raised again


class MovePlanner:
    """Decides about one move at one router; it has no input or output.

    Parameters
    ----------
    rule : RolloutRule
        The move.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_clock",
        "_compared_until",
        "_latency_target",
        "_planned",
        "_windows",
        "rule",
    )

    def __init__(self, rule: RolloutRule, clock: Clock) -> None:
        self.rule = rule
        self._clock = clock
        self._windows = EvidenceWindows(self._tally)
        self._latency_target = timedelta(0)
        self._planned: PlannedShare | None = None
        self._compared_until = timedelta(0)

    def plan(
        self, evidence: Evidence, latency_target: timedelta, *, is_alone: bool
    ) -> PlannedShare | Bad:
        """Return the share that the new version may have, or that it is bad.

        Parameters
        ----------
        evidence : dict
            Totals of all routers, as far as they were heard of.
        latency_target : timedelta
            Target of the service.
        is_alone : bool
            Whether no other router can be heard; the share is then not raised.
        """
        self._latency_target = latency_target
        now = self._clock.monotonic()
        good = 0
        doubt: Doubtful | None = None
        for tallies in self._windows.take(evidence, now):
            match judge(tallies):
                case Bad() as bad:
                    return bad
                case Doubtful() as found:
                    doubt = doubt or found
            good = answered_calls(tallies)
        if self._is_doubt_open(doubt, now):
            return self._compare_first(doubt)
        planned = plan_share(self._clock.now(), self.rule, good)
        self._planned = self._hold(planned) if is_alone else planned
        return self._planned

    def _is_doubt_open(self, doubt: Doubtful | None, now: timedelta) -> bool:
        """Tell whether a doubt needs a comparison; one that had it is closed."""
        if doubt is not None and now >= self._compared_until:
            self._compared_until = now + DOUBT_TIME + CLOSED_TIME
        return doubt is not None and now < self._compared_until - CLOSED_TIME

    def _compare_first(self, doubt: Doubtful) -> PlannedShare:
        """Give most calls to the old version, so that there is a comparison."""
        before = self._planned.share if self._planned else 0.0
        reason = f"the old version is needed for comparison: {doubt.reason}"
        return PlannedShare(min(before, DOUBT_SHARE), False, False, reason)

    def _tally(self, part: Evidence, totals: Evidence) -> Tallies:
        return tally_slice(
            part,
            totals,
            self.rule.service,
            self.rule.old_version,
            self.rule.new_version,
            self._latency_target,
        )

    def _hold(self, planned: PlannedShare) -> PlannedShare:
        before = self._planned
        if before is None or planned.share <= before.share:
            return planned
        return PlannedShare(
            before.share, before.is_proven, False, "no other router is heard from"
        )
