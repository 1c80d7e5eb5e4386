"""Decision after an attempt: deliver the answer, retry or reject the request."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.gateway.decisions.responses.response_state import (
    NotStarted,
    ResponseState,
    Started,
    continuation_fault,
)
from banyansail.gateway.request_types import Cause, Rejection, ReplyHead, RunStatus
from banyansail.gateway.site import RouteKind
from banyansail.upstreams.body_end import BodyEnd

if TYPE_CHECKING:
    from banyansail.gateway.site import Route

MIN_TIME_FOR_ATTEMPT = timedelta(milliseconds=20)  # an attempt can't succeed in less
ATTEMPT_TIMEOUT_FACTOR = 4  # times the expected latency, then another upstream is tried
MIN_ATTEMPT_TIMEOUT = timedelta(milliseconds=200)
RETRY_AFTER_FAILURE = timedelta(milliseconds=250)
# Callers take these for a promise that the request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclass(slots=True, frozen=True)
class NotSent:
    """No byte reached the upstream."""

    reason: str


@dataclass(slots=True, frozen=True)
class Answered:
    """Complete answer of the upstream.

    Parameters
    ----------
    body : bytes
        Empty for a stream, whose events were forwarded to the caller on arrival.
    """

    head: ReplyHead
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class Incomplete:
    """The answer is missing or incomplete; the request may have run.

    Parameters
    ----------
    is_timeout : bool
        Whether it is incomplete because of a timeout.
    """

    reason: str
    is_timeout: bool = False


Outcome = NotSent | Answered | Incomplete


def may_have_run(outcome: Outcome) -> bool:
    """Return whether a request may have run at the upstream."""
    match outcome:
        case NotSent():
            return False
        case Answered(head):
            return head.run_status is not RunStatus.NOT_RUN
    return True


def has_stated_end(outcome: Outcome) -> bool:
    """Return whether an outcome is an answer whose end the upstream stated."""
    return isinstance(outcome, Answered) and outcome.head.end is BodyEnd.STATED


def describe(outcome: Outcome) -> str:
    """Return an outcome as a reason for the log and for the caller."""
    match outcome:
        case NotSent(reason) | Incomplete(reason):
            return reason
        case Answered(head):
            return f"upstream answered {head.status}"


@dataclass(slots=True)
class Progress:
    """State of a request across its attempts.

    Parameters
    ----------
    possible_runs : int
        Attempts that may have run the request, including the current one.
    attempts : int
        Attempts so far, including those that sent nothing.
    response : ResponseState
        What the caller has been given of the response.
    """

    possible_runs: int = 0
    attempts: int = 0
    response: ResponseState = field(default_factory=NotStarted)

    @property
    def may_have_run(self) -> bool:
        """Whether a rejection must not claim that the request did not run."""
        return self.possible_runs > 0


@dataclass(slots=True, frozen=True)
class Deliver:
    """Return the upstream's answer to the caller."""

    answer: Answered


@dataclass(slots=True, frozen=True)
class Retry:
    """Send the request to another upstream, if the retry budget allows it.

    Parameters
    ----------
    is_free : bool
        Whether the retry is not charged to the budget, as no byte was sent.
    fallback : Deliver or Rejection
        Final answer if the budget is exhausted.
    """

    is_free: bool
    fallback: Deliver | Rejection


Step = Deliver | Retry | Rejection


def next_step(
    outcome: Outcome, route: Route, progress: Progress, remaining: timedelta
) -> Step:
    """Return the step that follows an attempt.

    Parameters
    ----------
    progress : Progress
        State of the request, including this attempt.
    remaining : timedelta
        Time until the caller's deadline or the route's timeout.
    """
    has_time = remaining > MIN_TIME_FOR_ATTEMPT
    match outcome:
        case NotSent(reason):
            rejection = build_rejection(progress, reason)
            return Retry(True, rejection) if has_time else rejection
        case Answered(head) if head.run_status is RunStatus.NOT_RUN:
            rejection = build_rejection(progress, describe(outcome))
            return Retry(False, rejection) if has_time else rejection
        case Answered(head) if fault := continuation_fault(progress.response, head):
            return next_step(Incomplete(fault), route, progress, remaining)
        case Answered(head):
            final = _final_answer(outcome, progress)
            if head.is_failure and has_time and _may_run_again(route, progress):
                return Retry(False, final)
            return final
        case Incomplete(reason, is_timeout):
            rejection = build_rejection(progress, reason, is_timeout=is_timeout)
            if has_time and _may_run_again(route, progress):
                return Retry(False, rejection)
            return rejection


def _final_answer(outcome: Answered, progress: Progress) -> Deliver | Rejection:
    """Return what a caller gets for an answer of an upstream that may have run it.

    A status that promises that the request did not run is not passed on.
    """
    if outcome.head.status in NOT_RUN_STATUSES:
        return build_rejection(progress, f"{describe(outcome)} without a rejection")
    return Deliver(outcome)


def _may_run_again(route: Route, progress: Progress) -> bool:
    match progress.response:
        case Started(is_resumable=False):
            return False
    return route.is_repeatable and progress.possible_runs < route.max_attempts


def build_rejection(
    progress: Progress, reason: str, *, is_timeout: bool = False
) -> Rejection:
    """Return the rejection of a request whose attempts all failed.

    Its status is 503 only if the request did not run, so that a retry is safe.
    """
    if is_timeout:
        if progress.may_have_run:
            return Rejection(504, Cause.TIMED_OUT, reason)
        return Rejection(503, Cause.TIMED_OUT, reason)
    if progress.may_have_run:
        return Rejection(502, Cause.UPSTREAM_FAILED, reason)
    return Rejection(503, Cause.UPSTREAM_FAILED, reason, RETRY_AFTER_FAILURE)


def attempt_timeout(
    route: Route,
    progress: Progress,
    expected_latency: timedelta,
    remaining: timedelta,
) -> timedelta | None:
    """Return how long to wait for an answer before another upstream is tried.

    Parameters
    ----------
    expected_latency : timedelta
        Expected time to the upstream's answer, or to its first token.
    remaining : timedelta
        Time until the request's deadline.

    Returns
    -------
    timedelta or None
        ``None`` if the request may not run again.
    """
    if not _may_run_again(route, progress):
        return None
    limit = max(MIN_ATTEMPT_TIMEOUT, expected_latency * ATTEMPT_TIMEOUT_FACTOR)
    if route.kind is RouteKind.STREAM:
        limit = max(limit, route.latency_objective)
    return min(limit, remaining / 2)
