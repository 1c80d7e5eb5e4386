"""Notices that the watches of the store missed what other routers know."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.clock import Clock

MISSED_AFTER = timedelta(milliseconds=500)  # a watch brings a change much sooner


class MissedChange:
    """Compares the configuration in force with the one that the watch brought.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_since", "_version")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._version = 0
        self._since: timedelta | None = None  # None once it was reported

    def is_due(self, version: int, watched_version: int) -> bool:
        """Return, once for each version, whether the watch has missed it.

        Parameters
        ----------
        version : int
            Version in force.
        watched_version : int
            Newest version that the watch brought.
        """
        if version != self._version:
            self._version, self._since = version, self._clock.monotonic()
        if watched_version >= version or self._since is None:
            return False
        if self._clock.monotonic() - self._since < MISSED_AFTER:
            return False
        self._since = None
        return True
