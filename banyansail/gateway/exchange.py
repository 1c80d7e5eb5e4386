"""Life cycle of one request: assignment of slots, attempts, final answer."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from banyansail.gateway.attempt import Attempt
from banyansail.gateway.decisions.retry_policy import (
    Answered,
    Deliver,
    NotSent,
    Outcome,
    Progress,
    Retry,
    attempt_timeout,
    build_rejection,
    describe,
    may_have_run,
    next_step,
)
from banyansail.gateway.decisions.service_state import Slot, Ticket
from banyansail.gateway.outcome_recorder import OutcomeRecorder
from banyansail.gateway.request_types import Cause, Rejection, RunStatus
from banyansail.gateway.share_fields import share_fields
from banyansail.gateway.site import RouteKind
from banyansail.log import log_decision
from banyansail.platform.calls import encode_attempt

if TYPE_CHECKING:
    from banyansail.config.fields import Address
    from banyansail.gateway.context import GatewayContext
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
        self._call = call
        self._route = route
        self._workspace = workspace
        now = context.clock.monotonic()
        timeout = min(call.timeout or route.timeout, route.timeout)
        self._arrived_at = now
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        self._ticket = Ticket(
            service,
            call.prompt,
            priority,
            now,
            now + timeout,
            version_draw=context.random.random(),
            workspace=workspace.name if workspace is not None else "",
            weight=context.dispatcher.fair.weight_of(
                workspace.name if workspace is not None else ""
            ),
            caller=call.key,
            fingerprint=call.fingerprint,
        )
        self._recorder = OutcomeRecorder(context, call, route)
        self._is_relayed = earlier_runs is not None
        self._progress = Progress(possible_runs=earlier_runs or 0)
        self._failed_relays: set[Address] = set()
        self._last_event_id = call.last_event_id
        self._fallback: Deliver | Rejection | None = None
        self._upstream_id = ""  # of the latest attempt
        # Whether the latest attempt timed out; its retry was charged at that time.
        self._is_retry_charged = False
        self._is_usage_counted = False
        self._is_finished = False
        self._serving: defer.Deferred[None] | None = None
        self._deadline_timer: Any = None

    def start(self) -> defer.Deferred[None]:
        """Start serving; the returned deferred fires at the end and never fails."""
        seconds = (self._ticket.deadline - self._arrived_at).total_seconds()
        self._deadline_timer = self._context.reactor.callLater(
            seconds, self._on_deadline
        )
        if not self._is_relayed:  # else counted by the router that relays it
            self._context.retry_budget(self._ticket.service).record_request()
        self._serving = defer.Deferred.fromCoroutine(self._serve())
        self._serving.addErrback(self._on_error)
        self._serving.addBoth(lambda _: self._clean_up())
        return self._serving

    def abandon(self) -> None:
        """Cancel the request after the caller disconnected."""
        if not self._is_finished:
            self._is_finished = True
            self._log("abandoned", "the caller disconnected")
            self._serving.cancel()

    def event_received(self, head: ReplyHead, event: StreamEvent) -> None:
        """Forward an event of a stream to the caller."""
        self._context.reach.record_bytes()
        if self._is_finished:
            return
        if not self._progress.is_stream_started:
            self._progress.is_stream_started = True
            self._writer.start_stream(head)
        if event.id:
            self._last_event_id = event.id
        self._writer.write(event.raw)

    async def _serve(self) -> None:
        while not self._is_finished:
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
            quarantined = self._context.crash_guard.rejection(self._call)
            if quarantined is not None:
                self._context.dispatcher.release(assigned)
                self._finish(self._fallback or quarantined)
                return
            outcome = await self._attempt(assigned)
            if isinstance(outcome, NotSent) and not self._is_finished:
                await self._context.confirm_reach()
            if self._is_finished:
                return
            if not self._handle_outcome(outcome, assigned):
                return

    def _choose_relay(self) -> Address | None:
        if self._is_relayed:
            return None
        return self._context.relays.choose(self._failed_relays)

    async def _serve_through(self, relay: Address) -> bool:
        """Let another router serve the request; return whether to try again."""
        self._log("relay", "no upstream can be reached from here", router=str(relay))
        # The other router charges the quota itself.
        self._context.refund_quota(self._workspace, self._call)
        earlier_runs = self._progress.possible_runs
        self._progress.attempts += 1
        self._progress.possible_runs += 1
        outcome = await self._context.relays.send(
            relay,
            self._call,
            self._sink(),
            remaining=self._remaining(),
            last_event_id=self._last_event_id,
            possible_runs=earlier_runs,
        )
        if self._is_finished:
            return False
        match outcome:
            case NotSent():
                self._progress.possible_runs = earlier_runs
                self._failed_relays.add(relay)
                self._context.charge_quota(self._workspace, self._call)
                return True
            case Answered(head):
                if earlier_runs and not head.is_stamped and self._fallback is not None:
                    # Its rejection says nothing of the earlier attempts here.
                    self._finish(self._fallback)
                else:
                    self._deliver(outcome)
                return False
        step = next_step(outcome, self._route, self._progress, self._remaining())
        if isinstance(step, Retry) and self._context.withdraw_retry(
            self._ticket.service
        ):
            self._fallback = step.fallback
            self._context.charge_quota(self._workspace, self._call)
            return True
        self._finish(step.fallback if isinstance(step, Retry) else step)
        return False

    def _sink(self) -> Exchange | None:
        return self if self._route.kind is RouteKind.STREAM else None

    def _handle_outcome(self, outcome: Outcome, slot: Slot) -> bool:
        """Finish the request or prepare a retry; return whether to try again."""
        step = next_step(outcome, self._route, self._progress, self._remaining())
        if isinstance(step, Retry):
            is_allowed = step.is_free or self._is_retry_charged
            if is_allowed or self._context.withdraw_retry(self._ticket.service):
                self._is_retry_charged = False
                self._fallback = step.fallback
                self._ticket.excluded.add(slot.load.upstream.id)
                self._ticket.is_retry = True
                self._context.metrics.count_retry(self._ticket.service)
                self._log("retry", describe(outcome), upstream=slot.load.upstream.id)
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
        waited = self._context.clock.monotonic() - self._arrived_at
        self._context.metrics.observe_wait(
            self._ticket.service, share.workspace, waited
        )

    def _wait_for_slot(self) -> defer.Deferred[Slot | Rejection]:
        cancel: list[Any] = []
        assigned: defer.Deferred[Slot | Rejection] = defer.Deferred(
            lambda _: cancel[0]()
        )
        cancel.append(
            self._context.dispatcher.request_slot(self._ticket, assigned.callback)
        )
        return assigned

    async def _attempt(self, slot: Slot) -> Outcome:
        context = self._context
        load = slot.load
        upstream = load.upstream
        sent_at = context.clock.monotonic()

        def on_first_byte(head: ReplyHead) -> None:
            load.record_first_byte(slot.number, slot.chosen.prefill_tokens)
            self._count_usage(head)
            latency = context.clock.monotonic() - sent_at
            context.metrics.observe_first_byte(self._ticket.service, latency)
            if not head.is_failure and head.run_status is not RunStatus.NOT_RUN:
                self._record_speed(slot, latency)
            if self._call.prompt is not None:
                backlog = load.pending_prefill_tokens + load.peer_pending_prefill_tokens
                load.prefill_rate.record(slot.chosen.prefill_tokens + backlog, latency)

        attempt = Attempt(
            context.pool_of(upstream.address),
            self._call.attempt_id,
            self._sink(),
            lambda head: context.apply_reply_head(load, head),
            on_first_byte,
            context.answer_budget,
        )
        headers = encode_attempt(
            self._call,
            upstream_id=upstream.id,
            workspace=self._workspace.name if self._workspace else "",
            remaining=self._remaining(),
            last_event_id=self._last_event_id,
        )
        self._upstream_id = upstream.id
        self._progress.attempts += 1
        self._progress.possible_runs += 1
        self._log_route(slot)
        context.crash_guard.start_attempt(upstream, self._call)
        timer = self._start_attempt_timer(attempt, slot, sent_at)
        try:
            outcome = await attempt.run(
                self._call.method, self._call.target, headers, self._call.body
            )
        finally:
            if timer is not None and timer.active():
                timer.cancel()
            context.dispatcher.release(slot)
            context.crash_guard.end_attempt(upstream, self._call)
        if not may_have_run(outcome):
            self._progress.possible_runs -= 1
        duration = context.clock.monotonic() - sent_at
        self._recorder.record(
            outcome, load, duration, is_attempt_timeout=self._is_retry_charged
        )
        return outcome

    def _start_attempt_timer(
        self, attempt: Attempt, slot: Slot, sent_at: timedelta
    ) -> Any:
        """Start the timer that aborts an attempt, if the request may run again."""
        expected_latency = max(
            slot.load.mean_latency(sent_at), slot.chosen.expected_latency
        )
        timeout = attempt_timeout(
            self._route, self._progress, expected_latency, self._remaining()
        )
        if timeout is None:
            return None

        def on_timeout() -> None:
            if self._is_finished or not slot.load.is_awaiting_first_byte(slot.number):
                return
            if self._context.withdraw_retry(self._ticket.service):
                self._is_retry_charged = True
                # The answer would have taken at least as long.
                self._record_speed(slot, timeout)
                attempt.abort(
                    f"no answer within {timeout.total_seconds():.2f} s",
                    is_timeout=True,
                )

        return self._context.reactor.callLater(timeout.total_seconds(), on_timeout)

    def _record_speed(self, slot: Slot, latency: timedelta) -> None:
        now = self._context.clock.monotonic()
        slot.load.record_speed(slot.chosen.nominal_latency, latency, now)

    def _count_usage(self, head: ReplyHead) -> None:
        if head.run_status is RunStatus.NOT_RUN or self._is_usage_counted:
            return
        self._is_usage_counted = True
        if self._workspace is not None:
            self._context.usage.count(self._workspace.name)

    def _deliver(self, answer: Answered) -> None:
        self._is_finished = True
        self._context.metrics.count_answer(
            self._route.name, f"upstream_{answer.head.status}"
        )
        if answer.head.is_failure:
            self._log(
                "pass_failure_on",
                "the upstream reported a failure and no retry is allowed",
                upstream=self._upstream_id,
                status=answer.head.status,
            )
        if self._progress.is_stream_started:
            self._writer.end_stream()
        else:
            self._writer.write_response(answer.head, answer.body)

    def _reject(self, rejection: Rejection) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        self._context.metrics.count_answer(self._route.name, rejection.cause.value)
        self._log(
            "reject",
            rejection.detail,
            upstream=self._upstream_id,
            status=rejection.status,
            cause=rejection.cause.value,
            is_begun=self._progress.is_stream_started,
            **share_fields(rejection.share),
        )
        if not self._progress.may_have_run:
            self._context.refund_quota(self._workspace, self._call)
        if self._progress.is_stream_started:
            self._writer.abort_stream()
        else:
            self._writer.reject(rejection)

    def _on_deadline(self) -> None:
        if self._is_finished:
            return
        self._reject(
            build_rejection(self._progress, "the deadline has passed", is_timeout=True)
        )
        self._serving.cancel()

    def _remaining(self) -> timedelta:
        return self._ticket.deadline - self._context.clock.monotonic()

    def _on_error(self, failure: Any) -> None:
        if failure.check(defer.CancelledError) and self._is_finished:
            return
        self._log("failed", failure.getTraceback())
        if not self._is_finished:
            status = 502 if self._progress.may_have_run else 503
            self._reject(Rejection(status, Cause.INTERNAL, str(failure.value)))

    def _clean_up(self) -> None:
        self._is_finished = True
        if self._deadline_timer is not None and self._deadline_timer.active():
            self._deadline_timer.cancel()

    def _log_route(self, slot: Slot) -> None:
        if self._context.route_log_limit.allow():
            self._log(
                "route",
                slot.chosen.reason,
                upstream=slot.load.upstream.id,
                expected_ms=int(slot.chosen.expected_latency.total_seconds() * 1000),
                in_flight=slot.load.in_flight,
                peers_in_flight=slot.load.peer_in_flight,
                **self._speed_fields(slot),
                left_out=self._context.route_log_limit.pop_suppressed_count(),
                **self._wait_fields(slot),
            )

    def _speed_fields(self, slot: Slot) -> dict[str, Any]:
        """Return the estimated speed, its evidence and age, and the next best."""
        if not self._context.dispatcher.is_uneven:
            return {}
        evidence = slot.load.speed_evidence
        return {
            "speed": round(slot.load.speed, 2),
            "speed_samples": round(evidence.samples) if evidence else 0,
            "speed_age_ms": int(evidence.age.total_seconds() * 1000) if evidence else 0,
            "next_best": slot.chosen.next_best,
        }

    def _wait_fields(self, slot: Slot) -> dict[str, Any]:
        """Return log fields of a request that waited in the fair order."""
        if slot.share is None:
            return {}
        waited = slot.assigned_at - self._arrived_at
        return {
            "waited_ms": int(waited.total_seconds() * 1000),
            **share_fields(slot.share),
        }

    def _log(self, decision: str, reason: str, **fields: Any) -> None:
        log_decision(
            decision,
            reason,
            request=self._call.attempt_id,
            route=self._route.name,
            attempts=self._progress.attempts,
            **fields,
        )
