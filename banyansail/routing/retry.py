"""Retry budget and backoff; the router is the only layer that retries.

Budgets as a share of requests, and timeouts that fit inside the caller's, follow
the article "What a service mesh costs".
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from random import Random

RETRY_SHARE = 0.1
RETRY_BURST = 20.0
MAX_ATTEMPTS = 4
BACKOFF_BASE = timedelta(milliseconds=25)
BACKOFF_CAP = timedelta(seconds=1)


class Failure(Enum):
    """How an attempt ended without an answer."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    LOST = "lost"
    DIED = "died"
    SILENT = "silent"
    RECLAIMED = "reclaimed"
    BAD_ANSWER = "bad_answer"


# Retries after these are bounded by other means: the number of upstreams that die
# or are announced to go, and the time for which an unreachable one gets no work.
UNBUDGETED_FAILURES = (Failure.NOT_SENT, Failure.DIED, Failure.RECLAIMED)


class RetryBudget:
    """Retries allowed as a share of the requests; unused ones are kept to a bound.

    Parameters
    ----------
    share : float
        Retries for each request in steady overload.
    burst : float
        Retries that may be saved up.
    """

    __slots__ = ("_burst", "_share", "_tokens")

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def deposit(self) -> None:
        """Account for one request."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def withdraw(self) -> bool:
        """Take one retry out; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass(slots=True, frozen=True)
class RetryAfterBackoff:
    """Try again on another upstream after a delay."""

    delay: timedelta


class GiveUpCause(Enum):
    """Why no further attempt is made."""

    NOT_REPEATABLE = "the call may not be repeated"
    ATTEMPTS_SPENT = "the attempts are spent"
    NO_TIME = "the deadline leaves no time for another attempt"
    BUDGET_SPENT = "the retry budget is spent"


@dataclass(slots=True, frozen=True)
class GiveUp:
    """Give the final answer now."""

    cause: GiveUpCause


RetryDecision = RetryAfterBackoff | GiveUp


def decide_retry(
    failure: Failure,
    *,
    is_repeatable: bool,
    attempts: int,
    remaining: timedelta,
    budget: RetryBudget,
    random: Random,
) -> RetryDecision:
    """Decide whether a failed attempt is followed by another.

    Parameters
    ----------
    failure : Failure
        How the attempt ended.
    repeatable : bool
        Whether the call is idempotent.
    attempts : int
        Attempts that were sent so far.
    remaining : timedelta
        Time until the deadline.
    budget : RetryBudget
        Budget of the service; `UNBUDGETED_FAILURES` do not charge it.
    random : Random
        Source of the jitter.
    """
    if not is_repeatable and failure not in (Failure.NOT_SENT, Failure.REFUSED):
        return GiveUp(GiveUpCause.NOT_REPEATABLE)
    if failure is Failure.RECLAIMED:
        return RetryAfterBackoff(timedelta(0))
    if attempts >= MAX_ATTEMPTS:
        return GiveUp(GiveUpCause.ATTEMPTS_SPENT)
    ceiling = min(BACKOFF_CAP, BACKOFF_BASE * 2 ** max(0, attempts - 1))
    delay = ceiling * random.random()
    if delay >= remaining:
        return GiveUp(GiveUpCause.NO_TIME)
    if failure not in UNBUDGETED_FAILURES and not budget.withdraw():
        return GiveUp(GiveUpCause.BUDGET_SPENT)
    return RetryAfterBackoff(delay)
