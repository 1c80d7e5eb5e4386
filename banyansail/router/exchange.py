"""Life of one request: queue, attempts, retries, deadline, final answer."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, task

from banyansail.log import log_event
from banyansail.router.decision_log import log_refusal, log_retry
from banyansail.router.refusals import (
    attempts_failed,
    deadline_exceeded,
    quarantined,
    router_failed,
)
from banyansail.router.scheduler import RefusedError
from banyansail.router.upstream_headers import upstream_headers
from banyansail.routing.request_types import Refusal, RunStatus, Ticket
from banyansail.routing.retry import (
    AttemptFailure,
    NoRetry,
    RetryAfterBackoff,
    decide_retry,
)
from banyansail.routing.retry_target import constrain_retry
from banyansail.upstreams.link import AttemptError, UpstreamCall, UpstreamLink

if TYPE_CHECKING:
    from banyansail.router.caller import Caller, CallerRequest
    from banyansail.router.context import ExchangeContext
    from banyansail.routing.dispatch import Assignment
    from banyansail.routing.request_types import RequestClass

NOT_SENT_FAILURES = (AttemptFailure.NOT_SENT, AttemptFailure.REFUSED)
FAULTLESS_FAILURES = (AttemptFailure.RECLAIMED, AttemptFailure.CONNECTION_STALLED)


class Exchange:
    """One request of a caller, from its arrival to its final answer.

    Subclasses say what an attempt is.

    Parameters
    ----------
    context : ExchangeContext
        What the exchanges of a router share.
    caller : Caller
        Where the answer goes.
    request : CallerRequest
        What was asked for.
    request_class : RequestClass
        What the rules say about it.
    fingerprint : int
        Hash that equal requests share.
    """

    def __init__(
        self,
        context: ExchangeContext,
        caller: Caller,
        request: CallerRequest,
        request_class: RequestClass,
        fingerprint: int,
    ) -> None:
        self.context = context
        self.caller = caller
        self.request = request
        self.request_class = request_class
        self.fingerprint = fingerprint
        arrived = context.clock.monotonic()
        self.ticket = Ticket(
            request.request_id,
            request_class,
            arrived,
            arrived + request_class.timeout,
            affinity=self.affinity(),
            fingerprint=fingerprint,
        )
        self.attempts = 0
        self.sent_attempts = 0
        self.may_have_run = False
        self.has_failed_answer = False
        self.is_over = False
        self.assignment: Assignment | None = None
        self._first_byte: timedelta | None = None
        self._sent_at = arrived
        self._attempt: defer.Deferred[None] | None = None
        self._broken: AttemptError | None = None
        self._run: defer.Deferred[None] | None = None

    def affinity(self) -> str:
        """Return the key that requests with the same cached prefix share."""
        return ""

    async def attempt(self, link: UpstreamLink) -> None:
        """Send the call and answer the caller, or raise `AttemptError`."""
        raise NotImplementedError

    def start(self) -> defer.Deferred[None]:
        """Run the exchange; the deferred fires after its final answer."""
        self._run = defer.Deferred.fromCoroutine(self._run_to_answer())
        timer = self.context.reactor.callLater(
            self.remaining().total_seconds(), self._exceed_deadline
        )
        self._run.addBoth(_cancel_timer, timer)
        self._run.addErrback(self._fail)
        return self._run

    def remaining(self) -> timedelta:
        """Return the time until the deadline, zero after it."""
        left = self.ticket.deadline - self.context.clock.monotonic()
        return max(left, timedelta(0))

    def abandon(self) -> None:
        """Stop because the caller has gone away."""
        self.caller.is_gone = True
        self._stop()

    def break_attempt(self, error: AttemptError) -> None:
        """End the current attempt with an error; another may follow."""
        if self._attempt is not None and not self._attempt.called:
            self._broken = error
            self._attempt.cancel()

    def prepare_for_reclaim(self, notice: timedelta) -> None:
        """Take note that the upstream will be gone; by default, finish there."""

    def on_first_byte(self) -> None:
        """Record the latency of the attempt."""
        if self._first_byte is None:
            self._first_byte = self.context.clock.monotonic() - self._sent_at

    def final_ran(self) -> RunStatus:
        """Return what may be said of a request that is given up now."""
        return RunStatus.UNKNOWN if self.may_have_run else RunStatus.NOT_RUN

    def refuse(self, refusal: Refusal) -> None:
        """Give the caller the final answer."""
        self.context.metrics.count(f"refuse.{refusal.code.value}")
        log_refusal(self.request, refusal, self.attempts)
        self.caller.refuse(refusal)

    async def _run_to_answer(self) -> None:
        try:
            await self.run_attempts()
        except RefusedError as error:
            if not self.is_over:
                self.refuse(error.refusal)
        except (defer.CancelledError, AttemptError):
            if not self.is_over:
                raise
        finally:
            self.is_over = True

    async def run_attempts(self) -> None:
        """Make attempts until one gives the answer."""
        self.context.retry_budget(self.request_class.service).deposit()
        while True:
            self.ticket.is_exclusive = self._check_quarantine()
            assignment = await self.context.scheduler.acquire(
                self.ticket, is_admitted=self.attempts > 0
            )
            self.attempts += 1
            error = await self._try(assignment)
            if error is None:
                return
            self.sent_attempts += error.failure is not AttemptFailure.NOT_SENT
            if self.is_over:
                raise error
            await self._prepare_retry(assignment, error)

    def _check_quarantine(self) -> bool:
        quarantine = self.context.quarantine
        remaining = quarantine.quarantine_remaining(self.fingerprint)
        if remaining is not None:
            raise RefusedError(quarantined(self.final_ran(), remaining))
        return quarantine.is_suspect(self.fingerprint)

    async def _try(self, assignment: Assignment) -> AttemptError | None:
        name = assignment.state.rule.name
        link = self.context.links.get(name)
        if link is None:
            self.context.scheduler.release(assignment, None, timedelta(0))
            return AttemptError(AttemptFailure.NOT_SENT, f"{name} is gone")
        ran_before = self.may_have_run
        self.assignment = assignment
        self._first_byte = None
        self._broken = None
        self._sent_at = self.context.clock.monotonic()
        self.may_have_run = True
        self.context.registry.add(name, self)
        self._attempt = defer.Deferred.fromCoroutine(self.attempt(link))
        error: AttemptError | None = None
        try:
            await self._attempt
            self.context.quarantine.record_success(self.fingerprint)
        except (defer.CancelledError, AttemptError) as caught:
            error = self._explain(caught)
            if error.failure in NOT_SENT_FAILURES:
                self.may_have_run = ran_before
            error = await self._examine(name, error)
        finally:
            self.context.registry.discard(name, self)
            self._record_end(assignment, error)
            self.assignment = None
        return error

    def _explain(self, caught: BaseException) -> AttemptError:
        if self._broken is not None:
            return self._broken
        if isinstance(caught, AttemptError):
            return caught
        return AttemptError(AttemptFailure.CONNECTION_LOST, "given up")

    async def _examine(self, name: str, error: AttemptError) -> AttemptError:
        """Tell a lost connection from an upstream that died."""
        if self.is_over or error.failure not in (
            AttemptFailure.CONNECTION_LOST,
            AttemptFailure.NOT_SENT,
        ):
            return error
        if error.failure is AttemptFailure.CONNECTION_LOST:
            self.context.registry.add_lost(name, self)
        if await self.context.health.is_alive(name):
            return error
        was_sent = error.failure is AttemptFailure.CONNECTION_LOST
        failure = AttemptFailure.UPSTREAM_CRASHED if was_sent else error.failure
        return AttemptError(failure, error.detail, upstream_died=True)

    def _record_end(self, assignment: Assignment, error: AttemptError | None) -> None:
        duration = self.context.clock.monotonic() - self._sent_at
        latency = self._first_byte if error is None else None
        if error is not None and error.failure in FAULTLESS_FAILURES:
            latency = self._first_byte or duration
        self.context.scheduler.release(assignment, latency, duration)
        rule = assignment.state.rule
        self.context.metrics.time(f"attempt.{rule.service}", duration)
        if self._is_evidence(rule.name, error):
            self.context.evidence.record(
                rule.service,
                rule.version,
                self.request_class.route,
                self.request_class.workspace,
                succeeded=error is None and not self.has_failed_answer,
                latency=self._first_byte or duration,
                load=assignment.in_flight,
            )

    def _is_evidence(self, upstream: str, error: AttemptError | None) -> bool:
        """Tell whether the attempt says something about the version.

        A death counts once, however many calls it took with it or kept from
        being sent.
        """
        if error is None:
            return True
        if self.is_over or error.failure in FAULTLESS_FAILURES:
            return False
        return not error.upstream_died or self.context.record_crash(upstream)

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
                    attempts_failed(detail, cause, self.final_ran(), is_repeatable)
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

    def _exceed_deadline(self) -> None:
        if self.is_over:
            return
        is_repeatable = self.request_class.is_repeatable
        self.refuse(deadline_exceeded(self.final_ran(), is_repeatable))
        self._stop()

    def _stop(self) -> None:
        self.is_over = True
        if self._run is not None and not self._run.called:
            self._run.cancel()

    def _fail(self, failure: Any) -> None:
        failure.trap(Exception)
        if failure.check(defer.CancelledError, AttemptError) and self.is_over:
            return
        log_event("internal_error", request=self.request.request_id, error=str(failure))
        self.caller.refuse(router_failed(self.final_ran()))

    def base_headers(self) -> dict[str, str]:
        """Return the headers that every upstream gets."""
        return upstream_headers(
            self.request, self.request_class, self.attempt_id(), self.remaining()
        )

    def attempt_id(self) -> str:
        """Return the identity of the current attempt."""
        return f"{self.request.request_id}.{self.attempts}"

    def build_call(self, body: bytes, path: str, **headers: str) -> UpstreamCall:
        """Build the call of the current attempt."""
        return UpstreamCall(
            self.request.method,
            path,
            body,
            {**self.base_headers(), **headers},
            self.request_class.is_repeatable,
        )


def _cancel_timer(result: Any, timer: Any) -> Any:
    if timer.active():
        timer.cancel()
    return result
