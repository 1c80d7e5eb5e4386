"""Rate limit for log lines of routine decisions."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.clock import Clock

MAX_LINES_PER_S = 40
WINDOW = timedelta(seconds=1)


class LogRateLimit:
    """Fixed-window limit of `MAX_LINES_PER_S` that counts the suppressed lines.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_suppressed_count", "_window_started_at", "_written_count")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._window_started_at = clock.monotonic()
        self._written_count = 0
        self._suppressed_count = 0

    def allow(self) -> bool:
        """Return whether a line may be written now; count it either way."""
        now = self._clock.monotonic()
        if now - self._window_started_at >= WINDOW:
            self._window_started_at = now
            self._written_count = 0
        if self._written_count >= MAX_LINES_PER_S:
            self._suppressed_count += 1
            return False
        self._written_count += 1
        return True

    def pop_suppressed_count(self) -> int:
        """Return and reset the number of suppressed lines."""
        suppressed_count, self._suppressed_count = self._suppressed_count, 0
        return suppressed_count
