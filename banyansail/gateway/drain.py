"""Drain of a gateway before a planned stop."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, task

from banyansail.log import log_event

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.gateway.callers.request_handler import RequestHandler
    from banyansail.gateway.callers.servers import Servers

DRAIN_POLL_INTERVAL = timedelta(milliseconds=50)
ANSWER_SEND_TIME = timedelta(milliseconds=20)  # for the last answers of a stop
STOP_MARGIN = timedelta(milliseconds=400)  # left before the platform kills the process
# The load balancer sends no new connections this long after readiness ends.
BALANCER_REMOVAL_TIME = timedelta(seconds=2.6)


class Drain:
    """Lets the requests in progress end, and gives the others their final answers.

    It begins as it is made, which the time until the platform kills the process counts
    from.

    Parameters
    ----------
    reactor, clock : object
        Sources of events and time.
    handler : RequestHandler
        Handler of the requests, which is leaving.
    servers : Servers
        Connections of the callers.
    """

    __slots__ = ("_clock", "_handler", "_reactor", "_servers", "_started_at")

    def __init__(
        self, reactor: Any, clock: Clock, handler: RequestHandler, servers: Servers
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._handler = handler
        self._servers = servers
        self._started_at = clock.monotonic()

    async def run(self, grace: timedelta) -> None:
        """Wait until no request is in progress, or the time of the platform is over.

        Parameters
        ----------
        grace : timedelta
            From the signal to stop until the platform kills the process.
        """
        await self._sleep(BALANCER_REMOVAL_TIME)
        self._handler.is_accepting = False
        while self._clock.monotonic() - self._started_at < grace - STOP_MARGIN:
            self._servers.close_idle_connections()
            if not (self._handler.in_progress or self._servers.has_connections):
                break
            await self._sleep(DRAIN_POLL_INTERVAL)
        log_event("stopped", in_progress=self._handler.in_progress)
        self._handler.stop()

    async def wait_for_last_answers(self) -> None:
        """Wait until the last answers have been sent."""
        await self._sleep(ANSWER_SEND_TIME)

    def _sleep(self, duration: timedelta) -> defer.Deferred[None]:
        return task.deferLater(self._reactor, duration.total_seconds())
