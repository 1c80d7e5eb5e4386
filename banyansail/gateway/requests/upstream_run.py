"""Runs a request at an upstream, and at those that its run migrates to."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from banyansail.gateway.decisions.responses.retry_policy import (
    Incomplete,
    Outcome,
    attempt_timeout,
    has_stated_end,
    may_have_run,
)
from banyansail.gateway.decisions.streams.migration_order import RunInProgress
from banyansail.gateway.decisions.streams.stream_pace import StreamPace
from banyansail.gateway.migration.run import RunMigration
from banyansail.gateway.request_types import RunStatus
from banyansail.gateway.requests.attempt import Attempt
from banyansail.gateway.requests.outcome_recorder import OutcomeRecorder
from banyansail.gateway.site import RouteKind
from banyansail.platform.calls import encode_attempt

if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    from twisted.internet import defer

    from banyansail.gateway.decisions.queue.tickets import Slot, Ticket
    from banyansail.gateway.decisions.upstreams.upstream_load import UpstreamLoad
    from banyansail.gateway.request_types import HeaderList, ReplyHead
    from banyansail.gateway.requests.active_request import ActiveRequest
    from banyansail.gateway.requests.events import StreamEvent


class UpstreamRun:
    """Attempts of one request at upstreams, one after the other.

    Parameters
    ----------
    request : ActiveRequest
        Request that is run.
    forward : callable
        Passes an event of a stream on to the caller.
    """

    __slots__ = (
        "_attempt",
        "_context",
        "_forward",
        "_is_usage_counted",
        "_migration",
        "_pace",
        "_recorder",
        "_request",
        "_source",
        "is_retry_charged",
        "tried_targets",
    )

    def __init__(
        self, request: ActiveRequest, forward: Callable[[ReplyHead, StreamEvent], None]
    ) -> None:
        self._request = request
        self._context = request.context
        self._forward = forward
        self._recorder = OutcomeRecorder(request.context, request.call, request.route)
        # Whether the latest attempt timed out; its retry was charged at that time.
        self.is_retry_charged = False
        self._is_usage_counted = False
        self._attempt: Attempt | None = None
        self._source: UpstreamLoad | None = None  # of the attempt in progress
        self._migration: RunMigration | None = None
        self.tried_targets: set[str] = set()  # ids, of migrations
        self._pace = StreamPace()

    async def run(self, slot: Slot) -> tuple[Outcome, Slot]:
        """Run the request; return the outcome and the slot of the last attempt."""
        outcome = await self._run_attempt(slot)
        while self._migration is not None:
            migration, self._migration = self._migration, None
            try:
                outcome, slot = await self._continue(migration, slot)
            finally:
                migration.close()
        return outcome, slot

    def close(self) -> None:
        """Give up what is in progress after the end of the request."""
        self._context.migrations.runs.discard(self)
        if self._migration is not None:
            self._migration.close()

    def event_received(self, head: ReplyHead, event: StreamEvent) -> None:
        """Forward an event of a stream."""
        self._context.reach.record_bytes()
        if self._request.is_finished:
            return
        if not self._pace.events:
            self._context.migrations.runs.add(self)
        self._pace.record(self._context.clock.monotonic())
        self._forward(head, event)

    @property
    def ticket(self) -> Ticket:
        """Ticket of the request."""
        return self._request.ticket

    @property
    def source(self) -> UpstreamLoad | None:
        """Upstream that produces the stream; ``None`` between two upstreams."""
        return self._source

    @property
    def is_migrating(self) -> bool:
        """Whether the run is about to continue at another upstream."""
        return self._migration is not None and not self._migration.is_finished

    def describe(self) -> RunInProgress:
        """Return what decides whether and when the run migrates."""
        request, prompt = self._request, self._request.call.prompt
        stride = self._context.stride(request.ticket.service)
        tokens, time_to_end = self._pace.events * stride, None
        if prompt is not None:
            tokens += prompt.tokens
            total_events = math.ceil(prompt.max_output / stride)
            time_to_end = self._pace.time_to_end(total_events)
        return RunInProgress(
            request.call.attempt_id, request.route.is_resumable, tokens, time_to_end
        )

    def migrate(self, target: Slot) -> defer.Deferred[None]:
        """Start to migrate the run to another upstream."""
        self.tried_targets.add(target.load.upstream.id)
        self._migration = RunMigration(
            self._context, self._request.call, self._source, target, self._attempt.abort
        )
        return self._migration.start()

    async def _continue(
        self, migration: RunMigration, slot: Slot
    ) -> tuple[Outcome, Slot]:
        """Continue a stopped run from its memory, where an engine takes it."""
        service = self._request.ticket.service
        for number, (slot, memory) in enumerate(migration.continuations()):
            # The first one was charged as the migration began.
            if number and not self._context.retries.withdraw(service):
                self._context.dispatcher.release(slot)
                break
            self._request.write_log(
                "continue",
                "the run migrated",
                upstream=slot.load.upstream.id,
                paused_ms=migration.paused_ms,
            )
            outcome = await self._run_attempt(slot, memory)
            if may_have_run(outcome):
                self._context.metrics.count_migration(service, "continued")
                return outcome, slot
        self._context.metrics.count_migration(service, "lost")
        # It ran and stopped, so it may not be taken for a request that did not run.
        return Incomplete("no engine continued the run that stopped"), slot

    async def _run_attempt(
        self, slot: Slot, memory: tuple[bytes, bytes] | None = None
    ) -> Outcome:
        """Send the request to an upstream; return the outcome.

        Parameters
        ----------
        memory : pair of bytes or None
            Header that names the memory of a stopped run, which goes on with it.
        """
        request, context, load = self._request, self._context, slot.load
        sent_at = context.clock.monotonic()
        attempt = Attempt(
            context.pool_of(load.upstream.address),
            request.call.attempt_id,
            self if request.route.kind is RouteKind.STREAM else None,
            lambda head: context.apply_reply_head(load, head),
            lambda head: self._record_first_byte(
                slot, head, sent_at, has_memory=memory is not None
            ),
            context.answer_budget,
            request.continues_after,
        )
        request.upstream_id = load.upstream.id
        request.progress.attempts += 1
        if memory is None:
            request.progress.possible_runs += 1
        request.request_log.write_route(slot, request.progress.attempts)
        outcome = await self._send(attempt, slot, self._headers(load, memory), sent_at)
        if await self._settle_migration(outcome):
            return outcome
        if memory is None and not may_have_run(outcome):
            request.progress.possible_runs -= 1
        duration = context.clock.monotonic() - sent_at
        self._recorder.record(
            outcome, load, duration, is_attempt_timeout=self.is_retry_charged
        )
        return outcome

    async def _send(
        self, attempt: Attempt, slot: Slot, headers: HeaderList, sent_at: timedelta
    ) -> Outcome:
        """Send an attempt and wait for its outcome; then give the slot back."""
        context, call = self._context, self._request.call
        upstream = slot.load.upstream
        self._attempt, self._source = attempt, slot.load
        context.crash_guard.start_attempt(upstream, call)
        timer = self._start_timer(attempt, slot, sent_at)
        try:
            return await attempt.run(call.method, call.target, headers, call.body)
        finally:
            if timer is not None and timer.active():
                timer.cancel()
            self._source = None
            context.dispatcher.release(slot)
            context.crash_guard.end_attempt(upstream, call)

    def _headers(
        self, load: UpstreamLoad, memory: tuple[bytes, bytes] | None
    ) -> HeaderList:
        request = self._request
        headers = encode_attempt(
            request.call,
            upstream_id=load.upstream.id,
            workspace=request.workspace.name if request.workspace else "",
            remaining=request.remaining(),
            last_event_id=request.last_event_id,
        )
        return headers if memory is None else [*headers, memory]

    async def _settle_migration(self, outcome: Outcome) -> bool:
        """Return whether the run stopped in order to continue elsewhere."""
        if self._migration is None:
            return False
        if await self._migration.settle(is_complete=has_stated_end(outcome)):
            return True
        self._migration = None
        return False

    def _record_first_byte(
        self, slot: Slot, head: ReplyHead, sent_at: timedelta, *, has_memory: bool
    ) -> None:
        """Learn from the time to the first byte, which is that to read the prompt.

        Parameters
        ----------
        has_memory : bool
            Whether the prompt was not read, so that the time says nothing.
        """
        load, prefill_tokens = slot.load, slot.chosen.prefill_tokens
        load.record_first_byte(slot.number, prefill_tokens)
        self._count_usage(head)
        if has_memory:
            return
        latency = self._context.clock.monotonic() - sent_at
        service = self._request.ticket.service
        self._context.metrics.observe_first_byte(service, latency)
        if not head.is_failure and head.run_status is not RunStatus.NOT_RUN:
            self._record_speed(slot, latency)
        if self._request.call.prompt is not None:
            backlog = load.pending_prefill_tokens + load.peer_pending_prefill_tokens
            load.prefill_rate.record(prefill_tokens + backlog, latency)

    def _start_timer(self, attempt: Attempt, slot: Slot, sent_at: timedelta) -> Any:
        """Start the timer that aborts an attempt, if the request may run again."""
        request = self._request
        expected_latency = max(
            slot.load.mean_latency(sent_at), slot.chosen.expected_latency
        )
        timeout = attempt_timeout(
            request.route, request.progress, expected_latency, request.remaining()
        )
        if timeout is None:
            return None

        def on_timeout() -> None:
            if request.is_finished or not slot.load.is_awaiting_first_byte(slot.number):
                return
            if self._context.retries.withdraw(request.ticket.service):
                self.is_retry_charged = True
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
        if self._request.workspace is not None:
            self._context.usage.count(self._request.workspace.name)
