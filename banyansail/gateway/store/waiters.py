"""Coroutines that wait for an event, each for a limited time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet import defer, task

if TYPE_CHECKING:
    from datetime import timedelta


class Waiters:
    """Coroutines that wait until an event occurs or their time is over.

    Parameters
    ----------
    reactor : object
        Provider of ``callLater``.
    """

    __slots__ = ("_reactor", "_waiting")

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._waiting: set[defer.Deferred[None]] = set()

    def __len__(self) -> int:
        return len(self._waiting)

    async def wait(self, longest: timedelta) -> None:
        """Wait until the event occurs, or for the longest time."""
        waiter: defer.Deferred[None] = defer.Deferred()
        self._waiting.add(waiter)
        timer = task.deferLater(self._reactor, longest.total_seconds())
        timer.addCallback(lambda _: waiter.called or waiter.callback(None))
        timer.addErrback(lambda failure: failure.trap(defer.CancelledError))
        try:
            await waiter
        finally:
            self._waiting.discard(waiter)
            timer.cancel()

    def wake(self) -> None:
        """Let all coroutines go on that wait at present."""
        for waiter in list(self._waiting):
            self._waiting.discard(waiter)
            if not waiter.called:
                waiter.callback(None)
