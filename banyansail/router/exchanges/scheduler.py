"""Delivery of the dispatcher's assignments to waiting requests."""

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
    """The router refuses a request.

    Parameters
    ----------
    refusal : Refusal
        Final answer to the caller.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


class Scheduler:
    """Delivers assignments to the requests that wait for them.

    Parameters
    ----------
    dispatcher : Dispatcher
        Selects the next request and its upstream.
    metrics : Metrics
        Counts the assignments.
    """

    __slots__ = ("_metrics", "_waiter_by_ticket", "dispatcher")

    def __init__(self, dispatcher: Dispatcher, metrics: Metrics) -> None:
        self.dispatcher = dispatcher
        self._metrics = metrics
        self._waiter_by_ticket: dict[Ticket, defer.Deferred[Assignment]] = {}

    async def acquire(self, ticket: Ticket, *, is_admitted: bool) -> Assignment:
        """Wait until a request is assigned to an upstream.

        Parameters
        ----------
        is_admitted : bool
            Whether the request was admitted before, so that it can't be refused now.

        Raises
        ------
        RefusedError
            If the dispatcher does not admit the request.
        """
        if is_admitted:
            self.dispatcher.requeue(ticket)
        else:
            refusal = self.dispatcher.admit(ticket)
            if refusal is not None:
                raise RefusedError(refusal)
        waiter: defer.Deferred[Assignment] = defer.Deferred(
            lambda _: self._cancel(ticket)
        )
        self._waiter_by_ticket[ticket] = waiter
        self.assign_waiting()
        return await waiter

    def release(
        self, assignment: Assignment, latency: timedelta | None, duration: timedelta
    ) -> None:
        """Release the slot of a finished call; see `Dispatcher.release`."""
        self.dispatcher.release(assignment, latency, duration)
        self.assign_waiting()

    def assign_waiting(self) -> None:
        """Assign queued requests to upstreams with a free slot."""
        for assignment in self.dispatcher.assign():
            self._log(assignment)
            self._waiter_by_ticket.pop(assignment.ticket).callback(assignment)

    def _cancel(self, ticket: Ticket) -> None:
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
