"""Watches of the store that wait for an answer, and what ends them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

from twisted.internet import defer

from banyansail.exceptions import (
    BanyansailError,
    PlatformUnavailableError,
    WatchRenewedError,
)
from banyansail.log import log_event

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

Answer = TypeVar("Answer")


class PendingWatches(Generic[Answer]):
    """Watches that can be ended before their answers."""

    __slots__ = ("_error_by_watch",)

    def __init__(self) -> None:
        # With what each one fails if it is ended.
        self._error_by_watch: dict[defer.Deferred[Answer], BanyansailError] = {}

    async def wait(self, call: Coroutine[Any, Any, Answer]) -> Answer:
        """Return the answer of a watch.

        Raises
        ------
        PlatformUnavailableError
            If it was cancelled.
        WatchRenewedError
            If it is to be sent again.
        """
        watch = defer.Deferred.fromCoroutine(call)
        self._error_by_watch[watch] = PlatformUnavailableError(
            "the watch was cancelled"
        )
        try:
            return await watch
        except defer.CancelledError:
            raise self._error_by_watch[watch] from None
        finally:
            del self._error_by_watch[watch]

    def renew(self, reason: str) -> None:
        """End all watches, which are to be sent again."""
        if self._error_by_watch:
            log_event("watches_renewed", count=len(self._error_by_watch), reason=reason)
        for watch in list(self._error_by_watch):
            self._error_by_watch[watch] = WatchRenewedError(reason)
            watch.cancel()

    def cancel(self) -> None:
        """End all watches, as the store does not answer."""
        for watch in list(self._error_by_watch):
            watch.cancel()
