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

from banyansail.gateway.duties.move_verdict import Verdict
from banyansail.traffic.tally import Tally

CANARY_SHARE = 0.5  # of the exposure limit, until there is enough evidence
# Of the requests that operators tolerate beyond that limit; they bring evidence early
# where few requests come. The rest covers requests in flight.
EARLY_SLACK_SHARE = 0.5
PROVEN_SHARE = 0.8  # of the exposure limit, until the final ramp
# Final ramp to all traffic; short, so that a version that fails late gets little.
MAX_RAMP_TIME = timedelta(seconds=2.2)
RAMP_FULL_AT = 0.5  # fraction of the ramp after which the target gets all traffic
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
) -> MoveState | None:
    """Return the state to publish now, or ``None`` if it does not change.

    Parameters
    ----------
    share : float
        Share of requests that the target gets now; see `target_share`.
    old_in_flight : int
        Requests in flight at the other versions, which stop once the move is completed.
    """
    if move.state in (MoveState.COMPLETED, MoveState.REVERTED):
        return None
    if verdict is Verdict.BAD:
        return MoveState.REVERTED
    if share >= 1.0 and (
        old_in_flight == 0 or elapsed >= move.duration - COMPLETION_MARGIN
    ):
        return MoveState.COMPLETED
    if move.state is None:
        return MoveState.RUNNING
    return None


def is_due(move: Move, elapsed: timedelta) -> bool:
    """Return whether the time has come to move all traffic or to roll back."""
    return elapsed >= move.duration - _ramp_time(move)


def _ramp_time(move: Move) -> timedelta:
    return min(move.duration / 2, MAX_RAMP_TIME)
