"""Replicas that the load has needed of late."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.placement.planner import replicas_needed

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.config.rules import PlacementRule

MEMORY = timedelta(minutes=10)


class Demand:
    """Raises the replicas at once with a load and lowers them only later.

    An instance takes minutes to start, so one that is stopped in a dip of the load is
    missing when the load is back.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_peaks")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Falling from left to right: only what may still be the most is kept.
        self._peaks: deque[tuple[timedelta, int]] = deque()

    def replicas(
        self, rule: PlacementRule, in_flight: float, room_of_replica: float
    ) -> int:
        """Return the most replicas that were needed within `MEMORY`, or the rule's.

        Parameters
        ----------
        in_flight : float
            Calls in flight and waiting now, over all routers.
        room_of_replica : float
            Calls that one replica takes at the latency target.
        """
        now = self._clock.monotonic()
        needed = replicas_needed(in_flight, room_of_replica)
        while self._peaks and self._peaks[-1][1] <= needed:
            self._peaks.pop()
        self._peaks.append((now, needed))
        while self._peaks[0][0] <= now - MEMORY:
            self._peaks.popleft()
        return max(rule.replicas, self._peaks[0][1])
