"""Ids of the requests that were answered on a connection."""

from __future__ import annotations

MAX_IDS = 64


class AnsweredIds:
    """Ids whose answer may come again on a connection, in a copy.

    A request is sent again after any answer but a complete success. Of successes only
    the last one is kept, as a caller might use its id again. Ids are of any length, so
    their hashes are kept; two with one hash cost a new connection.
    """

    __slots__ = ("_last", "_unsuccessful")

    def __init__(self) -> None:
        self._last: int | None = None
        self._unsuccessful: set[int] | None = None  # mostly there is none

    def __contains__(self, request_id: str) -> bool:
        if not request_id:
            return False
        key = hash(request_id)
        return key == self._last or key in (self._unsuccessful or ())

    @property
    def is_full(self) -> bool:
        """Whether no further id can be kept."""
        return self._unsuccessful is not None and len(self._unsuccessful) >= MAX_IDS

    def add(self, request_id: str, *, is_success: bool) -> None:
        """Keep the id of a request that was answered, while there is room for it."""
        if not request_id:
            return
        self._last = hash(request_id)
        if is_success or self.is_full:
            return
        if self._unsuccessful is None:
            self._unsuccessful = set()
        self._unsuccessful.add(self._last)
