"""Counts of the requests that ran, by window of wall time and by workspace.

They are reported to the platform; the use of quotas is counted separately, see `quota`.
"""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from banyansail.clock import Clock

MAX_WINDOWS = 12  # the oldest ones beyond it are removed

Counts = dict[int, dict[str, int]]


class SteadyTime:
    """Wall time that is not affected by jumps of the machine's clock.

    Parameters
    ----------
    clock : Clock
        Source of time; its wall time is read only once.
    """

    __slots__ = ("_clock", "_offset")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offset: datetime = clock.now() - clock.monotonic()

    def now(self) -> datetime:
        """Return the wall time."""
        return self._offset + self._clock.monotonic()


class UsageCounter:
    """Counts of this router and of its peers, by window.

    Parameters
    ----------
    time : SteadyTime
        Source of wall time.
    window : timedelta
        Length of a window; windows are counted from the start of 1970.
    """

    __slots__ = (
        "_counts_by_process",
        "_first_window",
        "_time",
        "_window",
        "own_counts",
    )

    def __init__(self, time: SteadyTime, window: timedelta) -> None:
        self._time = time
        self._window = window
        self.own_counts: Counts = {}
        self._counts_by_process: dict[str, Counts] = {}
        self._first_window = self.current_window()

    def current_window(self) -> int:
        """Return the number of the current window."""
        return int(self._time.now().timestamp() // self._window.total_seconds())

    def age_of(self, window: int) -> timedelta:
        """Return the time since a window ended."""
        ended = (window + 1) * self._window.total_seconds()
        return timedelta(seconds=self._time.now().timestamp() - ended)

    def count(self, workspace: str) -> None:
        """Count a request that starts to run now."""
        counts = self.own_counts.setdefault(self.current_window(), {})
        counts[workspace] = counts.get(workspace, 0) + 1
        _remove_oldest(self.own_counts)

    def merge_peer_counts(
        self, process: str, counts: Mapping[int, Mapping[str, int]]
    ) -> None:
        """Merge the counts of another router's process.

        Parameters
        ----------
        process : str
            Name and incarnation of the router; a restarted one counts from zero.
        """
        known = self._counts_by_process.setdefault(process, {})
        for window, count_by_workspace in counts.items():
            known[window] = dict(count_by_workspace)
        _remove_oldest(known)

    def is_complete(self, window: int, peers: int) -> bool:
        """Return whether the counts of a window are known of all routers.

        They are once each process that counted lately has counted in a later window. A
        process that is killed keeps the window open, as does one without requests.

        Parameters
        ----------
        window : int
            Number of a window that has ended.
        peers : int
            Number of the other routers.
        """
        if window <= self._first_window:  # this process may not know all its peers yet
            return False
        newest_by_process = {
            process: max(counts)
            for process, counts in self._counts_by_process.items()
            if counts and max(counts) >= window - 1
        }
        if any(newest <= window for newest in newest_by_process.values()):
            return False
        routers = {process.rpartition(".")[0] for process in newest_by_process}
        return len(routers) >= peers

    def total(self, window: int, workspaces: list[str]) -> dict[str, int]:
        """Return the known counts of the whole fleet for a window."""
        total = dict.fromkeys(workspaces, 0)
        for counts in (self.own_counts, *self._counts_by_process.values()):
            for workspace, count in counts.get(window, {}).items():
                total[workspace] = total.get(workspace, 0) + count
        return total


def _remove_oldest(counts: Counts) -> None:
    while len(counts) > MAX_WINDOWS:
        del counts[min(counts)]
