"""Retry budget of the fleet, by service, over a sliding window."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.clock import Clock

# Of the retries that a request allows: the retries of one window rest on requests of
# that window and the one before it, whose larger number counts.
REQUEST_SHARE = 0.5
# Of a router's part of the slack, for a process that has run for a window. A younger
# one has the rest, in proportion to its age, as the one before it may have spent this.
SLACK_SHARE = 0.6
YOUNG_SLACK_SHARE = 1 - SLACK_SHARE


class WindowedRetryBudget:
    """Retry budget of one service at one router's process.

    A process may retry a share of its own requests, plus its part of the fleet's
    slack. What processes before it spent is not known to it, and need not be: each
    retry rests on requests of the same process, and the processes of one router
    together never have more than one part of the slack in a window, however often it
    restarts.

    Parameters
    ----------
    clock : Clock
        Source of time.
    ratio : float
        Allowed retries per request.
    slack : float
        Additional allowed retries, summed over all routers.
    window : timedelta
        Length of the sliding window.
    started_at : timedelta
        Monotonic time at which the process started.
    """

    __slots__ = (
        "_clock",
        "_ratio",
        "_requests",
        "_retries",
        "_slack",
        "_started_at",
        "_window",
    )

    def __init__(
        self,
        clock: Clock,
        ratio: float,
        slack: float,
        window: timedelta,
        started_at: timedelta,
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._started_at = started_at
        self._requests: deque[timedelta] = deque()
        self._retries: deque[timedelta] = deque()

    @property
    def requests(self) -> int:
        """Callers' requests in the window that ends now."""
        self._expire(self._clock.monotonic())
        return len(self._requests)

    @property
    def retries(self) -> int:
        """Retries withdrawn in the window that ends now."""
        self._expire(self._clock.monotonic())
        return len(self._retries)

    def record_request(self) -> None:
        """Count a caller's request."""
        now = self._clock.monotonic()
        self._expire(now)
        self._requests.append(now)

    def withdraw(self, routers: int | None) -> bool:
        """Withdraw one retry; return whether the budget allowed it.

        Parameters
        ----------
        routers : int or None
            Number of routers that share the slack; if it is not known, this router
            uses nothing of the slack.
        """
        now = self._clock.monotonic()
        self._expire(now)
        allowed = REQUEST_SHARE * self._ratio * len(self._requests)
        if routers is not None:
            allowed += self._slack_share(now) * self._slack / max(1, routers)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _slack_share(self, now: timedelta) -> float:
        """Return the share of this router's part of the slack that may be used."""
        age = now - self._started_at
        if age >= self._window:
            return SLACK_SHARE
        return YOUNG_SLACK_SHARE * (age / self._window)

    def _expire(self, now: timedelta) -> None:
        for times in (self._requests, self._retries):
            while times and now - times[0] > self._window:
                times.popleft()
