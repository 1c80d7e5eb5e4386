"""Writer of HTTP responses to callers."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from twisted.web import http

from banyansail.upstreams.body_end import BodyEnd

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.gateway.callers.http_server import GatewayRequest
    from banyansail.gateway.request_types import Rejection, ReplyHead


class HttpResponseWriter:
    """Writer of the single response to a request; later writes are ignored.

    Parameters
    ----------
    request : GatewayRequest
        Twisted's request.
    is_leaving : callable
        Returns whether this router is draining; a response then closes its connection.
    """

    __slots__ = ("_is_finished", "_is_leaving", "_request")

    def __init__(self, request: GatewayRequest, is_leaving: Callable[[], bool]) -> None:
        self._request = request
        self._is_leaving = is_leaving
        self._is_finished = False

    def write_response(self, head: ReplyHead, body: bytes) -> None:
        """Write an upstream's complete response."""
        if self._is_closed():
            return
        self._write_head(head)
        if not _has_no_body(head.status, self._request.method):
            self._request.setHeader(b"content-length", b"%d" % len(body))
        self._request.write(body)
        self._finish()

    def write_until_close(self, head: ReplyHead, body: bytes) -> None:
        """Write a response without a length; its connection is closed at its end."""
        if self._is_closed():
            return
        self._write_head(head)
        self._request.start_unframed()
        self._request.write(body)
        self._finish()

    def start_stream(self, head: ReplyHead) -> None:
        """Write the head of a streamed response, which ends as the upstream's does."""
        if self._is_closed():
            return
        self._write_head(head)
        if head.end is BodyEnd.CLOSE or not self._request.accepts_chunks:
            self._request.start_unframed()

    def write(self, data: bytes) -> None:
        """Write a chunk of a streamed response."""
        if not self._is_closed():
            self._request.write(data)

    def end_stream(self) -> None:
        """Complete a streamed response."""
        if not self._is_closed():
            self._finish()

    def abort_stream(self) -> None:
        """Abort the connection, so that the response does not look complete."""
        if not self._is_closed():
            self._is_finished = True
            self._request.channel.transport.abortConnection()

    def reject(self, rejection: Rejection) -> None:
        """Write an error response of this router."""
        if self._is_closed():
            return
        body = json.dumps(
            {"error": {"code": rejection.cause.value, "message": rejection.detail}}
        ).encode()
        request = self._request
        request.setResponseCode(rejection.status)
        request.setHeader(b"content-type", b"application/json")
        if rejection.retry_after is not None:
            seconds = rejection.retry_after.total_seconds()
            request.setHeader(b"retry-after", b"%.3f" % seconds)
        request.setHeader(b"content-length", b"%d" % len(body))
        self._close_if_leaving()
        request.write(body)
        self._finish()

    def _write_head(self, head: ReplyHead) -> None:
        request = self._request
        request.setResponseCode(head.status, head.reason or None)
        for name, value in head.headers:
            request.responseHeaders.addRawHeader(name, value)
        self._close_if_leaving()

    def _close_if_leaving(self) -> None:
        if self._is_leaving():
            self._request.setHeader(b"connection", b"close")
            self._request.channel.persistent = False

    def _finish(self) -> None:
        self._is_finished = True
        self._request.finish()

    def _is_closed(self) -> bool:
        return self._is_finished or self._request.channel is None


def _has_no_body(status: int, method: bytes) -> bool:
    return method == b"HEAD" or status in http.NO_BODY_CODES
