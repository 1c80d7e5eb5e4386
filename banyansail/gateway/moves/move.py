"""Moves of a service's traffic to another version: canary shares and verdicts.

All routers compute the share from the same gossiped evidence, so they need no further
coordination. An unproven version gets a small share until shortly before the deadline;
a bad one gets no traffic as soon as any router detects it.

The platform calls a move a rollout.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from banyansail.gateway.moves.verdict import Verdict
from banyansail.traffic.tally import Tally

CANARY_SHARE = 0.5  # of the exposure limit, until there is enough evidence
# Of the requests that operators tolerate beyond that limit; they bring evidence early
# where few requests come. The rest covers requests in flight.
EARLY_SLACK_SHARE = 0.5
# Of the exposure limit, until the final ramp. The rest of what a bad version may get is
# kept for the ramp, in which one may turn out to fail under load.
PROVEN_SHARE = 0.3
# Final ramp to all traffic, and the time under it until the deadline, in which the
# version is judged under its full load.
MAX_RAMP_TIME = timedelta(seconds=4)
RAMP_SHARE_OF_MOVE = 1 / 3  # at most
RAMP_FULL_AT = 0.25  # fraction of the ramp after which the target gets all traffic
MIN_TIME_AT_FULL = timedelta(seconds=1.5)  # before a move may be completed early
MIN_ANSWERS_UNDER_LOAD = 20  # the same
# Time before the deadline at which a move is published as completed even if requests
# at other versions are still in flight.
COMPLETION_MARGIN = timedelta(milliseconds=700)


class MoveState(Enum):
    """Published state of a move."""

    RUNNING = "running"
    COMPLETED = "completed"
    REVERTED = "taken_back"


@dataclass(slots=True, frozen=True)
class Move:
    """An order to move a service's traffic to one version.

    Parameters
    ----------
    target : str
        Version that will get all traffic.
    duration : timedelta
        Time from the order to its deadline.
    number : int
        Identifies an order among those of its service.
    state : MoveState or None
        Published state; ``None`` if no state was published yet.
    """

    service: str
    target: str
    duration: timedelta
    number: int
    state: MoveState | None = None


@dataclass(slots=True, frozen=True)
class ExposureBound:
    """How many requests a version that turns out to be bad may have received.

    Parameters
    ----------
    share : float
        Tolerated share of the requests of its service.
    slack : float
        Requests tolerated beyond that share.
    """

    share: float
    slack: float = 0.0

    def canary_share(self, target: Tally, others: Tally) -> float:
        """Return the share that an unproven version gets after these answers."""
        beyond = target.total - self.share * (target.total + others.total)
        if beyond < self.slack * EARLY_SLACK_SHARE:
            return self.share
        return self.share * CANARY_SHARE


def target_share(
    move: Move,
    verdict: Verdict,
    elapsed: timedelta,
    exposure_limit: float,
    canary_share: float,
) -> float:
    """Return the share of requests that the target gets.

    Parameters
    ----------
    exposure_limit : float
        Largest share of requests that a bad version may get.
    elapsed : timedelta
        Time since this router received the order.
    canary_share : float
        Share until there is enough evidence.
    """
    if move.state is MoveState.REVERTED or verdict is Verdict.BAD:
        return 0.0
    if move.state is MoveState.COMPLETED:
        return 1.0
    ramp_time = _ramp_time(move)
    time_in_ramp = elapsed - (move.duration - ramp_time)
    if verdict is Verdict.OPEN:
        return canary_share
    if time_in_ramp <= timedelta(0):
        return exposure_limit * PROVEN_SHARE
    return min(
        1.0, exposure_limit * PROVEN_SHARE + time_in_ramp / (ramp_time * RAMP_FULL_AT)
    )


def state_to_publish(
    move: Move,
    verdict: Verdict,
    elapsed: timedelta,
    share: float,
    *,
    old_in_flight: int,
    answers_under_load: int,
) -> MoveState | None:
    """Return the state to publish now, or ``None`` if it does not change.

    Parameters
    ----------
    share : float
        Share of requests that the target gets now; see `target_share`.
    old_in_flight : int
        Requests in flight at the other versions, which stop once the move is completed.
    answers_under_load : int
        Answers of the target while it got most of the traffic.
    """
    if move.state in (MoveState.COMPLETED, MoveState.REVERTED):
        return None
    if verdict is Verdict.BAD:
        return MoveState.REVERTED
    is_proven = (
        elapsed - _full_at(move) >= MIN_TIME_AT_FULL
        and answers_under_load >= MIN_ANSWERS_UNDER_LOAD
        and old_in_flight == 0
    )
    if share >= 1.0 and (is_proven or elapsed >= move.duration - COMPLETION_MARGIN):
        return MoveState.COMPLETED
    if move.state is None:
        return MoveState.RUNNING
    return None


def _full_at(move: Move) -> timedelta:
    """Return the time from the order until its target gets all traffic."""
    return move.duration - _ramp_time(move) * (1 - RAMP_FULL_AT)


def is_due(move: Move, elapsed: timedelta) -> bool:
    """Return whether the time has come to move all traffic or to roll back."""
    return elapsed >= move.duration - _ramp_time(move)


def _ramp_time(move: Move) -> timedelta:
    return min(move.duration * RAMP_SHARE_OF_MOVE, MAX_RAMP_TIME)
