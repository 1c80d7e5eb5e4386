"""Retries that the fleet allows itself, by service, over a sliding window."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.clock import Clock

SPENT_SHARE = 0.7  # of what is allowed; windows of routers do not begin together


class WindowedBudget:
    """Budget of one service at one router.

    A router spends a share of its own requests and its part of the fleet's slack,
    so that the sum over routers stays within what is allowed without talking.

    Parameters
    ----------
    clock : Clock
        Source of time.
    ratio : float
        Retries that are allowed for each request.
    slack : float
        Retries that are allowed besides, over all routers.
    window : timedelta
        Length of the sliding window.
    """

    __slots__ = ("_clock", "_ratio", "_requests", "_retries", "_slack", "_window")

    def __init__(
        self, clock: Clock, ratio: float, slack: float, window: timedelta
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests: deque[timedelta] = deque()
        self._retries: deque[timedelta] = deque()

    def note_request(self) -> None:
        """Account for a request of a caller."""
        now = self._clock.monotonic()
        self._forget(now)
        self._requests.append(now)

    def withdraw(self, routers: int) -> bool:
        """Take one retry out; return whether there was one.

        Parameters
        ----------
        routers : int
            Routers that may spend from the same slack.
        """
        now = self._clock.monotonic()
        self._forget(now)
        slack = self._slack / max(1, routers)
        allowed = SPENT_SHARE * (self._ratio * len(self._requests) + slack)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _forget(self, now: timedelta) -> None:
        for times in (self._requests, self._retries):
            while times and now - times[0] > self._window:
                times.popleft()
