"""Times and outcome of one attempt: load of the upstream, evidence on the version."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.routing.retry import AttemptFailure

if TYPE_CHECKING:
    from banyansail.router.exchanges.context import ExchangeContext
    from banyansail.routing.dispatch import Assignment
    from banyansail.routing.request_types import RequestClass
    from banyansail.upstreams.attempt_error import AttemptError

# Not caused by the upstream's software, so not counted as evidence about its version.
NEUTRAL_FAILURES = (AttemptFailure.RECLAIMED, AttemptFailure.CONNECTION_STALLED)


class AttemptRecord:
    """One attempt, from its start to its end.

    Parameters
    ----------
    context : ExchangeContext
        State that all exchanges of a router share.
    request_class : RequestClass
        Properties of the request according to the rules.
    assignment : Assignment
        Slot that the attempt has.
    """

    __slots__ = (
        "_assignment",
        "_context",
        "_first_byte_latency",
        "_request_class",
        "_started_at",
    )

    def __init__(
        self,
        context: ExchangeContext,
        request_class: RequestClass,
        assignment: Assignment,
    ) -> None:
        self._context = context
        self._request_class = request_class
        self._assignment = assignment
        self._started_at = context.clock.monotonic()
        self._first_byte_latency: timedelta | None = None

    def record_first_byte(self) -> None:
        """Record the time to the first byte."""
        if self._first_byte_latency is None:
            self._first_byte_latency = self._duration()

    def record_end(
        self, error: AttemptError | None, *, is_abandoned: bool, has_server_error: bool
    ) -> None:
        """Release the slot and record the outcome.

        Parameters
        ----------
        error : AttemptError or None
            Why the attempt failed; ``None`` if it was answered.
        is_abandoned : bool
            Whether the request had its final answer before.
        has_server_error : bool
            Whether the answer has a status of 500 or more.
        """
        duration = self._duration()
        latency = self._first_byte_latency if error is None else None
        if error is not None and error.failure in NEUTRAL_FAILURES:
            latency = self._first_byte_latency or duration
        self._context.scheduler.release(self._assignment, latency, duration)
        rule = self._assignment.state.rule
        self._context.metrics.time(f"attempt.{rule.service}", duration)
        if self._is_evidence(error, is_abandoned):
            self._context.evidence.record(
                rule.service,
                rule.version,
                self._request_class.route,
                self._request_class.workspace,
                succeeded=error is None and not has_server_error,
                latency=self._first_byte_latency or duration,
                in_flight=self._assignment.in_flight,
            )

    def _duration(self) -> timedelta:
        return self._context.clock.monotonic() - self._started_at

    def _is_evidence(self, error: AttemptError | None, is_abandoned: bool) -> bool:
        """Return whether the outcome is evidence about the version.

        A crash counts once, no matter how many calls failed or could not be sent
        because of it.
        """
        if error is None:
            return True
        if is_abandoned or error.failure in NEUTRAL_FAILURES:
            return False
        upstream = self._assignment.state.rule.name
        return not error.has_upstream_crashed or self._context.record_crash(upstream)
