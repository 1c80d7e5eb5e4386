"""Rate limit of platform calls; the least important kinds are refused first."""

from __future__ import annotations

from datetime import timedelta
from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from banyansail.clock import Clock


class CallKind(IntEnum):
    """Purpose of a call; kinds with larger numbers are refused earlier."""

    LEDGER = 0
    CONFIGURATION = 1
    NOTICES = 2
    ROLLOUT = 3
    PLACEMENT = 4
    STATUS = 5


# Share of the burst that a kind must leave to more important kinds.
RESERVED_SHARE_BY_KIND = {
    CallKind.LEDGER: 0.0,
    CallKind.CONFIGURATION: 0.1,
    CallKind.NOTICES: 0.1,
    CallKind.ROLLOUT: 0.2,
    CallKind.PLACEMENT: 0.4,
    CallKind.STATUS: 0.5,
}


class CallBudget:
    """Token bucket whose last tokens are reserved for the important kinds.

    Parameters
    ----------
    rate : float
        Calls per second.
    burst : float
        Capacity of the bucket, in calls.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_burst", "_clock", "_rate", "_refilled_at", "_tokens")

    def __init__(self, rate: float, burst: float, clock: Clock) -> None:
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._refilled_at = clock.monotonic()

    def try_acquire(self, kind: CallKind) -> bool:
        """Take the token of one call; return whether its kind may make the call now."""
        if self._shortfall(kind, 1) > 0:
            return False
        self._tokens -= 1
        return True

    def time_until(self, kind: CallKind, calls: int) -> timedelta:
        """Return the time until a kind may make a number of calls at once."""
        shortfall = self._shortfall(kind, calls)
        return timedelta(seconds=max(0.0, shortfall) / self._rate)

    def _shortfall(self, kind: CallKind, calls: int) -> float:
        self._refill()
        return calls + self._burst * RESERVED_SHARE_BY_KIND[kind] - self._tokens

    def _refill(self) -> None:
        now = self._clock.monotonic()
        gained_tokens = (now - self._refilled_at) / timedelta(seconds=1) * self._rate
        self._tokens = min(self._burst, self._tokens + gained_tokens)
        self._refilled_at = now


class Backoff:
    """Exponential backoff with full jitter.

    Parameters
    ----------
    base, cap : timedelta
        Maximum of the first delay, and of any delay.
    random : Random
        Source of the jitter.
    """

    __slots__ = ("_base", "_cap", "_failures", "_random")

    def __init__(self, base: timedelta, cap: timedelta, random: Random) -> None:
        self._base = base
        self._cap = cap
        self._random = random
        self._failures = 0

    def reset(self) -> None:
        """Reset the count of failures after a success."""
        self._failures = 0

    def next_delay(self) -> timedelta:
        """Count a failure and return the delay before the next attempt."""
        exponent = min(self._failures, 16)
        self._failures += 1
        return min(self._cap, self._base * 2**exponent) * self._random.random()
