"""What follows an attempt: the answer, another attempt or a truthful rejection."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.gateway.messages import Cause, Ran, Rejection, ReplyHead
from banyansail.gateway.site import RouteKind

if TYPE_CHECKING:
    from banyansail.gateway.site import Route

LEAST_TIME = timedelta(milliseconds=20)  # an attempt with less can't succeed
ATTEMPT_LATENCIES = 4  # times the usual latency until another upstream is tried
LEAST_ATTEMPT_TIME = timedelta(milliseconds=200)
RETRY_AFTER_FAILURE = timedelta(milliseconds=250)


@dataclass(slots=True, frozen=True)
class NotSent:
    """No byte reached the upstream."""

    reason: str


@dataclass(slots=True, frozen=True)
class Answered:
    """The upstream's whole answer.

    Parameters
    ----------
    body : bytes
        Empty for a stream, whose events went to the caller as they came.
    """

    head: ReplyHead
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class Broken:
    """The answer did not come, or not whole; the request may have run.

    Parameters
    ----------
    is_timeout : bool
        Whether the time for the attempt was over.
    """

    reason: str
    is_timeout: bool = False


Outcome = NotSent | Answered | Broken


def has_run(outcome: Outcome) -> bool:
    """Tell whether a request may have run at the upstream."""
    match outcome:
        case NotSent():
            return False
        case Answered(head):
            return head.ran is not Ran.NOT_RUN
    return True


def describe(outcome: Outcome) -> str:
    """Return an outcome as a reason for the log and for the caller."""
    match outcome:
        case NotSent(reason) | Broken(reason):
            return reason
        case Answered(head):
            return f"upstream answered {head.status}"


@dataclass(slots=True)
class Progress:
    """What has become of a request so far.

    Parameters
    ----------
    runs : int
        Upstreams that may have run it.
    sends : int
        Upstreams that it was sent to.
    is_begun : bool
        Whether the caller has got a part of a stream.
    """

    runs: int = 0
    sends: int = 0
    is_begun: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether "not run" would be a lie."""
        return self.runs > 0


@dataclass(slots=True, frozen=True)
class Deliver:
    """Give the upstream's answer to the caller."""

    answer: Answered


@dataclass(slots=True, frozen=True)
class TryAgain:
    """Send the request to another upstream, if the retry budget allows it.

    Parameters
    ----------
    is_free : bool
        Whether nothing reached the upstream, so that no budget is charged.
    otherwise : Deliver or Rejection
        What to do if the budget is spent.
    """

    is_free: bool
    otherwise: Deliver | Rejection


Step = Deliver | TryAgain | Rejection


def next_step(
    outcome: Outcome, route: Route, progress: Progress, remaining: timedelta
) -> Step:
    """Decide what follows an attempt.

    Parameters
    ----------
    progress : Progress
        With the attempt included.
    remaining : timedelta
        Until the caller's deadline or the route's timeout.
    """
    has_time = remaining > LEAST_TIME
    match outcome:
        case NotSent(reason):
            rejection = reject(progress, reason)
            return TryAgain(True, rejection) if has_time else rejection
        case Answered(head) if head.ran is Ran.NOT_RUN:
            rejection = reject(progress, describe(outcome))
            return TryAgain(False, rejection) if has_time else rejection
        case Answered(head):
            deliver = Deliver(outcome)
            if head.is_failure and has_time and _may_run_again(route, progress):
                return TryAgain(False, deliver)
            return deliver
        case Broken(reason, is_timeout):
            rejection = reject(progress, reason, is_timeout=is_timeout)
            if has_time and _may_run_again(route, progress):
                return TryAgain(False, rejection)
            return rejection


def _may_run_again(route: Route, progress: Progress) -> bool:
    return route.is_repeatable and progress.runs < route.max_attempts


def reject(progress: Progress, reason: str, *, is_timeout: bool = False) -> Rejection:
    """Return the final answer to a request that no upstream answered."""
    if is_timeout:
        if progress.may_have_run:
            return Rejection(504, Cause.TIMED_OUT, reason)
        return Rejection(503, Cause.TIMED_OUT, reason)
    if progress.may_have_run:
        return Rejection(502, Cause.UPSTREAM_FAILED, reason)
    return Rejection(503, Cause.UPSTREAM_FAILED, reason, RETRY_AFTER_FAILURE)


def patience(
    route: Route, progress: Progress, usual: timedelta, remaining: timedelta
) -> timedelta | None:
    """Return how long to wait for an answer before another upstream is tried.

    Parameters
    ----------
    usual : timedelta
        Time that such a request usually takes there.
    remaining : timedelta
        Time until the request's deadline.

    Returns
    -------
    timedelta or None
        ``None`` if the request may not run again.
    """
    if not _may_run_again(route, progress):
        return None
    limit = max(LEAST_ATTEMPT_TIME, usual * ATTEMPT_LATENCIES)
    if route.kind is RouteKind.STREAM:
        limit = max(limit, route.latency_objective)
    return min(limit, remaining / 2)
