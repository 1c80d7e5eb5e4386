"""Watches an attempt for silence of its connection."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class SilenceWatch:
    """Calls a check whenever no byte has come for a time.

    Parameters
    ----------
    reactor : object
        Provider of ``callLater``.
    limit : timedelta
        Silence that makes a check due.
    check : callable
        Coroutine function; it breaks the attempt if need be.
    """

    __slots__ = ("_check", "_half", "_quiet_halves", "_reactor", "_timer", "is_paused")

    def __init__(
        self,
        reactor: Any,
        limit: timedelta,
        check: Callable[[], Awaitable[None]],
    ) -> None:
        self._reactor = reactor
        self._check = check
        self._half = limit.total_seconds() / 2
        self._quiet_halves = 0
        self._timer: Any = None
        self.is_paused = False

    def __enter__(self) -> SilenceWatch:
        self._schedule()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._check = None
        if self._timer.active():
            self._timer.cancel()

    def touch(self) -> None:
        """Account for a byte; this is called for every token and stays cheap."""
        self._quiet_halves = 0

    def _schedule(self) -> None:
        self._timer = self._reactor.callLater(self._half, self._fire)

    def _fire(self) -> None:
        self._quiet_halves += 1
        if self.is_paused or self._quiet_halves <= 2:
            self._schedule()
            return
        done = defer.Deferred.fromCoroutine(self._check())
        done.addErrback(lambda failure: None)
        done.addBoth(self._go_on)

    def _go_on(self, _: object) -> None:
        self._quiet_halves = 0
        if self._check is not None:
            self._schedule()
