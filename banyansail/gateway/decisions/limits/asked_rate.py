"""Estimates of what callers of a workspace ask for per second."""

from __future__ import annotations

import math
from collections import deque
from datetime import timedelta

TIME_CONSTANT = timedelta(seconds=1.5)  # of the moving averages
MIN_SAMPLE_TIME = timedelta(milliseconds=100)  # reports may arrive at the same time
POINT_INTERVAL = timedelta(milliseconds=250)
KEPT_POINTS = 9
# Counted from the newest; what was asked before it is known to all routers.
REPORTED_POINT = 4
# More at one router is likelier demand that moved there than a rise at all of them.
MAX_RISE = 3.0
_SECOND = timedelta(seconds=1)


class OwnAskedRate:
    """What is asked of this router."""

    __slots__ = ("_per_s", "_points", "_requests", "_total", "_updated_at")

    def __init__(self) -> None:
        self._per_s = 0.0
        self._updated_at = timedelta(0)
        self._total = 0.0
        self._requests = 0
        # Time of a request and total after it, at least `POINT_INTERVAL` apart.
        self._points: deque[tuple[timedelta, float]] = deque(maxlen=KEPT_POINTS)

    def record(self, cost: float, now: timedelta) -> None:
        """Record a request."""
        self._per_s = self.per_s(now) + cost / (TIME_CONSTANT / _SECOND)
        self._updated_at = now
        self._total += cost
        self._requests += 1
        if not self._points or now - self._points[-1][0] >= POINT_INTERVAL:
            self._points.append((now, self._total))

    def per_s(self, now: timedelta) -> float:
        """Return the moving average per second."""
        return self._per_s * math.exp(-((now - self._updated_at) / TIME_CONSTANT))

    def rise(self, mean_per_s: float, now: timedelta) -> float:
        """Return by which factor more is asked than others know of, 1 to `MAX_RISE`.

        A deviation that is usual for requests that come by chance is left out.

        Parameters
        ----------
        mean_per_s : float
            What is known to be asked of a router on average.
        """
        if len(self._points) < 2:
            return 1.0
        start, total = self._points[-2]
        recent = self._total - total
        deviation = math.sqrt(recent * self._total / self._requests)
        known_per_s = max(mean_per_s, self._reported_per_s())
        expected = known_per_s * ((now - start) / _SECOND)
        if expected <= 0:
            return 1.0
        return min(MAX_RISE, max(1.0, (recent - deviation) / expected))

    def _reported_per_s(self) -> float:
        """Return the rate at which requests came until the others heard of them."""
        if len(self._points) <= REPORTED_POINT:
            return 0.0
        (start, first), (end, last) = self._points[0], self._points[-REPORTED_POINT]
        return (last - first) / ((end - start) / _SECOND)


class PeerAskedRate:
    """What is asked of other routers, by the increase of their counters.

    It follows a rise at once and a fall by the time constant of its moving average.

    Parameters
    ----------
    total : float
        What was asked before the first report.
    """

    __slots__ = ("_mean", "_newest", "_total", "is_known")

    def __init__(self, total: float) -> None:
        self._total = total
        self.is_known = False  # after the first of the reports
        self._mean = 0.0
        self._newest = 0.0

    def record(self, total: float, elapsed: timedelta) -> None:
        """Record a report.

        Parameters
        ----------
        total : float
            What was asked since an arbitrary time.
        elapsed : timedelta
            Time since the previous report.
        """
        self.is_known = True
        asked = max(0.0, total - self._total)
        self._total = total
        time = max(elapsed, MIN_SAMPLE_TIME)
        self._newest = asked / (time / _SECOND)
        self._mean += (self._newest - self._mean) * min(1.0, time / TIME_CONSTANT)

    def per_s(self) -> float:
        """Return the estimate per second."""
        return max(self._newest, self._mean)
