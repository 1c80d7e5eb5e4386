"""Detection of connections on which no data arrives."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class StallDetector:
    """Calls a check whenever no data has arrived for a timeout.

    A timer runs at half the timeout, so that `reset` need not reschedule it. The check
    runs between 1 and 1.5 timeouts after the last data.

    Parameters
    ----------
    reactor : object
        Provider of ``callLater``.
    timeout : timedelta
        Time without data after which the check runs.
    check : callable
        Coroutine function that aborts the attempt if the connection is lost.
    """

    __slots__ = (
        "_check",
        "_half_timeout_s",
        "_idle_half_periods",
        "_reactor",
        "_timer",
        "is_paused",
    )

    def __init__(
        self,
        reactor: Any,
        timeout: timedelta,
        check: Callable[[], Awaitable[None]],
    ) -> None:
        self._reactor = reactor
        self._check = check
        self._half_timeout_s = timeout.total_seconds() / 2
        self._idle_half_periods = 0
        self._timer: Any = None
        self.is_paused = False

    def __enter__(self) -> StallDetector:
        self._schedule()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._check = None
        if self._timer.active():
            self._timer.cancel()

    def reset(self) -> None:
        """Record that data arrived; called for every token, so it must be cheap."""
        self._idle_half_periods = 0

    def _schedule(self) -> None:
        self._timer = self._reactor.callLater(self._half_timeout_s, self._fire)

    def _fire(self) -> None:
        self._idle_half_periods += 1
        if self.is_paused or self._idle_half_periods <= 2:
            self._schedule()
            return
        done = defer.Deferred.fromCoroutine(self._check())
        done.addErrback(lambda failure: None)
        done.addBoth(self._restart)

    def _restart(self, _: object) -> None:
        self._idle_half_periods = 0
        if self._check is not None:
            self._schedule()
