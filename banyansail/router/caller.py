"""The caller's side of a request: what it asked for and how it is answered."""

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
    """What a caller asked for.

    Parameters
    ----------
    service : str
        Name of the service.
    path : str
        Path relative to the service, with its query.
    key : str
        Idempotency key; empty if none.
    last_event : int
        Index of the last event that the caller has; -1 for none.
    """

    request_id: str
    service: str
    method: str
    path: str
    workspace: str
    body: bytes
    content_type: str = ""
    key: str = ""
    last_event: int = -1


@dataclass(slots=True, frozen=True)
class Answer:
    """A whole answer of an upstream.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        The body.
    """

    status: int
    content_type: str
    body: bytes


class Caller:
    """Writes the answer to one caller, once.

    Parameters
    ----------
    request : Request
        Twisted's request.
    request_id : str
        Identity of the request, told to the caller.
    """

    __slots__ = ("_has_producer", "_request", "is_gone", "is_streaming", "request_id")

    def __init__(self, request: Request, request_id: str) -> None:
        self._request = request
        self.request_id = request_id
        self._has_producer = False
        self.is_streaming = False
        self.is_gone = False

    def answer(self, answer: Answer) -> None:
        """Pass on a whole answer."""
        if self.is_gone:
            return
        self._begin(answer.status, answer.content_type)
        self._request.setHeader("content-length", str(len(answer.body)))
        self._request.write(answer.body)
        self._finish()

    def refuse(self, refusal: Refusal) -> None:
        """Give the final answer that no upstream gave."""
        if self.is_gone:
            return
        body = json.dumps(self._error(refusal)).encode()
        if self.is_streaming:
            self._request.write(b"event: error\ndata: " + body + b"\n\n")
            self._finish()
            return
        self._begin(refusal.status, "application/json")
        self._request.setHeader(RAN_HEADER, refusal.ran.value)
        if refusal.retry_after is not None:
            seconds = math.ceil(refusal.retry_after.total_seconds())
            self._request.setHeader("retry-after", str(max(1, seconds)))
        self._request.setHeader("content-length", str(len(body)))
        self._request.write(body)
        self._finish()

    def begin_stream(self) -> None:
        """Begin a streamed answer."""
        if self.is_gone or self.is_streaming:
            return
        self.is_streaming = True
        self._begin(200, "text/event-stream")
        self._request.setHeader("cache-control", "no-store")
        self._request.write(b"")

    def write(self, data: bytes) -> None:
        """Write a piece of a streamed answer."""
        if not self.is_gone:
            self._request.write(data)

    def end_stream(self) -> None:
        """End a streamed answer."""
        if not self.is_gone:
            self._finish()

    def register_producer(self, producer: Any) -> None:
        """Let a slow caller pause the upstream's connection."""
        if not self.is_gone:
            self._has_producer = True
            self._request.registerProducer(producer, True)

    def unregister_producer(self) -> None:
        """Undo `register_producer`."""
        if self._has_producer and not self.is_gone:
            self._has_producer = False
            self._request.unregisterProducer()

    def drop(self) -> None:
        """Close the connection without an end, so that the caller comes back."""
        if not self.is_gone:
            self.is_gone = True
            self._request.transport.loseConnection()

    def _begin(self, status: int, content_type: str) -> None:
        self._request.setResponseCode(status)
        self._request.setHeader("content-type", content_type)
        self._request.setHeader(REQUEST_ID_HEADER, self.request_id)

    def _finish(self) -> None:
        self.unregister_producer()
        self.is_gone = True
        self._request.finish()

    def _error(self, refusal: Refusal) -> dict[str, Any]:
        return {
            "error": {
                "code": refusal.code.value,
                "message": refusal.message,
                "ran": refusal.ran.value,
                "request_id": self.request_id,
            }
        }
