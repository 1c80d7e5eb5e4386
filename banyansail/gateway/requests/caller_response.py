"""Response to one request, from its first byte to its end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.gateway.decisions.responses.response_end import (
    BreakOff,
    Complete,
    ResponseEnd,
    WriteRejection,
    WriteResponse,
    WriteUntilClose,
    decide_end,
)
from banyansail.gateway.decisions.responses.response_state import NotStarted, Started
from banyansail.gateway.decisions.responses.retry_policy import Deliver
from banyansail.gateway.request_types import Cause, Rejection
from banyansail.gateway.requests.share_fields import share_fields
from banyansail.upstreams.body_end import BodyEnd

if TYPE_CHECKING:
    from banyansail.gateway.request_types import ReplyHead
    from banyansail.gateway.requests.active_request import ActiveRequest
    from banyansail.gateway.requests.events import StreamEvent
    from banyansail.gateway.requests.response_writer import ResponseWriter


class CallerResponse:
    """The only writer to a caller: it alone starts a response and ends it, once.

    Parameters
    ----------
    request : ActiveRequest
        Request that is answered.
    writer : ResponseWriter
        Writer to the caller's connection.
    """

    __slots__ = ("_request", "_writer")

    def __init__(self, request: ActiveRequest, writer: ResponseWriter) -> None:
        self._request = request
        self._writer = writer

    def forward(self, head: ReplyHead, event: StreamEvent) -> None:
        """Write an event of a stream, after the head if it is the first one."""
        request = self._request
        if request.is_finished:
            return
        if isinstance(request.progress.response, NotStarted):
            request.progress.response = Started(head.end)
            self._writer.start_stream(head)
        self._record_event(event)
        self._writer.write(event.raw)

    def _record_event(self, event: StreamEvent) -> None:
        """Record where another upstream could go on."""
        request = self._request
        if event.id:
            request.last_event_id = event.id
        started = request.progress.response
        is_resumable = bool(event.id) or (started.is_resumable and not event.has_data)
        if is_resumable is not started.is_resumable:
            request.progress.response = Started(started.end, is_resumable)

    def end(self, result: Deliver | Rejection) -> None:
        """End the response with the result of the request, unless it has ended."""
        if self._request.is_finished:
            return
        self._request.is_finished = True
        end = decide_end(self._request.progress.response, result)
        self._record(result, end)
        self._log_end(end)
        self._write(end)

    def _write(self, end: ResponseEnd) -> None:
        match end:
            case WriteResponse(answer):
                self._writer.write_response(answer.head, answer.body)
            case WriteUntilClose(answer):
                self._writer.write_until_close(answer.head, answer.body)
            case WriteRejection(rejection):
                self._writer.reject(rejection)
            case Complete():
                self._writer.end_stream()
            case BreakOff():
                self._writer.abort_stream()

    def _record(self, result: Deliver | Rejection, end: ResponseEnd) -> None:
        match result:
            case Deliver() if isinstance(end, BreakOff):
                self._count(Cause.UPSTREAM_FAILED.value)
            case Deliver(answer):
                self._count(f"upstream_{answer.head.status}")
                if answer.head.is_failure:
                    self._log_failure(answer.head)
            case Rejection():
                self._count(result.cause.value)
                self._log_rejection(result)

    def _count(self, outcome: str) -> None:
        request = self._request
        request.context.metrics.count_answer(request.route.name, outcome)

    def _log_failure(self, head: ReplyHead) -> None:
        self._request.write_log(
            "pass_failure_on",
            "the upstream reported a failure and no retry is allowed",
            upstream=self._request.upstream_id,
            status=head.status,
        )

    def _log_rejection(self, rejection: Rejection) -> None:
        self._request.write_log(
            "reject",
            rejection.detail,
            upstream=self._request.upstream_id,
            status=rejection.status,
            cause=rejection.cause.value,
            is_begun=isinstance(self._request.progress.response, Started),
            **share_fields(rejection.share),
        )

    def _log_end(self, end: ResponseEnd) -> None:
        """Log the end of a stream that needed several attempts or has no length."""
        request = self._request
        if not isinstance(request.progress.response, Started):
            return
        has_length = request.progress.response.end is BodyEnd.STATED
        if request.progress.attempts == 1 and has_length:
            return
        request.write_log(
            "end_stream",
            end.reason if isinstance(end, BreakOff) else "the upstream ended it",
            end=type(end).__name__,
            body_end=request.progress.response.end.value,
            upstream=request.upstream_id,
            last_event=request.last_event_id,
        )
