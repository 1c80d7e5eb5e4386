"""Life cycle of one request: assignment of slots, attempts, final answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from banyansail.gateway.active_request import start_request
from banyansail.gateway.decisions.retry_policy import (
    Answered,
    Deliver,
    NotSent,
    Outcome,
    Retry,
    build_rejection,
    describe,
    next_step,
)
from banyansail.gateway.request_types import Cause, Rejection
from banyansail.gateway.share_fields import share_fields
from banyansail.gateway.site import RouteKind
from banyansail.gateway.upstream_run import UpstreamRun

if TYPE_CHECKING:
    from banyansail.config.fields import Address
    from banyansail.gateway.context import GatewayContext
    from banyansail.gateway.decisions.service_state import Slot
    from banyansail.gateway.decisions.work_shares import ShareUse
    from banyansail.gateway.events import StreamEvent
    from banyansail.gateway.request_types import CallerCall, ReplyHead
    from banyansail.gateway.response_writer import ResponseWriter
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
        self._writer = writer
        self._request = start_request(
            context, call, route, service, workspace, earlier_runs or 0
        )
        self._run = UpstreamRun(self._request, self._forward)
        self._is_relayed = earlier_runs is not None
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
            self._context.retry_budget(self._request.ticket.service).record_request()
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

    def event_received(self, head: ReplyHead, event: StreamEvent) -> None:
        """Forward an event of a stream that another router relays."""
        self._context.reach.record_bytes()
        self._forward(head, event)

    def _forward(self, head: ReplyHead, event: StreamEvent) -> None:
        """Forward an event of a stream to the caller."""
        request = self._request
        if request.is_finished:
            return
        if not request.progress.is_stream_started:
            request.progress.is_stream_started = True
            self._writer.start_stream(head)
        if event.id:
            request.last_event_id = event.id
        self._writer.write(event.raw)

    async def _serve(self) -> None:
        while not self._request.is_finished:
            relay = self._choose_relay()
            if relay is not None:
                if not await self._serve_through(relay):
                    return
                continue
            assigned = await self._wait_for_slot()
            if assigned.share is not None:
                self._observe_wait(assigned.share)
            if isinstance(assigned, Rejection):
                self._finish(self._fallback or assigned)
                return
            quarantined = self._context.crash_guard.rejection(self._request.call)
            if quarantined is not None:
                self._context.dispatcher.release(assigned)
                self._finish(self._fallback or quarantined)
                return
            outcome, slot = await self._run.run(assigned)
            if isinstance(outcome, NotSent) and not self._request.is_finished:
                await self._context.confirm_reach()
            if self._request.is_finished:
                return
            if not self._handle_outcome(outcome, slot):
                return

    def _choose_relay(self) -> Address | None:
        if self._is_relayed:
            return None
        return self._context.relays.choose(self._failed_relays)

    async def _serve_through(self, relay: Address) -> bool:
        """Let another router serve the request; return whether to try again."""
        self._request.write_log(
            "relay", "no upstream can be reached from here", router=str(relay)
        )
        # The other router charges the quota itself.
        self._context.refund_quota(self._request.workspace, self._request.call)
        earlier_runs = self._request.progress.possible_runs
        self._request.progress.attempts += 1
        self._request.progress.possible_runs += 1
        outcome = await self._context.relays.send(
            relay,
            self._request.call,
            self._sink(),
            remaining=self._request.remaining(),
            last_event_id=self._request.last_event_id,
            possible_runs=earlier_runs,
        )
        if self._request.is_finished:
            return False
        match outcome:
            case NotSent():
                self._request.progress.possible_runs = earlier_runs
                self._failed_relays.add(relay)
                self._context.charge_quota(self._request.workspace, self._request.call)
                return True
            case Answered(head):
                if earlier_runs and not head.is_stamped and self._fallback is not None:
                    # Its rejection says nothing of the earlier attempts here.
                    self._finish(self._fallback)
                else:
                    self._deliver(outcome)
                return False
        step = next_step(
            outcome,
            self._request.route,
            self._request.progress,
            self._request.remaining(),
        )
        if isinstance(step, Retry) and self._context.withdraw_retry(
            self._request.ticket.service
        ):
            self._fallback = step.fallback
            self._context.charge_quota(self._request.workspace, self._request.call)
            return True
        self._finish(step.fallback if isinstance(step, Retry) else step)
        return False

    def _sink(self) -> Exchange | None:
        return self if self._request.route.kind is RouteKind.STREAM else None

    def _handle_outcome(self, outcome: Outcome, slot: Slot) -> bool:
        """Finish the request or prepare a retry; return whether to try again."""
        step = next_step(
            outcome,
            self._request.route,
            self._request.progress,
            self._request.remaining(),
        )
        if isinstance(step, Retry):
            is_allowed = step.is_free or self._run.is_retry_charged
            if is_allowed or self._context.withdraw_retry(self._request.ticket.service):
                self._run.is_retry_charged = False
                self._fallback = step.fallback
                self._request.ticket.excluded.add(slot.load.upstream.id)
                self._request.ticket.is_retry = True
                self._context.metrics.count_retry(self._request.ticket.service)
                self._request.write_log(
                    "retry", describe(outcome), upstream=slot.load.upstream.id
                )
                return True
            step = step.fallback
        self._finish(step)
        return False

    def _finish(self, step: Deliver | Rejection) -> None:
        match step:
            case Deliver(answer):
                self._deliver(answer)
            case Rejection():
                self._reject(step)

    def _observe_wait(self, share: ShareUse) -> None:
        """Record the time that a request waited in the fair order."""
        waited = self._context.clock.monotonic() - self._request.ticket.arrived_at
        self._context.metrics.observe_wait(
            self._request.ticket.service, share.workspace, waited
        )

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

    def _deliver(self, answer: Answered) -> None:
        self._request.is_finished = True
        self._context.metrics.count_answer(
            self._request.route.name, f"upstream_{answer.head.status}"
        )
        if answer.head.is_failure:
            self._request.write_log(
                "pass_failure_on",
                "the upstream reported a failure and no retry is allowed",
                upstream=self._request.upstream_id,
                status=answer.head.status,
            )
        if not self._request.progress.is_stream_started:
            self._writer.write_response(answer.head, answer.body)
        elif answer.head.is_success:
            self._writer.end_stream()
        else:  # of an upstream that did not continue the stream
            self._writer.abort_stream()

    def _reject(self, rejection: Rejection) -> None:
        if self._request.is_finished:
            return
        self._request.is_finished = True
        self._context.metrics.count_answer(
            self._request.route.name, rejection.cause.value
        )
        self._request.write_log(
            "reject",
            rejection.detail,
            upstream=self._request.upstream_id,
            status=rejection.status,
            cause=rejection.cause.value,
            is_begun=self._request.progress.is_stream_started,
            **share_fields(rejection.share),
        )
        if not self._request.progress.may_have_run:
            self._context.refund_quota(self._request.workspace, self._request.call)
        if self._request.progress.is_stream_started:
            self._writer.abort_stream()
        else:
            self._writer.reject(rejection)

    def _on_deadline(self) -> None:
        if self._request.is_finished:
            return
        self._reject(
            build_rejection(
                self._request.progress, "the deadline has passed", is_timeout=True
            )
        )
        self._serving.cancel()

    def _on_error(self, failure: Any) -> None:
        if failure.check(defer.CancelledError) and self._request.is_finished:
            return
        self._request.write_log("failed", failure.getTraceback())
        if not self._request.is_finished:
            status = 502 if self._request.progress.may_have_run else 503
            self._reject(Rejection(status, Cause.INTERNAL, str(failure.value)))

    def _clean_up(self) -> None:
        self._request.is_finished = True
        self._run.close()
        if self._deadline_timer is not None and self._deadline_timer.active():
            self._deadline_timer.cancel()
