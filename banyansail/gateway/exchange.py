"""Life of one request: its place, its attempts, its final answer."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from banyansail.gateway.attempt import Attempt
from banyansail.gateway.attempts import (
    Answered,
    Deliver,
    Outcome,
    Progress,
    TryAgain,
    describe,
    has_run,
    next_step,
    patience,
    reject,
)
from banyansail.gateway.dispatch import Slot, Ticket
from banyansail.gateway.messages import Cause, Ran, Rejection
from banyansail.gateway.outcome_judge import OutcomeJudge
from banyansail.gateway.site import RouteKind
from banyansail.log import log_decision
from banyansail.platform.calls import encode_attempt

if TYPE_CHECKING:
    from banyansail.gateway.context import GatewayContext
    from banyansail.gateway.events import StreamEvent
    from banyansail.gateway.messages import CallerCall, ReplyHead
    from banyansail.gateway.response_writer import ResponseWriter
    from banyansail.gateway.site import Route, Workspace


class Exchange:
    """One attempt of a caller, from its arrival to its final answer.

    Parameters
    ----------
    context : GatewayContext
        What the exchanges of a router share.
    writer : ResponseWriter
        Where the answer goes.
    call : CallerCall
        What was asked for.
    route : Route
        The route that it matches.
    service : str
        Where the request goes.
    workspace : Workspace or None
        Whose request it is.
    """

    def __init__(
        self,
        context: GatewayContext,
        writer: ResponseWriter,
        call: CallerCall,
        route: Route,
        service: str,
        workspace: Workspace | None,
    ) -> None:
        self._context = context
        self._writer = writer
        self._call = call
        self._route = route
        self._workspace = workspace
        now = context.clock.monotonic()
        allowed = min(call.deadline or route.timeout, route.timeout)
        self._arrived = now
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        self._ticket = Ticket(
            service,
            call.prompt,
            priority,
            now,
            now + allowed,
            draw=context.random.random(),
        )
        self._judge = OutcomeJudge(context, call, route)
        self._progress = Progress()
        self._last_event = call.last_event
        self._fallback: Deliver | Rejection | None = None
        self._upstream_id = ""  # of the latest attempt
        self._is_prepaid = False
        self._is_counted = False
        self._is_over = False
        self._run: defer.Deferred[None] | None = None
        self._deadline_timer: Any = None

    def start(self) -> defer.Deferred[None]:
        """Begin; the deferred fires at the end and never fails."""
        seconds = (self._ticket.deadline - self._arrived).total_seconds()
        self._deadline_timer = self._context.reactor.callLater(seconds, self._time_out)
        self._context.retry_budget(self._ticket.service).note_request()
        self._run = defer.Deferred.fromCoroutine(self._serve())
        self._run.addErrback(self._fail)
        self._run.addBoth(lambda _: self._end())
        return self._run

    def abandon(self) -> None:
        """Stop, as the caller has gone."""
        if not self._is_over:
            self._is_over = True
            self._log("abandoned", "the caller has gone")
            self._run.cancel()

    def event_received(self, head: ReplyHead, event: StreamEvent) -> None:
        """Pass an event of a stream on."""
        if self._is_over:
            return
        if not self._progress.is_begun:
            self._progress.is_begun = True
            self._writer.start_stream(head)
        if event.id:
            self._last_event = event.id
        self._writer.write(event.raw)

    async def _serve(self) -> None:
        while not self._is_over:
            placed = await self._place()
            if isinstance(placed, Rejection):
                self._finish(self._fallback or placed)
                return
            outcome = await self._attempt(placed)
            if self._is_over:
                return
            if not self._goes_on(outcome, placed):
                return

    def _goes_on(self, outcome: Outcome, slot: Slot) -> bool:
        """Act on an outcome; return whether another attempt follows."""
        step = next_step(outcome, self._route, self._progress, self._remaining())
        if isinstance(step, TryAgain):
            is_paid = step.is_free or self._is_prepaid
            if is_paid or self._context.withdraw_retry(self._ticket.service):
                self._is_prepaid = False
                self._fallback = step.otherwise
                self._ticket.excluded.add(slot.load.upstream.id)
                self._ticket.is_retry = True
                self._context.metrics.count_retry(self._ticket.service)
                self._log("retry", describe(outcome), upstream=slot.load.upstream.id)
                return True
            step = step.otherwise
        self._finish(step)
        return False

    def _finish(self, step: Deliver | Rejection) -> None:
        match step:
            case Deliver(answer):
                self._deliver(answer)
            case Rejection():
                self._reject(step)

    def _place(self) -> defer.Deferred[Slot | Rejection]:
        stop: list[Any] = []
        done: defer.Deferred[Slot | Rejection] = defer.Deferred(lambda _: stop[0]())
        stop.append(self._context.dispatcher.request(self._ticket, done.callback))
        return done

    async def _attempt(self, slot: Slot) -> Outcome:
        context = self._context
        load = slot.load
        upstream = load.upstream
        sink = self if self._route.kind is RouteKind.STREAM else None
        sent_at = context.clock.monotonic()

        def first_byte(head: ReplyHead) -> None:
            load.answered(slot.number, slot.chosen.work)
            self._count_run(head)
            latency = context.clock.monotonic() - sent_at
            context.metrics.observe_first_byte(self._ticket.service, latency)
            if self._call.prompt is not None:
                backlog = load.reading + load.peer_reading
                load.pace.observe(slot.chosen.work + backlog, latency)

        attempt = Attempt(
            context.pool_of(upstream.address),
            self._call.attempt_id,
            sink,
            first_byte,
        )
        headers = encode_attempt(
            self._call,
            upstream_id=upstream.id,
            workspace=self._workspace.name if self._workspace else "",
            remaining=self._remaining(),
            last_event=self._last_event,
        )
        self._upstream_id = upstream.id
        self._progress.sends += 1
        self._progress.runs += 1
        self._log_route(slot)
        context.crashes.start(upstream, self._call.fingerprint)
        watch = self._watch_attempt(attempt, slot, sent_at)
        try:
            outcome = await attempt.run(
                self._call.method, self._call.target, headers, self._call.body
            )
        finally:
            if watch is not None and watch.active():
                watch.cancel()
            context.dispatcher.release(slot)
            context.crashes.end(upstream, self._call.fingerprint, survived=False)
        if not has_run(outcome):
            self._progress.runs -= 1
        took = context.clock.monotonic() - sent_at
        self._judge.learn(outcome, load, took, was_given_up=self._is_prepaid)
        return outcome

    def _watch_attempt(self, attempt: Attempt, slot: Slot, sent_at: timedelta) -> Any:
        """Give an attempt up that takes too long, if the request may run again."""
        usual = max(slot.load.latency(sent_at), slot.chosen.expected)
        limit = patience(self._route, self._progress, usual, self._remaining())
        if limit is None:
            return None

        def overdue() -> None:
            if self._is_over or not slot.load.is_unanswered(slot.number):
                return
            if self._context.withdraw_retry(self._ticket.service):
                self._is_prepaid = True
                attempt.give_up(f"no answer within {limit.total_seconds():.2f} s")

        return self._context.reactor.callLater(limit.total_seconds(), overdue)

    def _count_run(self, head: ReplyHead) -> None:
        if head.ran is Ran.NOT_RUN or self._is_counted:
            return
        self._is_counted = True
        if self._workspace is not None:
            self._context.usage.count(self._workspace.name)

    def _deliver(self, answer: Answered) -> None:
        self._is_over = True
        self._context.metrics.count_answer(
            self._route.name, f"upstream_{answer.head.status}"
        )
        if answer.head.is_failure:
            self._log(
                "pass_failure_on",
                "the upstream failed and no attempt is left",
                upstream=self._upstream_id,
                status=answer.head.status,
            )
        if self._progress.is_begun:
            self._writer.end_stream()
        else:
            self._writer.write_response(answer.head, answer.body)

    def _reject(self, rejection: Rejection) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._context.metrics.count_answer(self._route.name, rejection.cause.value)
        self._log(
            "reject",
            rejection.detail,
            upstream=self._upstream_id,
            status=rejection.status,
            cause=rejection.cause.value,
            is_begun=self._progress.is_begun,
        )
        if not self._progress.may_have_run:
            self._context.refund_quota(self._workspace, self._call)
        if self._progress.is_begun:
            self._writer.abort_stream()
        else:
            self._writer.reject(rejection)

    def _time_out(self) -> None:
        if self._is_over:
            return
        self._reject(reject(self._progress, "the time is over", is_timeout=True))
        self._run.cancel()

    def _remaining(self) -> timedelta:
        return self._ticket.deadline - self._context.clock.monotonic()

    def _fail(self, failure: Any) -> None:
        if failure.check(defer.CancelledError) and self._is_over:
            return
        self._log("failed", failure.getTraceback())
        if not self._is_over:
            status = 502 if self._progress.may_have_run else 503
            self._reject(Rejection(status, Cause.INTERNAL, str(failure.value)))

    def _end(self) -> None:
        self._is_over = True
        if self._deadline_timer is not None and self._deadline_timer.active():
            self._deadline_timer.cancel()

    def _log_route(self, slot: Slot) -> None:
        if self._context.route_log_limit.allow():
            self._log(
                "route",
                slot.chosen.reason,
                upstream=slot.load.upstream.id,
                expected_ms=int(slot.chosen.expected.total_seconds() * 1000),
                in_flight=slot.load.in_flight,
                peers_in_flight=slot.load.peer_in_flight,
                left_out=self._context.route_log_limit.pop_suppressed_count(),
            )

    def _log(self, decision: str, reason: str, **fields: Any) -> None:
        log_decision(
            decision,
            reason,
            request=self._call.attempt_id,
            route=self._route.name,
            attempts=self._progress.sends,
            **fields,
        )
