"""Concurrency limit of one upstream, adapted to its latency."""

from __future__ import annotations

from datetime import timedelta

INITIAL_LIMIT = 8.0
MIN_LIMIT = 1.0
MAX_LIMIT = 256.0
INCREASE_STEP = 1.0  # added once per as many on-time calls as the limit
DECREASE_FACTOR = 0.8
MIN_DECREASE_INTERVAL = timedelta(milliseconds=500)
MIN_UTILISATION_TO_INCREASE = 0.75  # fraction of the limit in use


class AdaptiveLimit:
    """Limit with additive increase and multiplicative decrease (AIMD), by latency.

    Parameters
    ----------
    latency_target : timedelta
        Latency target of a call.
    """

    __slots__ = ("_last_decrease", "_latency_target_s", "_limit")

    def __init__(self, latency_target: timedelta) -> None:
        self._latency_target_s = latency_target.total_seconds()
        self._limit = INITIAL_LIMIT
        self._last_decrease = -MIN_DECREASE_INTERVAL

    @property
    def value(self) -> int:
        """Maximum number of calls in flight."""
        return int(self._limit)

    def record_latency(
        self, latency: timedelta, in_flight: int, now: timedelta
    ) -> None:
        """Adjust the limit to the latency of one call.

        Parameters
        ----------
        latency : timedelta
            Time to the first token of a model, or to the answer of a service.
        in_flight : int
            Calls in flight when the call was sent, this one included.
        now : timedelta
            Monotonic time.
        """
        if latency.total_seconds() > self._latency_target_s:
            self.back_off(now)
        elif in_flight >= self._limit * MIN_UTILISATION_TO_INCREASE:
            self._limit = min(MAX_LIMIT, self._limit + INCREASE_STEP / self._limit)

    def back_off(self, now: timedelta) -> None:
        """Decrease the limit after a failed or slow call, at most once per interval."""
        if now - self._last_decrease < MIN_DECREASE_INTERVAL:
            return
        self._last_decrease = now
        self._limit = max(MIN_LIMIT, self._limit * DECREASE_FACTOR)
