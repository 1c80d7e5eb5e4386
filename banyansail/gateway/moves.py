"""Moves of a service's traffic to another version: shares and verdicts.

All routers work the share out from the same evidence, so they agree without talking.
An unproven version gets a small share until shortly before the deadline; a bad one
gets nothing as soon as any router sees it.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

CANARY_SHARE = 0.5  # of the exposure, until there is some evidence
PROVEN_SHARE = 0.8  # of the exposure
LEAST_SAMPLES = 20
LEAST_BAD = 4  # bad answers before a version may be judged bad
BAD_RATIO = 2.0  # times the share of bad answers of the other versions
BAD_MARGIN = 0.12
RAMP = timedelta(seconds=2.2)  # at the end; a version that goes bad late gets little
FULL_SHARE = 0.5  # of the ramp, after which all traffic goes to the target
LAST_MOMENT = timedelta(milliseconds=700)  # before the deadline, done is said


class MoveState(Enum):
    """What was stated about a move."""

    RUNNING = "running"
    COMPLETED = "completed"
    TAKEN_BACK = "taken_back"


@dataclass(slots=True, frozen=True)
class Move:
    """An order to move a service's traffic.

    Parameters
    ----------
    target : str
        Version that is to get all traffic.
    duration : timedelta
        From the order to its deadline.
    number : int
        Tells orders of one service apart.
    state : MoveState or None
        What was stated, if anything.
    """

    service: str
    target: str
    duration: timedelta
    number: int
    state: MoveState | None = None


@dataclass(slots=True)
class Tally:
    """Answers of one version since a move was ordered."""

    good: int = 0
    bad: int = 0

    @property
    def total(self) -> int:
        """Number of answers."""
        return self.good + self.bad

    @property
    def bad_share(self) -> float:
        """Share of bad answers."""
        return self.bad / self.total if self.total else 0.0

    def add(self, other: Tally) -> None:
        """Add another router's answers."""
        self.good += other.good
        self.bad += other.bad


class Verdict(Enum):
    """What the evidence says of a version."""

    OPEN = "open"
    GOOD = "good"
    BAD = "bad"


def judge(target: Tally, others: Tally) -> Verdict:
    """Compare a version with the others at the same time and load."""
    bound = others.bad_share * BAD_RATIO + BAD_MARGIN
    if target.bad >= LEAST_BAD and target.bad_share > bound:
        return Verdict.BAD
    if target.total >= LEAST_SAMPLES:
        return Verdict.GOOD
    return Verdict.OPEN


def share_of_target(
    move: Move, verdict: Verdict, elapsed: timedelta, exposure: float
) -> float:
    """Return the share of requests that the target gets.

    Parameters
    ----------
    exposure : float
        Most that a bad version may get.
    elapsed : timedelta
        Since the order was heard of.
    """
    if move.state is MoveState.TAKEN_BACK or verdict is Verdict.BAD:
        return 0.0
    if move.state is MoveState.COMPLETED:
        return 1.0
    ramp = _ramp(move)
    into_ramp = elapsed - (move.duration - ramp)
    if verdict is Verdict.OPEN:
        return exposure * CANARY_SHARE
    if into_ramp <= timedelta(0):
        return exposure * PROVEN_SHARE
    return min(1.0, exposure * PROVEN_SHARE + into_ramp / (ramp * FULL_SHARE))


def state_to_write(
    move: Move,
    verdict: Verdict,
    elapsed: timedelta,
    share: float,
    *,
    old_in_flight: int,
) -> MoveState | None:
    """Return what should be stated now, or ``None`` if nothing new.

    Parameters
    ----------
    share : float
        What the target gets now; see `share_of_target`.
    old_in_flight : int
        Requests at other versions, which stop once the move is completed.
    """
    if move.state in (MoveState.COMPLETED, MoveState.TAKEN_BACK):
        return None
    if verdict is Verdict.BAD:
        return MoveState.TAKEN_BACK
    if share >= 1.0 and (old_in_flight == 0 or elapsed >= move.duration - LAST_MOMENT):
        return MoveState.COMPLETED
    if move.state is None:
        return MoveState.RUNNING
    return None


def _ramp(move: Move) -> timedelta:
    return min(move.duration / 2, RAMP)
