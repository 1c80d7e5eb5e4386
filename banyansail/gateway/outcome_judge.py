"""What the outcome of an attempt says of its upstream and of its version."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from twisted.internet import defer

from banyansail.gateway.attempts import Answered, Broken, NotSent, Outcome
from banyansail.gateway.messages import Ran
from banyansail.log import log_event

if TYPE_CHECKING:
    from banyansail.gateway.context import GatewayContext
    from banyansail.gateway.messages import CallerCall
    from banyansail.gateway.site import Route
    from banyansail.gateway.upstream import Upstream
    from banyansail.gateway.upstream_load import UpstreamLoad

SLOW_OBJECTIVES = 2  # times the objective, after which an answer is a bad one


class OutcomeJudge:
    """Learns from the outcomes of one request's attempts.

    Parameters
    ----------
    context : GatewayContext
        What the exchanges of a router share.
    call : CallerCall
        The request.
    route : Route
        The route that it matches.
    """

    __slots__ = ("_call", "_context", "_route")

    def __init__(self, context: GatewayContext, call: CallerCall, route: Route) -> None:
        self._context = context
        self._call = call
        self._route = route

    def learn(
        self,
        outcome: Outcome,
        load: UpstreamLoad,
        took: timedelta,
        *,
        was_given_up: bool,
    ) -> None:
        """Take in an outcome.

        Parameters
        ----------
        took : timedelta
            From the sending to the end.
        was_given_up : bool
            Whether this router ended the attempt for its silence.
        """
        if not isinstance(outcome, NotSent):
            upstream = load.upstream
            self._context.moves.record(
                upstream.service, upstream.version, is_good=self._is_good(outcome, took)
            )
        now = self._context.clock.monotonic()
        match outcome:
            case NotSent():
                load.suspect(now)
                load.observe(now, ok=False)
            case Answered(head) if head.ran is Ran.NOT_RUN:
                if head.is_other_upstream:
                    load.suspect(now)
            case Answered(head):
                latency = took if self._call.prompt is None else None
                load.observe(now, ok=not head.is_failure, latency=latency)
            case Broken():
                load.observe(now, ok=False)
                if was_given_up:
                    load.suspect(now)
                else:
                    self._examine_death(load.upstream)
                self._context.pool_of(load.upstream.address).close_idle()

    def _is_good(self, outcome: Outcome, took: timedelta) -> bool:
        if not isinstance(outcome, Answered) or outcome.head.is_failure:
            return False
        is_plain = self._call.prompt is None
        return not is_plain or took <= self._route.objective * SLOW_OBJECTIVES

    def _examine_death(self, upstream: Upstream) -> None:
        done = defer.Deferred.fromCoroutine(
            self._context.examine(upstream, self._call.fingerprint)
        )
        done.addErrback(
            lambda failure: log_event(
                "examine_failed",
                request=self._call.attempt_id,
                upstream=upstream.id,
                error=str(failure.value),
            )
        )
