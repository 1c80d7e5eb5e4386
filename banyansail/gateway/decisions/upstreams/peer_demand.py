"""Work that other routers have probably assigned since their last report."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random


# From the state that a report describes until its sum is received: half an interval of
# reports and half of sums, of 400 ms each.
MEAN_DELAY = timedelta(milliseconds=400)
MAX_AGE = timedelta(seconds=2.5)  # reported work counts no longer
TIME_CONSTANT = timedelta(seconds=4)  # of the moving average of the rate
MILLISECOND = timedelta(milliseconds=1)


class PeerDemand:
    """Rate at which the other routers assign work to the upstreams of one service.

    Work is counted in milliseconds of an upstream of speed 1.
    """

    __slots__ = ("_per_ms", "_reported_at", "_total", "_updated_at")

    def __init__(self) -> None:
        self._per_ms = 0.0
        self._reported_at = timedelta(0)
        self._total: float | None = None
        self._updated_at = timedelta(0)

    def record_total(self, total_ms: float, now: timedelta) -> None:
        """Apply a sum of the fleet: the work that others assigned so far."""
        elapsed = now - self._updated_at
        if self._total is not None and elapsed > timedelta(0):
            rate = max(0.0, total_ms - self._total) / (elapsed / MILLISECOND)
            weight = min(1.0, elapsed / TIME_CONSTANT)
            self._per_ms += (rate - self._per_ms) * weight
        self._total, self._updated_at = total_ms, now
        self._reported_at = now - MEAN_DELAY

    def record_rate(self, per_ms: float, now: timedelta) -> None:
        """Apply a sum of the fleet: the work in flight that others replace each ms."""
        self._per_ms = per_ms
        self._reported_at = now - MEAN_DELAY

    def age_ms(self, now: timedelta) -> float:
        """Return how old the reported work is; 0 if it counts no longer."""
        age = now - self._reported_at
        return age / MILLISECOND if age <= MAX_AGE else 0.0

    def added_ms(self, now: timedelta) -> float:
        """Return the work that others have probably assigned since."""
        return self._per_ms * self.age_ms(now)


def draw_by_room(
    ranked: list[tuple[float, float]], added_ms: float, random: Random
) -> int:
    """Draw the index of an upstream so that many draws fill all to one level.

    All routers that read the same report would choose the same upstream if each chose
    the best one. The level is the expected time up to which the added work would fill
    the best upstreams; the room of an upstream is its speed times the time left to the
    level.

    Parameters
    ----------
    ranked : list of (float, float)
        Expected time in ms and speed of each upstream, by increasing time.
    """
    filled = speeds = level = 0.0
    for latency_ms, speed in ranked:
        if speeds and speeds * latency_ms - filled >= added_ms:
            break
        speeds += speed
        filled += speed * latency_ms
        level = (filled + added_ms) / speeds
    rooms = [speed * max(0.0, level - latency_ms) for latency_ms, speed in ranked]
    return random.choices(range(len(rooms)), rooms)[0] if sum(rooms) > 0 else 0
