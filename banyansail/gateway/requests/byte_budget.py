"""Limit of the memory that concurrent answers may occupy together."""

from __future__ import annotations


class ByteBudget:
    """Bytes that may be buffered at a time.

    Parameters
    ----------
    limit : int
        Total in bytes.
    """

    __slots__ = ("_left",)

    def __init__(self, limit: int) -> None:
        self._left = limit

    def take(self, count: int) -> bool:
        """Take some bytes if they are left; return whether they were."""
        if count > self._left:
            return False
        self._left -= count
        return True

    def give_back(self, count: int) -> None:
        """Give back bytes that are not buffered any more."""
        self._left += count
