"""Writer of the response to a caller, which decides how the response ends."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, Any

from banyansail.router.requests.refusals import answered_after_start
from banyansail.router.requests.response_outcome import (
    Answer,
    ResponseOutcome,
    StreamCompleted,
    StreamInterrupted,
)
from banyansail.routing.request_types import Refusal
from banyansail.upstreams.events import DONE_EVENT, EVENT_SEPARATOR

if TYPE_CHECKING:
    from twisted.web.server import Request

REQUEST_ID_HEADER = "x-request-id"
RAN_HEADER = "x-ran"


class ResponseWriter:
    """Writer of the response to one request.

    Calls after the end of the response or a disconnect have no effect.

    Parameters
    ----------
    request : Request
        Twisted's request.
    request_id : str
        ID of the request, returned to the caller.
    """

    __slots__ = (
        "_has_producer",
        "_http_request",
        "_is_closed",
        "_is_streaming",
        "request_id",
    )

    def __init__(self, request: Request, request_id: str) -> None:
        self._http_request = request
        self.request_id = request_id
        self._has_producer = False
        self._is_streaming = False
        self._is_closed = False

    @property
    def is_closed(self) -> bool:
        """Whether the response has ended or the caller has disconnected."""
        return self._is_closed

    @property
    def is_streaming(self) -> bool:
        """Whether the head of a streamed response was written."""
        return self._is_streaming

    def start_stream(self) -> None:
        """Write the head of a streamed response."""
        if self._is_closed or self._is_streaming:
            return
        self._is_streaming = True
        self._write_head(200, "text/event-stream")
        self._http_request.setHeader("cache-control", "no-store")
        self._http_request.write(b"")

    def write(self, data: bytes) -> None:
        """Write a chunk of a streamed response."""
        if not self._is_closed:
            self._http_request.write(data)

    def end(self, outcome: ResponseOutcome) -> None:
        """End the response.

        A started stream gets its end marker only from `StreamCompleted`. An answer or
        refusal ends it with an error event.
        """
        if self._is_closed:
            return
        match outcome:
            case Answer(status) if self._is_streaming:
                self._end_with_error_event(answered_after_start(status))
            case Answer():
                self._end_with_answer(outcome)
            case Refusal() if self._is_streaming:
                self._end_with_error_event(outcome)
            case Refusal():
                self._end_with_refusal(outcome)
            case StreamCompleted():
                self.start_stream()
                self.write(DONE_EVENT + EVENT_SEPARATOR)
                self._finish()
            case StreamInterrupted():
                self.start_stream()
                self._break_off()

    def disconnect(self) -> None:
        """Write nothing more, as the caller has disconnected."""
        self._is_closed = True

    def register_producer(self, producer: Any) -> None:
        """Apply backpressure of a slow caller to the upstream's connection."""
        if not self._is_closed:
            self._has_producer = True
            self._http_request.registerProducer(producer, True)

    def unregister_producer(self) -> None:
        """Remove the producer, if one is registered."""
        if self._has_producer and not self._is_closed:
            self._has_producer = False
            self._http_request.unregisterProducer()

    def _end_with_answer(self, answer: Answer) -> None:
        self._write_head(answer.status, answer.content_type)
        self._write_body(answer.body)

    def _end_with_refusal(self, refusal: Refusal) -> None:
        self._write_head(refusal.status, "application/json")
        self._http_request.setHeader(RAN_HEADER, refusal.run_status.value)
        if refusal.retry_after is not None:
            seconds = math.ceil(refusal.retry_after.total_seconds())
            self._http_request.setHeader("retry-after", str(max(1, seconds)))
        self._write_body(self._encode_error(refusal))

    def _end_with_error_event(self, refusal: Refusal) -> None:
        data = self._encode_error(refusal)
        self._http_request.write(b"event: error\ndata: " + data + EVENT_SEPARATOR)
        self._finish()

    def _break_off(self) -> None:
        """Close the connection so that the response is seen to be incomplete.

        A response without chunks has no other sign of that than a reset.
        """
        self._is_closed = True
        if self._http_request.chunked:
            self._http_request.loseConnection()
        else:
            self._http_request.transport.abortConnection()

    def _write_head(self, status: int, content_type: str) -> None:
        self._http_request.setResponseCode(status)
        self._http_request.setHeader("content-type", content_type)
        self._http_request.setHeader(REQUEST_ID_HEADER, self.request_id)

    def _write_body(self, body: bytes) -> None:
        self._http_request.setHeader("content-length", str(len(body)))
        self._http_request.write(body)
        self._finish()

    def _finish(self) -> None:
        self.unregister_producer()
        self._is_closed = True
        self._http_request.finish()

    def _encode_error(self, refusal: Refusal) -> bytes:
        error = {
            "code": refusal.code.value,
            "message": refusal.message,
            "ran": refusal.run_status.value,
            "request_id": self.request_id,
        }
        return json.dumps({"error": error}).encode()
