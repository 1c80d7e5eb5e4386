"""Life cycle of one request: assignment of slots, attempts, final answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from banyansail.gateway.context import quota_cost
from banyansail.gateway.decisions.responses.retry_policy import (
    NOT_RUN_STATUSES,
    Answered,
    Deliver,
    Incomplete,
    NotSent,
    Outcome,
    Retry,
    build_rejection,
    describe,
    next_step,
)
from banyansail.gateway.request_types import (
    FIRST_FAILURE_STATUS,
    FIRST_REDIRECT_STATUS,
    Cause,
    Rejection,
)
from banyansail.gateway.requests.active_request import start_request
from banyansail.gateway.requests.caller_response import CallerResponse
from banyansail.gateway.requests.quota_charge import QuotaCharge
from banyansail.gateway.requests.upstream_run import UpstreamRun
from banyansail.gateway.site import RouteKind

if TYPE_CHECKING:
    from banyansail.config.fields import Address
    from banyansail.gateway.context import GatewayContext
    from banyansail.gateway.decisions.queue.tickets import Slot
    from banyansail.gateway.request_types import CallerCall, ReplyHead
    from banyansail.gateway.requests.events import StreamEvent
    from banyansail.gateway.requests.response_writer import ResponseWriter
    from banyansail.gateway.site import Route, Workspace


class Exchange:
    """One request of a caller, from its arrival to its final answer.

    Parameters
    ----------
    context : GatewayContext
        State that all exchanges of a router share.
    writer : ResponseWriter
        Writer of the response to the caller.
    call : CallerCall
        Decoded request.
    route : Route
        Route that the request matches.
    service : str
        Service that the request is routed to.
    workspace : Workspace or None
        Workspace of the caller, or ``None`` if the route needs no API key.
    earlier_runs : int or None
        Attempts of the router that relays the request which may have run it; ``None``
        for a request from a caller.
    """

    def __init__(
        self,
        context: GatewayContext,
        writer: ResponseWriter,
        call: CallerCall,
        route: Route,
        service: str,
        workspace: Workspace | None,
        earlier_runs: int | None = None,
    ) -> None:
        self._context = context
        self._request = start_request(
            context, call, route, service, workspace, earlier_runs or 0
        )
        self._response = CallerResponse(self._request, writer)
        self._upstream_run = UpstreamRun(self._request, self._response.forward)
        self._is_relayed = earlier_runs is not None
        self._runs_elsewhere = earlier_runs or 0  # charged by the routers of these runs
        cost = 0.0 if workspace is None else quota_cost(workspace, call)
        self._charge = QuotaCharge(context.quota, workspace, cost)
        self._failed_relays: set[Address] = set()
        self._fallback: Deliver | Rejection | None = None
        self._serving: defer.Deferred[None] | None = None
        self._deadline_timer: Any = None

    def start(self) -> defer.Deferred[None]:
        """Start serving; the returned deferred fires at the end and never fails."""
        seconds = self._request.remaining().total_seconds()
        self._deadline_timer = self._context.reactor.callLater(
            seconds, self._on_deadline
        )
        if not self._is_relayed:  # else counted by the router that relays it
            self._context.retries.record_request(self._request.ticket.service)
        self._serving = defer.Deferred.fromCoroutine(self._serve())
        self._serving.addErrback(self._on_error)
        self._serving.addBoth(lambda _: self._clean_up())
        return self._serving

    def abandon(self) -> None:
        """Cancel the request after the caller disconnected."""
        if not self._request.is_finished:
            self._request.is_finished = True
            self._request.write_log("abandoned", "the caller disconnected")
            self._serving.cancel()

    def stop(self) -> None:
        """End the request, as the router stops."""
        if self._request.is_finished:
            return
        self._finish(build_rejection(self._request.progress, "the router stops"))
        self._serving.cancel()

    def event_received(self, head: ReplyHead, event: StreamEvent) -> None:
        """Forward an event of a stream that another router relays."""
        self._context.reach.record_bytes()
        self._response.forward(head, event)

    async def _serve(self) -> None:
        request = self._request
        while not request.is_finished:
            relay = self._choose_relay()
            if relay is not None:
                if not await self._serve_through(relay):
                    return
                continue
            assigned = await self._wait_for_slot()
            if assigned.share is not None:
                request.record_wait(assigned.share)
            if isinstance(assigned, Rejection):
                self._finish(self._fallback or assigned)
                return
            quarantined = self._context.crash_guard.rejection(request.call)
            if quarantined is not None:
                self._context.dispatcher.release(assigned)
                self._finish(self._fallback or quarantined)
                return
            self._charge.cover(self._runs_here() + 1)
            outcome, slot = await self._upstream_run.run(assigned)
            if isinstance(outcome, NotSent) and not request.is_finished:
                await self._context.confirm_reach()
            if request.is_finished:
                return
            if not self._handle_outcome(outcome, slot):
                return

    def _choose_relay(self) -> Address | None:
        if self._is_relayed:
            return None
        return self._context.relays.choose(self._failed_relays)

    async def _serve_through(self, relay: Address) -> bool:
        """Let another router serve the request; return whether to try again."""
        request = self._request
        request.write_log(
            "relay", "no upstream can be reached from here", router=str(relay)
        )
        earlier_runs = request.progress.possible_runs
        request.progress.attempts += 1
        request.progress.possible_runs += 1
        self._runs_elsewhere += 1
        outcome = await self._context.relays.send(
            relay,
            request.call,
            self._sink(),
            remaining=request.remaining(),
            last_event_id=request.last_event_id,
            continues_after=request.continues_after,
            possible_runs=earlier_runs,
        )
        if request.is_finished:
            return False
        if _is_denial(outcome):
            # This router admitted the request, so the other one may be behind.
            outcome = Incomplete(f"router {relay} answered {outcome.head.status}")
            self._failed_relays.add(relay)
        match outcome:
            case NotSent():
                request.progress.possible_runs = earlier_runs
                self._runs_elsewhere -= 1
                self._failed_relays.add(relay)
                return True
            case Answered(head):
                if earlier_runs and not head.is_stamped and self._fallback is not None:
                    # Its rejection says nothing of the earlier attempts here.
                    self._finish(self._fallback)
                else:
                    self._finish(Deliver(outcome))
                return False
        step = next_step(outcome, request.route, request.progress, request.remaining())
        if isinstance(step, Retry) and self._context.retries.withdraw(
            request.ticket.service
        ):
            self._fallback = step.fallback
            return True
        self._finish(step.fallback if isinstance(step, Retry) else step)
        return False

    def _sink(self) -> Exchange | None:
        return self if self._request.route.kind is RouteKind.STREAM else None

    def _handle_outcome(self, outcome: Outcome, slot: Slot) -> bool:
        """Finish the request or prepare a retry; return whether to try again."""
        request = self._request
        step = next_step(outcome, request.route, request.progress, request.remaining())
        if isinstance(step, Retry):
            is_allowed = step.is_free or self._upstream_run.is_retry_charged
            if is_allowed or self._context.retries.withdraw(request.ticket.service):
                self._upstream_run.is_retry_charged = False
                self._fallback = step.fallback
                request.ticket.excluded.add(slot.load.upstream.id)
                request.ticket.is_retry = True
                self._context.metrics.count_retry(request.ticket.service)
                request.write_log(
                    "retry", describe(outcome), upstream=slot.load.upstream.id
                )
                return True
            step = step.fallback
        self._finish(step)
        return False

    def _wait_for_slot(self) -> defer.Deferred[Slot | Rejection]:
        cancel: list[Any] = []
        assigned: defer.Deferred[Slot | Rejection] = defer.Deferred(
            lambda _: cancel[0]()
        )
        cancel.append(
            self._context.dispatcher.request_slot(
                self._request.ticket, assigned.callback
            )
        )
        return assigned

    def _finish(self, result: Deliver | Rejection) -> None:
        self._response.end(result)

    def _on_deadline(self) -> None:
        if self._request.is_finished:
            return
        self._finish(
            build_rejection(
                self._request.progress, "the deadline has passed", is_timeout=True
            )
        )
        self._serving.cancel()

    def _on_error(self, failure: Any) -> None:
        request = self._request
        if failure.check(defer.CancelledError) and request.is_finished:
            return
        request.write_log("failed", failure.getTraceback())
        if not request.is_finished:
            status = 502 if request.progress.may_have_run else 503
            self._finish(Rejection(status, Cause.INTERNAL, str(failure.value)))

    def _runs_here(self) -> int:
        """Return how many attempts at upstreams of this router may have run."""
        return self._request.progress.possible_runs - self._runs_elsewhere

    def _clean_up(self) -> None:
        self._request.is_finished = True
        self._charge.settle(self._runs_here())
        self._upstream_run.close()
        if self._deadline_timer is not None and self._deadline_timer.active():
            self._deadline_timer.cancel()


def _is_denial(outcome: Outcome) -> bool:
    """Return whether a router that relays a request answered that it is wrong."""
    if not isinstance(outcome, Answered) or outcome.head.is_stamped:
        return False
    status = outcome.head.status
    return (
        FIRST_REDIRECT_STATUS <= status < FIRST_FAILURE_STATUS
        and status not in NOT_RUN_STATUSES
    )
