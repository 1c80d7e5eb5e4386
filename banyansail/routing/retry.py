"""Retry budget and backoff; the router is the only layer that retries.

Retry budgets as a share of requests, and timeouts that fit into the caller's, follow
the article "What a service mesh costs".
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from random import Random

RETRY_BUDGET_SHARE = 0.1  # retries per request
RETRY_BUDGET_BURST = 20.0  # retries
MAX_ATTEMPTS = 4
BACKOFF_BASE = timedelta(milliseconds=25)
MAX_BACKOFF = timedelta(seconds=1)


class AttemptFailure(Enum):
    """How an attempt ended without a usable answer."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"  # the upstream refused the call without running it
    CONNECTION_LOST = "lost"  # the connection broke during the call
    UPSTREAM_CRASHED = "died"  # the connection broke, the upstream is unreachable
    CONNECTION_STALLED = "silent"  # no data, though the upstream is alive
    RECLAIMED = "reclaimed"  # the platform sent a preemption notice
    BAD_ANSWER = "bad_answer"


# Retries after these failures are bounded by other means: the number of upstreams
# that crash or are reclaimed, and the time for which an unreachable one is suspect.
UNBUDGETED_FAILURES = (
    AttemptFailure.NOT_SENT,
    AttemptFailure.UPSTREAM_CRASHED,
    AttemptFailure.RECLAIMED,
)


class RetryBudget:
    """Token bucket that limits retries to a share of the requests.

    Parameters
    ----------
    share : float
        Retries allowed per request in the long run.
    burst : float
        Maximum number of unused retries that accumulate.
    """

    __slots__ = ("_burst", "_share", "_tokens")

    def __init__(
        self, share: float = RETRY_BUDGET_SHARE, burst: float = RETRY_BUDGET_BURST
    ) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def deposit(self) -> None:
        """Add one request's share to the budget."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def withdraw(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass(slots=True, frozen=True)
class RetryAfterBackoff:
    """Retry on another upstream after a delay."""

    delay: timedelta


class NoRetryCause(Enum):
    """Reason for making no further attempt."""

    NOT_REPEATABLE = "the call may not be repeated"
    ATTEMPTS_SPENT = "the attempts are spent"
    NO_TIME = "the deadline leaves no time for another attempt"
    BUDGET_SPENT = "the retry budget is spent"


@dataclass(slots=True, frozen=True)
class NoRetry:
    """End the request without a further attempt."""

    cause: NoRetryCause


RetryDecision = RetryAfterBackoff | NoRetry


def decide_retry(
    failure: AttemptFailure,
    *,
    is_repeatable: bool,
    attempts: int,
    remaining: timedelta,
    budget: RetryBudget,
    random: Random,
) -> RetryDecision:
    """Decide whether to retry after a failed attempt.

    Parameters
    ----------
    failure : AttemptFailure
        How the attempt ended.
    is_repeatable : bool
        Whether the call is idempotent.
    attempts : int
        Number of attempts sent so far.
    remaining : timedelta
        Time until the deadline.
    budget : RetryBudget
        Retry budget of the service; `UNBUDGETED_FAILURES` do not use it.
    random : Random
        Source of the jitter.
    """
    if not is_repeatable and failure not in (
        AttemptFailure.NOT_SENT,
        AttemptFailure.REFUSED,
    ):
        return NoRetry(NoRetryCause.NOT_REPEATABLE)
    if failure is AttemptFailure.RECLAIMED:
        return RetryAfterBackoff(timedelta(0))
    if attempts >= MAX_ATTEMPTS:
        return NoRetry(NoRetryCause.ATTEMPTS_SPENT)
    max_delay = min(MAX_BACKOFF, BACKOFF_BASE * 2 ** max(0, attempts - 1))
    delay = max_delay * random.random()
    if delay >= remaining:
        return NoRetry(NoRetryCause.NO_TIME)
    if failure not in UNBUDGETED_FAILURES and not budget.withdraw():
        return NoRetry(NoRetryCause.BUDGET_SPENT)
    return RetryAfterBackoff(delay)
