"""Watches an attempt for silence of its connection."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from banyansail.clock import Clock


class SilenceWatch:
    """Calls a check whenever no byte has come for a time.

    Parameters
    ----------
    reactor : object
        Provider of ``callLater``.
    clock : Clock
        Source of time.
    limit : timedelta
        Silence that makes a check due.
    check : callable
        Coroutine function; it breaks the attempt if need be.
    """

    __slots__ = (
        "_check",
        "_clock",
        "_last",
        "_limit",
        "_reactor",
        "_timer",
        "is_paused",
    )

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        limit: timedelta,
        check: Callable[[], Awaitable[None]],
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._limit = limit
        self._check = check
        self._last = clock.monotonic()
        self._timer: Any = None
        self.is_paused = False

    def __enter__(self) -> SilenceWatch:
        self._schedule(self._limit)
        return self

    def __exit__(self, *exc_info: object) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        self._limit = timedelta.max

    def touch(self) -> None:
        """Account for a byte."""
        self._last = self._clock.monotonic()

    def _schedule(self, delay: timedelta) -> None:
        self._timer = self._reactor.callLater(delay.total_seconds(), self._fire)

    def _fire(self) -> None:
        quiet = self._clock.monotonic() - self._last
        if self.is_paused or quiet < self._limit:
            wait = self._limit if self.is_paused else self._limit - quiet
            self._schedule(wait)
            return
        self._timer = None
        done = defer.Deferred.fromCoroutine(self._run_check())
        done.addErrback(lambda failure: None)

    async def _run_check(self) -> None:
        await self._check()
        if self._limit is not timedelta.max and self._timer is None:
            self._last = self._clock.monotonic()
            self._schedule(self._limit)
