"""Recording of an attempt's outcome for its upstream and for its version."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from twisted.internet import defer

from banyansail.gateway.decisions.responses.retry_policy import (
    Answered,
    Incomplete,
    NotSent,
    Outcome,
)
from banyansail.gateway.moves.memory import AnswerQuality
from banyansail.gateway.request_types import RunStatus
from banyansail.log import log_event

if TYPE_CHECKING:
    from banyansail.gateway.context import GatewayContext
    from banyansail.gateway.decisions.upstreams.upstream_load import UpstreamLoad
    from banyansail.gateway.request_types import CallerCall
    from banyansail.gateway.site import Route
    from banyansail.gateway.upstream import Upstream

# After a brittle upstream rejected a request; its rejections are counted by the second.
BRITTLE_PAUSE = timedelta(seconds=1)
SLOW_ANSWER_FACTOR = 2  # times the latency objective; a slower answer counts as bad


class OutcomeRecorder:
    """Records the outcomes of one request's attempts.

    Parameters
    ----------
    context : GatewayContext
        State that all exchanges of a router share.
    call : CallerCall
        Decoded request.
    route : Route
        Route that the request matches.
    """

    __slots__ = ("_call", "_context", "_route")

    def __init__(self, context: GatewayContext, call: CallerCall, route: Route) -> None:
        self._context = context
        self._call = call
        self._route = route

    def record(
        self,
        outcome: Outcome,
        load: UpstreamLoad,
        duration: timedelta,
        *,
        is_attempt_timeout: bool,
    ) -> None:
        """Update the health of the upstream and the evidence for its version.

        Parameters
        ----------
        duration : timedelta
            From the start to the end of the attempt.
        is_attempt_timeout : bool
            Whether this router aborted the attempt because no answer came in time.
        """
        if not isinstance(outcome, NotSent):
            upstream = load.upstream
            self._context.moves.record(
                upstream.service,
                upstream.version,
                self._route.name,
                self._quality(outcome, upstream, duration),
                duration,
            )
        now = self._context.clock.monotonic()
        match outcome:
            case NotSent():
                load.mark_suspect(now)
                load.record_outcome(now, ok=False)
            case Answered(head) if head.run_status is RunStatus.NOT_RUN:
                if head.is_misdirected:
                    load.mark_suspect(now)
                elif head.is_brittle:
                    load.pause(BRITTLE_PAUSE, now)
            case Answered(head):
                if not head.is_failure:
                    self._context.crash_guard.record_success(self._call)
                latency = duration if self._call.prompt is None else None
                load.record_outcome(now, ok=not head.is_failure, latency=latency)
            case Incomplete():
                load.record_outcome(now, ok=False)
                self._context.reach.record_failure()
                if is_attempt_timeout:
                    load.mark_suspect(now)
                else:
                    self._check_for_crash(load.upstream)
                self._context.pool_of(load.upstream.address).close_idle()

    def _quality(
        self, outcome: Outcome, upstream: Upstream, duration: timedelta
    ) -> AnswerQuality:
        """Record the time of a complete answer; return how good the answer is."""
        if not isinstance(outcome, Answered):
            return AnswerQuality.MISSING
        if outcome.head.is_failure:
            has_run = outcome.head.run_status is RunStatus.RAN
            return AnswerQuality.FAILED if has_run else AnswerQuality.MISSING
        if self._context.moves.record_time(upstream, self._route.name, duration):
            return AnswerQuality.SLOW
        is_plain = self._call.prompt is None
        if is_plain and duration > self._route.latency_objective * SLOW_ANSWER_FACTOR:
            return AnswerQuality.SLOW
        return AnswerQuality.GOOD

    def _check_for_crash(self, upstream: Upstream) -> None:
        done = defer.Deferred.fromCoroutine(
            self._context.check_crash(upstream, self._call)
        )
        done.addErrback(
            lambda failure: log_event(
                "examine_failed",
                request=self._call.attempt_id,
                upstream=upstream.id,
                error=str(failure.value),
            )
        )
