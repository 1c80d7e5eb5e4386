"""Pace of a stream's events, and when it will end at this pace."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta


class StreamPace:
    """Events of one stream so far."""

    __slots__ = ("_first_at", "_last_at", "events")

    def __init__(self) -> None:
        self.events = 0
        self._first_at: timedelta | None = None
        self._last_at: timedelta | None = None

    def record(self, now: timedelta) -> None:
        """Record an event that arrived."""
        self.events += 1
        if self._first_at is None:
            self._first_at = now
        self._last_at = now

    def time_to_end(self, total_events: int) -> timedelta | None:
        """Return the time from the last event to the end; ``None`` if unknown.

        Parameters
        ----------
        total_events : int
            Most events that the whole stream has.
        """
        if self.events < 2:
            return None
        interval = (self._last_at - self._first_at) / (self.events - 1)
        return interval * max(0, total_events - self.events)
