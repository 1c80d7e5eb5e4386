"""Budget of platform calls; under pressure the least important kinds stop first."""

from __future__ import annotations

from datetime import timedelta
from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from banyansail.clock import Clock


class CallKind(IntEnum):
    """What a call is for; a larger number gives way earlier."""

    LEDGER = 0
    CONFIGURATION = 1
    NOTICES = 2
    ROLLOUT = 3
    PLACEMENT = 4
    STATUS = 5


RESERVE_BY_KIND = {
    CallKind.LEDGER: 0.0,
    CallKind.CONFIGURATION: 0.1,
    CallKind.NOTICES: 0.1,
    CallKind.ROLLOUT: 0.2,
    CallKind.PLACEMENT: 0.4,
    CallKind.STATUS: 0.5,
}


class CallBudget:
    """Token bucket whose last tokens only the important kinds may take.

    Parameters
    ----------
    rate : float
        Calls a second.
    burst : float
        Calls that may be saved up.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_at", "_burst", "_clock", "_rate", "_tokens")

    def __init__(self, rate: float, burst: float, clock: Clock) -> None:
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._at = clock.monotonic()

    def take(self, kind: CallKind) -> bool:
        """Take one call out; return whether the kind may have it now."""
        if self._lacking(kind, 1) > 0:
            return False
        self._tokens -= 1
        return True

    def time_until(self, kind: CallKind, calls: int) -> timedelta:
        """Return the time until a kind may have so many calls at once."""
        lacking = self._lacking(kind, calls)
        return timedelta(seconds=max(0.0, lacking) / self._rate)

    def _lacking(self, kind: CallKind, calls: int) -> float:
        self._refill()
        return calls + self._burst * RESERVE_BY_KIND[kind] - self._tokens

    def _refill(self) -> None:
        now = self._clock.monotonic()
        gained = (now - self._at) / timedelta(seconds=1) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._at = now


class Backoff:
    """Exponential backoff with full jitter after failures.

    Parameters
    ----------
    base, cap : timedelta
        Ceiling of the first delay, and of every delay.
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
        """Forget the failures."""
        self._failures = 0

    def next_delay(self) -> timedelta:
        """Account for a failure and return how long to wait."""
        exponent = min(self._failures, 16)
        self._failures += 1
        return min(self._cap, self._base * 2**exponent) * self._random.random()
