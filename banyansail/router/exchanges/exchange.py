"""Life cycle of one request: queue, attempts, retries, deadline, final answer."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, task

from banyansail.log import log_event
from banyansail.router.exchanges.attempt_record import AttemptRecord
from banyansail.router.exchanges.scheduler import RefusedError
from banyansail.router.requests.decision_log import log_refusal, log_retry
from banyansail.router.requests.refusals import (
    attempts_failed,
    deadline_exceeded,
    quarantined,
    router_failed,
)
from banyansail.router.requests.upstream_headers import upstream_headers
from banyansail.routing.request_types import Refusal, RunStatus, Ticket
from banyansail.routing.retry import (
    AttemptFailure,
    NoRetry,
    RetryAfterBackoff,
    decide_retry,
)
from banyansail.routing.retry_target import constrain_retry
from banyansail.upstreams.attempt_error import AttemptError
from banyansail.upstreams.upstream_client import UpstreamCall, UpstreamClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.router.exchanges.context import ExchangeContext
    from banyansail.router.requests.caller import CallerRequest
    from banyansail.router.requests.response_writer import ResponseWriter
    from banyansail.routing.dispatch import Assignment
    from banyansail.routing.request_types import RequestClass

NOT_RUN_FAILURES = (AttemptFailure.NOT_SENT, AttemptFailure.REFUSED)


class Exchange:
    """One request of a caller, from its arrival to its final answer.

    Subclasses implement `attempt`.

    Parameters
    ----------
    context : ExchangeContext
        State that all exchanges of a router share.
    writer : ResponseWriter
        Writer of the answer.
    request : CallerRequest
        Decoded request.
    request_class : RequestClass
        Properties of the request according to the rules.
    fingerprint : int
        Hash of the request; equal requests have the same one at all routers.
    """

    def __init__(
        self,
        context: ExchangeContext,
        writer: ResponseWriter,
        request: CallerRequest,
        request_class: RequestClass,
        fingerprint: int,
    ) -> None:
        self.context = context
        self.writer = writer
        self.request = request
        self.request_class = request_class
        self.fingerprint = fingerprint
        arrived_at = context.clock.monotonic()
        self.ticket = Ticket(
            request.request_id,
            request_class,
            arrived_at,
            arrived_at + request_class.timeout,
            affinity=self.affinity(),
            fingerprint=fingerprint,
        )
        self.attempts = 0
        self.sent_attempts = 0
        self.may_have_run = False
        self.has_server_error = False
        self.is_finished = False
        self.assignment: Assignment | None = None
        self._attempt_record: AttemptRecord | None = None
        self._current_attempt: defer.Deferred[None] | None = None
        self._abort_error: AttemptError | None = None
        self._done: defer.Deferred[None] | None = None

    def affinity(self) -> str:
        """Return a key shared by requests with the same cached prefix."""
        return ""

    async def attempt(self, client: UpstreamClient) -> None:
        """Send the call and write the answer, or raise `AttemptError`."""
        raise NotImplementedError

    def start(self) -> defer.Deferred[None]:
        """Start the exchange; the returned deferred fires after the final answer."""
        self._done = defer.Deferred.fromCoroutine(self._run_to_answer())
        timer = self.context.reactor.callLater(
            self.remaining().total_seconds(), self.give_up, deadline_exceeded
        )
        self._done.addBoth(_cancel_timer, timer)
        self._done.addErrback(self._on_error)
        return self._done

    def remaining(self) -> timedelta:
        """Return the time until the deadline, or zero if it has passed."""
        remaining = self.ticket.deadline - self.context.clock.monotonic()
        return max(remaining, timedelta(0))

    def abandon(self) -> None:
        """Cancel the request after the caller disconnected."""
        self.writer.disconnect()
        self._stop()

    def give_up(self, build_refusal: Callable[[RunStatus, bool], Refusal]) -> None:
        """Refuse the request unless it has its final answer, and cancel it.

        Parameters
        ----------
        build_refusal : callable
            Called with the run status and with whether the request is repeatable.
        """
        if self.is_finished:
            return
        is_repeatable = self.request_class.is_repeatable
        self.refuse(build_refusal(self.run_status(), is_repeatable))
        self._stop()

    def abort_attempt(self, error: AttemptError) -> None:
        """Abort the current attempt with an error; a retry may follow."""
        if self._current_attempt is not None and not self._current_attempt.called:
            self._abort_error = error
            self._current_attempt.cancel()

    def prepare_for_reclaim(self, notice: timedelta) -> None:
        """React to a preemption notice of the upstream; by default, finish there."""

    def on_first_byte(self) -> None:
        """Record the time to the first byte of the attempt."""
        if self._attempt_record is not None:
            self._attempt_record.record_first_byte()

    def run_status(self) -> RunStatus:
        """Return what to report about the call's execution if the request fails now."""
        return RunStatus.UNKNOWN if self.may_have_run else RunStatus.NOT_RUN

    def refuse(self, refusal: Refusal) -> None:
        """Write a refusal as the final answer."""
        self.context.metrics.count(f"refuse.{refusal.code.value}")
        log_refusal(self.request, refusal, self.attempts)
        self.writer.end(refusal)

    async def _run_to_answer(self) -> None:
        try:
            await self.run_attempts()
        except RefusedError as error:
            if not self.is_finished:
                self.refuse(error.refusal)
        except (defer.CancelledError, AttemptError):
            if not self.is_finished:
                raise
        finally:
            self.is_finished = True

    async def run_attempts(self) -> None:
        """Make attempts until one succeeds."""
        self.context.retry_budget(self.request_class.service).deposit()
        while True:
            self.ticket.is_exclusive = self._check_quarantine()
            assignment = await self.context.scheduler.acquire(
                self.ticket, is_admitted=self.attempts > 0
            )
            self._check_quarantine_of(assignment)
            self.attempts += 1
            error = await self._run_attempt(assignment)
            if error is None:
                return
            self.sent_attempts += error.failure is not AttemptFailure.NOT_SENT
            if self.is_finished:
                raise error
            await self._prepare_retry(assignment, error)

    def _check_quarantine(self) -> bool:
        quarantine = self.context.quarantine
        remaining = quarantine.quarantine_remaining(self.fingerprint)
        if remaining is not None:
            raise RefusedError(quarantined(self.run_status(), remaining))
        return quarantine.is_suspect(self.fingerprint)

    def _check_quarantine_of(self, assignment: Assignment) -> None:
        """Release the slot of a request that was quarantined while it waited."""
        try:
            self._check_quarantine()
        except RefusedError:
            self.context.scheduler.release(assignment, None, timedelta(0))
            raise

    async def _run_attempt(self, assignment: Assignment) -> AttemptError | None:
        name = assignment.state.rule.name
        client = self.context.upstream_clients.get(name)
        if client is None:
            self.context.scheduler.release(assignment, None, timedelta(0))
            return AttemptError(AttemptFailure.NOT_SENT, f"upstream {name} was removed")
        may_have_run_before = self.may_have_run
        self.assignment = assignment
        self._abort_error = None
        record = AttemptRecord(self.context, self.request_class, assignment)
        self._attempt_record = record
        self.context.registry.add(name, self)
        self._current_attempt = defer.Deferred.fromCoroutine(self.attempt(client))
        error: AttemptError | None = None
        try:
            await self._current_attempt
            self.context.quarantine.record_success(self.fingerprint)
        except (defer.CancelledError, AttemptError) as raised:
            error = self._resolve_error(raised)
            if error.failure in NOT_RUN_FAILURES:
                self.may_have_run = may_have_run_before
            error = await self._classify_error(name, error)
        finally:
            self.context.registry.discard(name, self)
            record.record_end(
                error,
                is_abandoned=self.is_finished,
                has_server_error=self.has_server_error,
            )
            self.assignment = None
        return error

    def _resolve_error(self, raised: BaseException) -> AttemptError:
        if self._abort_error is not None:
            return self._abort_error
        if isinstance(raised, AttemptError):
            return raised
        return AttemptError(AttemptFailure.CONNECTION_LOST, "the attempt was cancelled")

    async def _classify_error(self, name: str, error: AttemptError) -> AttemptError:
        """Distinguish a lost connection from a crash of the upstream by a probe."""
        if self.is_finished or error.failure not in (
            AttemptFailure.CONNECTION_LOST,
            AttemptFailure.NOT_SENT,
        ):
            return error
        if error.failure is AttemptFailure.CONNECTION_LOST:
            self.context.registry.add_connection_lost(name, self)
        if await self.context.health.is_alive(name):
            return error
        was_sent = error.failure is AttemptFailure.CONNECTION_LOST
        failure = AttemptFailure.UPSTREAM_CRASHED if was_sent else error.failure
        return AttemptError(failure, error.detail, has_upstream_crashed=True)

    async def _prepare_retry(self, assignment: Assignment, error: AttemptError) -> None:
        name = assignment.state.rule.name
        decision = decide_retry(
            error.failure,
            is_repeatable=self.request_class.is_repeatable,
            attempts=self.sent_attempts,
            remaining=self.remaining(),
            budget=self.context.retry_budget(self.request_class.service),
            random=self.context.random,
        )
        match decision:
            case NoRetry(cause):
                detail = error.detail or error.failure.value
                is_repeatable = self.request_class.is_repeatable
                raise RefusedError(
                    attempts_failed(detail, cause, self.run_status(), is_repeatable)
                )
            case RetryAfterBackoff(delay):
                self.context.metrics.count(f"retry.{error.failure.value}")
                log_retry(self.request, name, error, delay, self.attempts)
                constrain_retry(
                    self.context.scheduler.dispatcher,
                    assignment,
                    error.failure,
                    self.context.clock.monotonic(),
                )
                if delay:
                    await task.deferLater(self.context.reactor, delay.total_seconds())

    def _stop(self) -> None:
        self.is_finished = True
        if self._done is not None and not self._done.called:
            self._done.cancel()

    def _on_error(self, failure: Any) -> None:
        failure.trap(Exception)
        if failure.check(defer.CancelledError, AttemptError) and self.is_finished:
            return
        log_event("internal_error", request=self.request.request_id, error=str(failure))
        self.writer.end(router_failed(self.run_status()))

    def base_headers(self) -> dict[str, str]:
        """Return the headers that every call to an upstream has."""
        return upstream_headers(
            self.request, self.request_class, self.attempt_id(), self.remaining()
        )

    def attempt_id(self) -> str:
        """Return the ID of the current attempt."""
        return f"{self.request.request_id}.{self.attempts}"

    def build_call(self, body: bytes, path: str, **headers: str) -> UpstreamCall:
        """Build the call of the current attempt."""
        return UpstreamCall(
            self.request.method,
            path,
            body,
            {**self.base_headers(), **headers},
            self.request_class.is_repeatable,
            self._record_sent,
        )

    def _record_sent(self) -> None:
        self.may_have_run = True


def _cancel_timer(result: Any, timer: Any) -> Any:
    if timer.active():
        timer.cancel()
    return result
