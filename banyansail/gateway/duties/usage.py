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
HANDOVER_WINDOWS = 3  # most recent ones
# All routers send their counts more often; one that does not has ended or is cut off.
MAX_SILENCE = timedelta(seconds=2)

Counts = dict[int, dict[str, int]]
Handover = dict[str, dict[str, dict[str, int]]]  # by process, window and workspace


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
        "_heard_at_by_process",
        "_time",
        "_window",
        "own_counts",
    )

    def __init__(self, time: SteadyTime, window: timedelta) -> None:
        self._time = time
        self._window = window
        self.own_counts: Counts = {}
        self._counts_by_process: dict[str, Counts] = {}
        self._heard_at_by_process: dict[str, datetime] = {}
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
        self._heard_at_by_process[process] = self._time.now()
        known = self._counts_by_process.setdefault(process, {})
        for window, count_by_workspace in counts.items():
            known[window] = dict(count_by_workspace)
        _remove_oldest(known)

    def is_complete(self, window: int, peers: int) -> bool:
        """Return whether the counts of a window are known of all routers.

        They are once each router that counted in it has counted in a later one. One
        that is killed or cut off in the window keeps it open, as does one without
        requests. One that was restarted meanwhile sends nothing more of before.

        Parameters
        ----------
        window : int
            Number of a window that has ended.
        peers : int
            Number of the other routers that are heard.
        """
        if window <= self._first_window:  # this process may not know all its peers yet
            return False
        newest_by_router: dict[str, int] = {}
        for process, counts in self._counts_by_process.items():
            router = process.rpartition(".")[0]
            newest = max(counts, default=0)
            if newest >= window:
                newest_by_router[router] = max(
                    newest, newest_by_router.get(router, newest)
                )
        is_open = any(newest <= window for newest in newest_by_router.values())
        return not is_open and len(newest_by_router) >= peers

    def ended_counts(self) -> dict[str, Counts]:
        """Return the recent counts of processes that are not heard any more.

        The others send their counts to the next router that reports usage themselves.
        """
        now = self._time.now()
        oldest = self.current_window() - HANDOVER_WINDOWS
        return {
            process: {
                window: count_by_workspace
                for window, count_by_workspace in counts.items()
                if window >= oldest
            }
            for process, counts in self._counts_by_process.items()
            if now - self._heard_at_by_process[process] > MAX_SILENCE
            and max(counts, default=oldest - 1) >= oldest
        }

    def handover(self) -> Handover:
        """Return the counts of ended processes as JSON."""
        return {
            process: {str(window): count for window, count in counts.items()}
            for process, counts in self.ended_counts().items()
        }

    def merge_handover(self, handover: Handover) -> None:
        """Merge the counts that another router left.

        Raises
        ------
        ValueError, TypeError, AttributeError
            If they are malformed.
        """
        for process, counts in handover.items():
            by_window = {
                int(window): {name: int(count) for name, count in by_name.items()}
                for window, by_name in counts.items()
            }
            self.merge_ended_counts(process, by_window)

    def merge_ended_counts(self, process: str, counts: Counts) -> None:
        """Merge the counts of an ended process that another router knows.

        What the process itself sent goes first.
        """
        known = self._counts_by_process.get(process, {})
        unknown = {
            window: count for window, count in counts.items() if window not in known
        }
        self.merge_peer_counts(process, unknown)

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
