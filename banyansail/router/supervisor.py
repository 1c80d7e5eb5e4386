"""Supervisor tree: tasks that run periodically and are retried when they fail."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.application.service import MultiService, Service
from twisted.internet import defer, task

from banyansail.coordination.budget import Backoff
from banyansail.log import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from random import Random

RETRY_BACKOFF_BASE = timedelta(milliseconds=200)
MAX_RETRY_BACKOFF = timedelta(seconds=5)


class RepeatedTask(Service):
    """Runs a coroutine function repeatedly, with a pause between runs.

    A failure is logged and followed by a backoff; it never stops the task.

    Parameters
    ----------
    reactor : object
        Provider of ``callLater``.
    random : Random
        Source of the jitter.
    name : str
        Name in the log.
    run : callable
        Coroutine function of one run.
    pause : timedelta
        Time between runs.
    max_backoff : timedelta
        Longest backoff after failures, in addition to the pause.
    """

    def __init__(
        self,
        reactor: Any,
        random: Random,
        name: str,
        run: Callable[[], Coroutine[Any, Any, None]],
        pause: timedelta,
        max_backoff: timedelta = MAX_RETRY_BACKOFF,
    ) -> None:
        self.setName(name)
        self._max_backoff = max_backoff
        self._reactor = reactor
        self._run = run
        self._pause = pause
        self._random = random
        self._loop: defer.Deferred[None] | None = None
        self.failures = 0
        self._consecutive_failures = 0

    def startService(self) -> None:
        """Start the task."""
        super().startService()
        self._loop = defer.Deferred.fromCoroutine(self._run_forever())
        self._loop.addErrback(lambda failure: failure.trap(defer.CancelledError))

    def stopService(self) -> None:
        """Stop the task."""
        super().stopService()
        if self._loop is not None:
            self._loop.cancel()

    async def _run_forever(self) -> None:
        backoff = Backoff(RETRY_BACKOFF_BASE, self._max_backoff, self._random)
        while self.running:
            try:
                await self._run()
                backoff.reset()
                self._consecutive_failures = 0
                pause = self._pause
            except defer.CancelledError:
                return
            except Exception as error:  # no failure may stop the task
                self.failures += 1
                self._consecutive_failures += 1
                pause = self._pause + backoff.next_delay()
                self._log_failure(error)
            await task.deferLater(self._reactor, pause.total_seconds())

    def _log_failure(self, error: Exception) -> None:
        """Log the first, second, fourth, eighth, ... of consecutive failures."""
        count = self._consecutive_failures
        if count & (count - 1):
            return
        log_event(
            "task_failed",
            task=self.name,
            error=str(error) or repr(error),
            in_a_row=count,
        )


class Supervisor(MultiService):
    """Parent of services and tasks, which start and stop with it.

    Parameters
    ----------
    reactor : object
        Provider of ``callLater``.
    random : Random
        Source of the jitter.
    """

    def __init__(self, reactor: Any, random: Random) -> None:
        super().__init__()
        self.reactor = reactor
        self.random = random

    def add_task(
        self,
        name: str,
        run: Callable[[], Coroutine[Any, Any, None]],
        pause: timedelta,
        max_backoff: timedelta = MAX_RETRY_BACKOFF,
    ) -> None:
        """Add a child that runs a coroutine function repeatedly."""
        child = RepeatedTask(self.reactor, self.random, name, run, pause, max_backoff)
        child.setServiceParent(self)
