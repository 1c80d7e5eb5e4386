"""Bounds the lines that are logged for what went well."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.clock import Clock

LINES_PER_S = 40
WINDOW = timedelta(seconds=1)


class LineLimit:
    """Allows so many lines a second and counts those that are left out.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_began_at", "_clock", "_left_out", "_written")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._began_at = clock.monotonic()
        self._written = 0
        self._left_out = 0

    def take(self) -> bool:
        """Tell whether a line may be written now."""
        now = self._clock.monotonic()
        if now - self._began_at >= WINDOW:
            self._began_at = now
            self._written = 0
        if self._written >= LINES_PER_S:
            self._left_out += 1
            return False
        self._written += 1
        return True

    def take_left_out(self) -> int:
        """Return the lines left out since this was asked last."""
        left_out, self._left_out = self._left_out, 0
        return left_out
