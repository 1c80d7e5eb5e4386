"""Interface for writing the response to a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from banyansail.gateway.request_types import Rejection, ReplyHead


class ResponseWriter(Protocol):
    """Writer of the response to one request."""

    def write_response(self, head: ReplyHead, body: bytes) -> None:
        """Write an upstream's complete response."""

    def write_until_close(self, head: ReplyHead, body: bytes) -> None:
        """Write a response without a length; its connection is closed at its end."""

    def start_stream(self, head: ReplyHead) -> None:
        """Write the head of a streamed response."""

    def write(self, data: bytes) -> None:
        """Write a chunk of a streamed response."""

    def end_stream(self) -> None:
        """Complete a streamed response."""

    def abort_stream(self) -> None:
        """Abort the connection, so that the response does not look complete."""

    def reject(self, rejection: Rejection) -> None:
        """Write an error response of this router."""
