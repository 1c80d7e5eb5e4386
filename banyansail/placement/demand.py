"""Number of replicas that the recent peak load needs."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.placement.planner import replicas_needed

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.config.rules import PlacementRule

PEAK_WINDOW = timedelta(minutes=10)


class PeakDemand:
    """Scales up with the load at once and scales down only after `PEAK_WINDOW`.

    An instance takes minutes to start, so one that is stopped during a dip of the load
    is missing when the load returns.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_peaks")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Strictly decreasing counts; entries that can't become the maximum are dropped.
        self._peaks: deque[tuple[timedelta, int]] = deque()

    def required_replicas(
        self, rule: PlacementRule, in_flight: float, replica_capacity: float
    ) -> int:
        """Return the maximum needed within `PEAK_WINDOW`, but at least the rule's.

        Parameters
        ----------
        in_flight : float
            Calls in flight and waiting now, over all routers.
        replica_capacity : float
            Calls in flight that one replica can serve at the latency target.
        """
        now = self._clock.monotonic()
        needed = replicas_needed(in_flight, replica_capacity)
        while self._peaks and self._peaks[-1][1] <= needed:
            self._peaks.pop()
        self._peaks.append((now, needed))
        while self._peaks[0][0] <= now - PEAK_WINDOW:
            self._peaks.popleft()
        return max(rule.replicas, self._peaks[0][1])
