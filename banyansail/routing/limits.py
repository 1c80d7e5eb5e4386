"""Concurrency limit of one upstream, learned from its latency."""

from __future__ import annotations

from datetime import timedelta

INITIAL_LIMIT = 8.0
MIN_LIMIT = 1.0
MAX_LIMIT = 256.0
INCREASE = 1.0
DECREASE_FACTOR = 0.8
DECREASE_INTERVAL = timedelta(milliseconds=500)
NEARLY_FULL = 0.75


class AdaptiveLimit:
    """Additive increase while the latency target holds, else a decrease by a factor.

    Parameters
    ----------
    target : timedelta
        Latency that a call should not pass.
    """

    __slots__ = ("_last_decrease", "_limit", "_target_s")

    def __init__(self, target: timedelta) -> None:
        self._target_s = target.total_seconds()
        self._limit = INITIAL_LIMIT
        self._last_decrease = -DECREASE_INTERVAL

    @property
    def value(self) -> int:
        """Calls that may be in flight at once."""
        return int(self._limit)

    def observe(self, latency: timedelta, in_flight: int, now: timedelta) -> None:
        """Learn from the latency of one call.

        Parameters
        ----------
        latency : timedelta
            Time to the first token, or to the answer of a service.
        in_flight : int
            Calls in flight when the call was sent, this one included.
        now : timedelta
            Monotonic time.
        """
        if latency.total_seconds() > self._target_s:
            self.back_off(now)
        elif in_flight >= self._limit * NEARLY_FULL:
            self._limit = min(MAX_LIMIT, self._limit + INCREASE / self._limit)

    def back_off(self, now: timedelta) -> None:
        """Decrease after a refusal or a late answer, at most once an interval."""
        if now - self._last_decrease < DECREASE_INTERVAL:
            return
        self._last_decrease = now
        self._limit = max(MIN_LIMIT, self._limit * DECREASE_FACTOR)
