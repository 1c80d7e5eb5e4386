"""Share of the traffic that a new version may have, from time and evidence.

`plan_share` is a pure function, so that routers with the same evidence agree
without talking.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.config.rules import RolloutRule

PROVEN_CALLS = 10  # fewer answered calls leave a version unproven
FULLY_PROVEN_CALLS = 50  # calls that may not repeat wait for this many
UNPROVEN_CAP = 0.05  # of all calls, while the version is unproven
LATE = 0.85  # part of the time after which missing evidence is sought
LAST_CALL = 0.97  # part of the time after which little evidence must do
LAST_CALL_CALLS = 3


@dataclass(slots=True, frozen=True)
class Step:
    """One step of the move.

    Parameters
    ----------
    share : float
        Share of the traffic from this step on.
    earliest : float
        Part of the time to the deadline before which the step is not taken.
    calls : int
        Answered calls that the step needs.
    """

    share: float
    earliest: float
    calls: int


STEPS = (
    Step(0.10, 0.15, PROVEN_CALLS),
    Step(0.25, 0.30, 25),
    Step(0.50, 0.45, 60),
    Step(0.95, 0.60, 120),  # the rest is kept for comparison until it is late
)


@dataclass(slots=True, frozen=True)
class PlannedShare:
    """What the new version may have now.

    Parameters
    ----------
    share : float
        Share of the traffic.
    is_proven : bool
        Whether calls that may not repeat may meet it.
    seeks_evidence : bool
        Whether single calls beyond the share may be sent for evidence.
    reason : str
        Which bound decided.
    cap : float
        Largest part of all calls so far that the new version may have had.
    """

    share: float
    is_proven: bool
    seeks_evidence: bool
    reason: str
    cap: float = 1.0


NOT_STARTED = PlannedShare(0.0, False, False, "the move has not started")
TAKEN_BACK = PlannedShare(0.0, False, False, "the move is taken back")
DONE = PlannedShare(1.0, True, False, "the move is done")


def plan_share(now: datetime, rule: RolloutRule, good: int) -> PlannedShare:
    """Plan the share of a version against which nothing speaks.

    Parameters
    ----------
    now : datetime
        Wall time.
    rule : RolloutRule
        The move.
    good : int
        Calls that the new version has answered, over all routers.
    """
    if now < rule.start:
        return NOT_STARTED
    elapsed = (now - rule.start) / (rule.deadline - rule.start)
    is_proven = good >= FULLY_PROVEN_CALLS
    if elapsed >= LATE:
        return _plan_late(rule, good, elapsed, is_proven)
    share, reason = rule.first_share, "the first share, until there is evidence"
    for step in STEPS:
        if elapsed < step.earliest:
            reason = f"the step to {step.share:.0%} is not due"
            break
        if good < step.calls:
            reason = f"{good} of {step.calls} calls for the step to {step.share:.0%}"
            break
        share = max(share, step.share)
    cap = max(UNPROVEN_CAP, rule.first_share) if good < PROVEN_CALLS else 1.0
    return PlannedShare(share, is_proven, False, reason, cap)


def _plan_late(
    rule: RolloutRule, good: int, elapsed: float, is_proven: bool
) -> PlannedShare:
    needed = LAST_CALL_CALLS if elapsed >= LAST_CALL else PROVEN_CALLS
    if good >= needed:
        return PlannedShare(1.0, True, False, "the deadline is near")
    reason = f"the deadline is near and only {good} of {needed} calls were answered"
    return PlannedShare(rule.first_share, is_proven, True, reason)
