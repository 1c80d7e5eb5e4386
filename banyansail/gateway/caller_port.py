"""Where the answer to one caller is written."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from banyansail.gateway.request_types import Rejection, ReplyHead


class CallerPort(Protocol):
    """Writes the answer to one caller."""

    def answer(self, head: ReplyHead, body: bytes) -> None:
        """Give an upstream's whole answer."""

    def begin_stream(self, head: ReplyHead) -> None:
        """Begin a streamed answer."""

    def write(self, data: bytes) -> None:
        """Write a piece of a streamed answer."""

    def end_stream(self) -> None:
        """End a streamed answer."""

    def break_off(self) -> None:
        """Close the connection, so that the answer does not look complete."""

    def reject(self, rejection: Rejection) -> None:
        """Give the router's own final answer."""
