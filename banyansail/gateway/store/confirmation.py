"""As of which time a state of the store is known to be current."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.clock import Clock

MIN_STALL = timedelta(milliseconds=400)  # between calls that are due each 200 ms
NEVER = timedelta.min


class Confirmation:
    """Time as of which the state of one kind of objects is known to be current.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_has_stalled", "_ran_at", "_watch_sent_at", "at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.at = NEVER  # the state is that of this time or later
        self._watch_sent_at: timedelta | None = None  # while its answer is awaited
        self._has_stalled = False  # since the watch was sent
        self._ran_at: timedelta | None = None

    @property
    def age(self) -> timedelta:
        """Time since the state was last known to be current."""
        if self.at == NEVER:
            return timedelta.max
        return self._clock.monotonic() - self.at

    def confirm(self, at: timedelta) -> None:
        """Record that the state is that of a time or later."""
        self.at = max(self.at, at)

    def begin_watch(self) -> None:
        """Record that a watch is sent."""
        self._watch_sent_at = self._clock.monotonic()
        self._has_stalled = False

    def end_watch(self) -> None:
        """Record that no answer to the watch is awaited any more."""
        self._watch_sent_at = None

    def confirm_by_watch(self) -> None:
        """Record that the watch was answered now, unless its answer may have waited."""
        if not (self._has_stalled or self._is_stalled()):
            self.confirm(self._clock.monotonic())

    def confirm_by_contact(self, sent_at: timedelta) -> None:
        """Record that the store answered a check sent at a time.

        A watch that was not renewed by the check has missed nothing before it.
        """
        if self._watch_sent_at is not None and sent_at >= self._watch_sent_at:
            self.confirm(sent_at)

    def record_running(self) -> None:
        """Record that this process runs; to be called often.

        If it did not run for a while, as when it was frozen, the answer to the present
        watch may have waited as long to be read.
        """
        self._has_stalled = self._has_stalled or self._is_stalled()
        self._ran_at = self._clock.monotonic()

    def _is_stalled(self) -> bool:
        now = self._clock.monotonic()
        return self._ran_at is not None and now - self._ran_at > MIN_STALL
