"""Waits for the dispatcher's assignments on behalf of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import defer

from banyansail.log import log_decision
from banyansail.routing.request_types import Refusal, Ticket

if TYPE_CHECKING:
    from datetime import timedelta

    from banyansail.metrics import Metrics
    from banyansail.routing.dispatch import Assignment, Dispatcher


class RefusedError(Exception):
    """A request gets its final answer from the router.

    Parameters
    ----------
    refusal : Refusal
        The answer.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


class Scheduler:
    """Hands assignments to the requests that wait for them.

    Parameters
    ----------
    dispatcher : Dispatcher
        Decides who is served next, and where.
    metrics : Metrics
        Receives counts of assignments.
    """

    __slots__ = ("_metrics", "_waiter_by_ticket", "dispatcher")

    def __init__(self, dispatcher: Dispatcher, metrics: Metrics) -> None:
        self.dispatcher = dispatcher
        self._metrics = metrics
        self._waiter_by_ticket: dict[Ticket, defer.Deferred[Assignment]] = {}

    async def acquire(self, ticket: Ticket, *, admitted: bool) -> Assignment:
        """Wait until the request is assigned to an upstream.

        Parameters
        ----------
        admitted : bool
            Whether the request was admitted before; it is then not refused.

        Raises
        ------
        RefusedError
            If the request is not admitted.
        """
        if admitted:
            self.dispatcher.requeue(ticket)
        else:
            refusal = self.dispatcher.admit(ticket)
            if refusal is not None:
                raise RefusedError(refusal)
        waiter: defer.Deferred[Assignment] = defer.Deferred(
            lambda _: self._give_up(ticket)
        )
        self._waiter_by_ticket[ticket] = waiter
        self.pump()
        return await waiter

    def release(
        self, assignment: Assignment, latency: timedelta | None, duration: timedelta
    ) -> None:
        """Account for the end of a call; see `Dispatcher.release`."""
        self.dispatcher.release(assignment, latency, duration)
        self.pump()

    def pump(self) -> None:
        """Hand out the assignments that are possible now."""
        for assignment in self.dispatcher.assign():
            self._log(assignment)
            self._waiter_by_ticket.pop(assignment.ticket).callback(assignment)

    def _give_up(self, ticket: Ticket) -> None:
        del self._waiter_by_ticket[ticket]
        self.dispatcher.cancel(ticket)

    def _log(self, assignment: Assignment) -> None:
        ticket = assignment.ticket
        rule = assignment.state.rule
        self._metrics.count(f"route.{rule.service}.{assignment.reason}")
        log_decision(
            "route",
            assignment.reason,
            request=ticket.request_id,
            service=rule.service,
            upstream=rule.name,
            version=rule.version,
            zone=rule.zone,
            losers=assignment.alternatives,
            in_flight=assignment.in_flight,
        )
