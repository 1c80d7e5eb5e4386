"""Request of a caller and writer of the response."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from banyansail.routing.request_types import Refusal

if TYPE_CHECKING:
    from twisted.web.server import Request

REQUEST_ID_HEADER = "x-request-id"
RAN_HEADER = "x-ran"


@dataclass(slots=True, frozen=True)
class CallerRequest:
    """Decoded request of a caller.

    Parameters
    ----------
    service : str
        Service that the request is routed to.
    path : str
        Path relative to the service, including the query.
    idempotency_key : str
        Idempotency key; empty if none.
    last_event_index : int
        Index of the last event that the caller received; -1 for none.
    """

    request_id: str
    service: str
    method: str
    path: str
    workspace: str
    body: bytes
    content_type: str = ""
    idempotency_key: str = ""
    last_event_index: int = -1


@dataclass(slots=True, frozen=True)
class Answer:
    """Complete answer of an upstream.

    Parameters
    ----------
    status : int
        HTTP status.
    """

    status: int
    content_type: str
    body: bytes


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
        "is_closed",
        "is_streaming",
        "request_id",
    )

    def __init__(self, request: Request, request_id: str) -> None:
        self._http_request = request
        self.request_id = request_id
        self._has_producer = False
        self.is_streaming = False
        self.is_closed = False

    def write_response(self, answer: Answer) -> None:
        """Write a complete answer."""
        if self.is_closed:
            return
        self._write_head(answer.status, answer.content_type)
        self._http_request.setHeader("content-length", str(len(answer.body)))
        self._http_request.write(answer.body)
        self._finish()

    def refuse(self, refusal: Refusal) -> None:
        """Write an error response of this router."""
        if self.is_closed:
            return
        body = json.dumps(self._error_body(refusal)).encode()
        if self.is_streaming:
            self._http_request.write(b"event: error\ndata: " + body + b"\n\n")
            self._finish()
            return
        self._write_head(refusal.status, "application/json")
        self._http_request.setHeader(RAN_HEADER, refusal.run_status.value)
        if refusal.retry_after is not None:
            seconds = math.ceil(refusal.retry_after.total_seconds())
            self._http_request.setHeader("retry-after", str(max(1, seconds)))
        self._http_request.setHeader("content-length", str(len(body)))
        self._http_request.write(body)
        self._finish()

    def start_stream(self) -> None:
        """Write the head of a streamed response."""
        if self.is_closed or self.is_streaming:
            return
        self.is_streaming = True
        self._write_head(200, "text/event-stream")
        self._http_request.setHeader("cache-control", "no-store")
        self._http_request.write(b"")

    def write(self, data: bytes) -> None:
        """Write a chunk of a streamed response."""
        if not self.is_closed:
            self._http_request.write(data)

    def end_stream(self) -> None:
        """Complete a streamed response."""
        if not self.is_closed:
            self._finish()

    def register_producer(self, producer: Any) -> None:
        """Apply backpressure of a slow caller to the upstream's connection."""
        if not self.is_closed:
            self._has_producer = True
            self._http_request.registerProducer(producer, True)

    def unregister_producer(self) -> None:
        """Remove the producer, if one is registered."""
        if self._has_producer and not self.is_closed:
            self._has_producer = False
            self._http_request.unregisterProducer()

    def abort_stream(self) -> None:
        """Close the connection before the end, so that the caller resumes."""
        if not self.is_closed:
            self.is_closed = True
            self._http_request.transport.loseConnection()

    def _write_head(self, status: int, content_type: str) -> None:
        self._http_request.setResponseCode(status)
        self._http_request.setHeader("content-type", content_type)
        self._http_request.setHeader(REQUEST_ID_HEADER, self.request_id)

    def _finish(self) -> None:
        self.unregister_producer()
        self.is_closed = True
        self._http_request.finish()

    def _error_body(self, refusal: Refusal) -> dict[str, Any]:
        return {
            "error": {
                "code": refusal.code.value,
                "message": refusal.message,
                "ran": refusal.run_status.value,
                "request_id": self.request_id,
            }
        }
