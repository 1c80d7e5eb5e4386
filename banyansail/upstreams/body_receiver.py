"""Receivers of response bodies, which report whether a body is complete."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet import defer
from twisted.internet.protocol import Protocol
from twisted.web.client import PotentialDataLoss, ResponseDone

from banyansail.routing.retry import AttemptFailure
from banyansail.upstreams.attempt_error import AttemptError

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure as TwistedFailure
    from twisted.web.iweb import IResponse

BODY_END_TIMEOUT = timedelta(seconds=1)  # after the end marker of a stream


class BodyReceiver(Protocol):
    """Receiver of a response body that reports how the body ended.

    Parameters
    ----------
    on_data : callable
        Called with each received chunk.

    Attributes
    ----------
    ended : Deferred
        Fires after the last chunk; fails with `AttemptError` if the body is incomplete.
    """

    def __init__(self, on_data: Callable[[bytes], None]) -> None:
        self._on_data = on_data
        self.ended: defer.Deferred[None] = defer.Deferred(self._abort)
        self.is_open = True
        self._close_timer: Any = None

    def dataReceived(self, data: bytes) -> None:
        """Forward a chunk unless the body has ended or failed."""
        if self.is_open:
            self._on_data(data)

    def connectionLost(self, reason: TwistedFailure) -> None:
        """Fire `ended`, with an error unless the body is complete."""
        if self._close_timer is not None and self._close_timer.active():
            self._close_timer.cancel()
        if not self.is_open:
            return
        self.is_open = False
        if reason.check(ResponseDone):
            self.ended.callback(None)
            return
        detail = (
            "the body has no length or final chunk"
            if reason.check(PotentialDataLoss)
            else ""
        )
        detail = detail or reason.getErrorMessage()
        self.ended.errback(AttemptError(AttemptFailure.CONNECTION_LOST, detail))

    def finish(self, reactor: Any) -> None:
        """End the body as complete before its last chunk, and discard what follows.

        The connection is closed unless the body ends within `BODY_END_TIMEOUT`.
        """
        if not self.is_open:
            return
        self.is_open = False
        self.transport.resumeProducing()
        self._close_timer = reactor.callLater(
            BODY_END_TIMEOUT.total_seconds(), self._close_connection
        )
        self.ended.callback(None)

    def fail(self, attempt_error: AttemptError) -> None:
        """End the body with an error and close the connection."""
        if not self.is_open:
            return
        self.is_open = False
        self._close_connection()
        self.ended.errback(attempt_error)

    def _abort(self, _: defer.Deferred[None]) -> None:
        self.is_open = False
        self._close_connection()

    def _close_connection(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()


async def read_body(
    response: IResponse,
    max_bytes: int,
    on_data: Callable[[], None] | None = None,
) -> bytes:
    """Read a body to its end.

    Parameters
    ----------
    max_bytes : int
        Size above which reading is aborted.
    on_data : callable or None
        Called for each received chunk.

    Raises
    ------
    AttemptError
        If the body is truncated or too large.
    """
    chunks: list[bytes] = []
    size = 0

    def append(data: bytes) -> None:
        nonlocal size
        if on_data is not None:
            on_data()
        chunks.append(data)
        size += len(data)
        if size > max_bytes:
            receiver.fail(
                AttemptError(
                    AttemptFailure.BAD_ANSWER,
                    f"the answer is larger than {max_bytes} bytes",
                )
            )

    receiver = BodyReceiver(append)
    response.deliverBody(receiver)
    await receiver.ended
    return b"".join(chunks)
