"""Supervisor tree: periodic and endless tasks that are restarted when they fail."""

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

RESTART_BASE = timedelta(milliseconds=200)
RESTART_CAP = timedelta(seconds=5)


class RepeatedTask(Service):
    """Runs a coroutine again and again, with a pause in between.

    A failure is logged and followed by a backoff; it never stops the task.

    Parameters
    ----------
    reactor : object
        Provider of ``callLater``.
    random : Random
        Source of the jitter.
    name : str
        Name for the log.
    run : callable
        Coroutine function.
    pause : timedelta
        Time between runs.
    longest_backoff : timedelta
        Most that is waited besides after failures.
    """

    def __init__(
        self,
        reactor: Any,
        random: Random,
        name: str,
        run: Callable[[], Coroutine[Any, Any, None]],
        pause: timedelta,
        longest_backoff: timedelta = RESTART_CAP,
    ) -> None:
        self.setName(name)
        self._longest_backoff = longest_backoff
        self._reactor = reactor
        self._run = run
        self._pause = pause
        self._random = random
        self._loop: defer.Deferred[None] | None = None
        self.failures = 0
        self._failures_in_a_row = 0

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
        backoff = Backoff(RESTART_BASE, self._longest_backoff, self._random)
        while self.running:
            try:
                await self._run()
                backoff.reset()
                self._failures_in_a_row = 0
                pause = self._pause
            except defer.CancelledError:
                return
            except Exception as error:  # the supervisor keeps its tasks alive
                self.failures += 1
                self._failures_in_a_row += 1
                pause = self._pause + backoff.next_delay()
                self._log(error)
            await task.deferLater(self._reactor, pause.total_seconds())

    def _log(self, error: Exception) -> None:
        """Log the first, second, fourth ... of failures in a row."""
        count = self._failures_in_a_row
        if count & (count - 1):
            return
        log_event(
            "task_failed",
            task=self.name,
            error=str(error) or repr(error),
            in_a_row=count,
        )


class Supervisor(MultiService):
    """A node of the tree; its children start and stop with it.

    Parameters
    ----------
    reactor : object
        Provider of ``callLater``.
    random : Random
        Source of the jitter.
    """

    def __init__(self, reactor: Any, random: Random) -> None:
        super().__init__()
        self._reactor = reactor
        self._random = random

    def add_task(
        self,
        name: str,
        run: Callable[[], Coroutine[Any, Any, None]],
        pause: timedelta,
        longest_backoff: timedelta = RESTART_CAP,
    ) -> None:
        """Add a child that runs a coroutine function again and again."""
        child = RepeatedTask(
            self._reactor, self._random, name, run, pause, longest_backoff
        )
        child.setServiceParent(self)
