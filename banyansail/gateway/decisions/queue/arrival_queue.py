"""Waiting requests of one service in the order of priority and arrival."""

from __future__ import annotations

from bisect import insort
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    from datetime import timedelta

    from banyansail.gateway.decisions.queue.tickets import QueueEntry


class ArrivalQueue:
    """Queue by priority, then by arrival."""

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: list[QueueEntry] = []

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, entry: QueueEntry) -> None:
        """Add a request behind those of its priority that arrived before."""
        insort(self._entries, entry, key=_order)

    def candidates(self) -> Iterator[QueueEntry]:
        """Return the requests in the order in which they are served."""
        return iter(self.entries())

    def discard(self, entry: QueueEntry) -> None:
        """Remove a request, if it waits."""
        if entry in self._entries:
            self._entries.remove(entry)

    def entries(self) -> list[QueueEntry]:
        """Return all waiting requests."""
        return list(self._entries)

    def count_before(self, priority: int) -> int:
        """Return how many requests are served before a new one of a priority."""
        return sum(1 for entry in self._entries if entry.ticket.priority <= priority)


def _order(entry: QueueEntry) -> tuple[int, timedelta]:
    return entry.ticket.priority, entry.ticket.arrived_at
