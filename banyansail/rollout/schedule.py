"""Share of the traffic that a new version may receive, by time and evidence.

`plan_share` is a pure function, so that routers with the same evidence reach the same
decision without coordination.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.config.rules import RolloutRule

PROVEN_CALLS = 10  # a version with fewer answered calls is unproven
FULLY_PROVEN_CALLS = 50  # answered calls before it receives non-idempotent calls
UNPROVEN_CAP = 0.05  # of all calls, while the version is unproven
LATE_PHASE_START = 0.85  # fraction of the time after which evidence is sought actively
FINAL_PHASE_START = 0.97  # fraction of the time after which little evidence suffices
FINAL_PHASE_CALLS = 3  # answered calls that suffice in the final phase


@dataclass(slots=True, frozen=True)
class Step:
    """One step of the move.

    Parameters
    ----------
    share : float
        Share of the traffic from this step on.
    earliest_fraction : float
        Fraction of the time to the deadline before which the step is not taken.
    required_calls : int
        Answered calls that the step needs.
    """

    share: float
    earliest_fraction: float
    required_calls: int


STEPS = (
    Step(0.10, 0.15, PROVEN_CALLS),
    Step(0.25, 0.30, 25),
    Step(0.50, 0.45, 60),
    # The old version keeps the rest for comparison until the late phase.
    Step(0.95, 0.60, 120),
)


@dataclass(slots=True, frozen=True)
class PlannedShare:
    """Traffic that the new version may receive now.

    Parameters
    ----------
    share : float
        Share of the traffic.
    is_proven : bool
        Whether non-idempotent calls may be sent to the new version.
    seeks_evidence : bool
        Whether single calls beyond the share may be sent to collect evidence.
    reason : str
        Which bound decided.
    cap : float
        Maximum share of all calls so far that may have gone to the new version.
    """

    share: float
    is_proven: bool
    seeks_evidence: bool
    reason: str
    cap: float = 1.0


NOT_STARTED = PlannedShare(0.0, False, False, "the move has not started")
REVERTED = PlannedShare(0.0, False, False, "the move is taken back")
DONE = PlannedShare(1.0, True, False, "the move is done")


def plan_share(now: datetime, rule: RolloutRule, answered_calls: int) -> PlannedShare:
    """Plan the share of a version without signs of a regression.

    Parameters
    ----------
    now : datetime
        Wall time.
    rule : RolloutRule
        The move.
    answered_calls : int
        Calls that the new version has answered, over all routers.
    """
    if now < rule.start:
        return NOT_STARTED
    elapsed_fraction = (now - rule.start) / (rule.deadline - rule.start)
    is_proven = answered_calls >= FULLY_PROVEN_CALLS
    if elapsed_fraction >= LATE_PHASE_START:
        return _plan_late_phase(rule, answered_calls, elapsed_fraction, is_proven)
    share, reason = rule.first_share, "the first share, until there is evidence"
    for step in STEPS:
        if elapsed_fraction < step.earliest_fraction:
            reason = f"the step to {step.share:.0%} is not due"
            break
        if answered_calls < step.required_calls:
            reason = (
                f"{answered_calls} of {step.required_calls} calls for the step to "
                f"{step.share:.0%}"
            )
            break
        share = max(share, step.share)
    cap = max(UNPROVEN_CAP, rule.first_share) if answered_calls < PROVEN_CALLS else 1.0
    return PlannedShare(share, is_proven, False, reason, cap)


def _plan_late_phase(
    rule: RolloutRule, answered_calls: int, elapsed_fraction: float, is_proven: bool
) -> PlannedShare:
    required_calls = (
        FINAL_PHASE_CALLS if elapsed_fraction >= FINAL_PHASE_START else PROVEN_CALLS
    )
    if answered_calls >= required_calls:
        return PlannedShare(1.0, True, False, "the deadline is near")
    reason = (
        f"the deadline is near and only {answered_calls} of {required_calls} calls "
        "were answered"
    )
    return PlannedShare(rule.first_share, is_proven, True, reason)
