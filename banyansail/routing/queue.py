"""Queue of waiting requests, by priority, weighted fair share and deadline."""

from __future__ import annotations

import heapq
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.routing.request_types import Ticket

# Every 8th pop serves the lowest waiting priority, to prevent starvation.
LOWEST_PRIORITY_INTERVAL = 8


class _WorkspaceQueue:
    """Waiting requests of one workspace, earliest deadline first."""

    __slots__ = ("heap", "virtual_time")

    def __init__(self, virtual_time: float) -> None:
        self.heap: list[tuple[float, int, Ticket]] = []
        self.virtual_time = virtual_time


class _PriorityLevel:
    """Workspaces of one priority, served in proportion to their weights.

    A workspace's virtual time advances by the inverse of its weight with each
    request served; the workspace with the lowest virtual time is next.
    """

    __slots__ = ("queue_by_workspace", "size", "virtual_time")

    def __init__(self) -> None:
        self.queue_by_workspace: dict[str, _WorkspaceQueue] = {}
        self.size = 0
        self.virtual_time = 0.0

    def push(self, ticket: Ticket, sequence: int) -> None:
        workspace_queue = self.queue_by_workspace.get(ticket.workspace)
        if workspace_queue is None:
            workspace_queue = _WorkspaceQueue(self.virtual_time)
            self.queue_by_workspace[ticket.workspace] = workspace_queue
        item = (ticket.deadline.total_seconds(), sequence, ticket)
        heapq.heappush(workspace_queue.heap, item)
        self.size += 1

    def pop(self, weight_of: Callable[[str], int]) -> Ticket:
        name, workspace_queue = min(
            self.queue_by_workspace.items(),
            key=lambda item: (item[1].virtual_time, item[1].heap[0][0]),
        )
        self.virtual_time = workspace_queue.virtual_time
        workspace_queue.virtual_time += 1 / weight_of(name)
        ticket = heapq.heappop(workspace_queue.heap)[2]
        self.size -= 1
        if not workspace_queue.heap:
            del self.queue_by_workspace[name]
        return ticket


class FairQueue:
    """Bounded queue of one service.

    Parameters
    ----------
    capacity : int
        Maximum number of waiting requests.
    weight_of : callable
        Returns the weight of a workspace.
    """

    __slots__ = (
        "_level_by_priority",
        "_pop_count",
        "_sequence",
        "_size",
        "_weight_of",
        "capacity",
    )

    def __init__(self, capacity: int, weight_of: Callable[[str], int]) -> None:
        self.capacity = capacity
        self._weight_of = weight_of
        self._level_by_priority: dict[int, _PriorityLevel] = {}
        self._sequence = count()
        self._pop_count = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def is_full(self) -> bool:
        """Whether the queue has reached its capacity."""
        return self._size >= self.capacity

    def count_ahead(self, priority: int) -> int:
        """Return how many requests are ahead of a new one with a priority."""
        return sum(
            level.size
            for other, level in self._level_by_priority.items()
            if other >= priority
        )

    def push(self, ticket: Ticket) -> None:
        """Add a request; the caller must check `is_full` first."""
        level = self._level_by_priority.setdefault(ticket.priority, _PriorityLevel())
        level.push(ticket, next(self._sequence))
        self._size += 1

    def pop(self) -> Ticket | None:
        """Remove the next request, or return ``None`` if none waits.

        Cancelled requests are skipped and removed.
        """
        while self._level_by_priority:
            priority = self._next_priority()
            level = self._level_by_priority[priority]
            ticket = level.pop(self._weight_of)
            if level.size == 0:
                del self._level_by_priority[priority]
            if ticket.is_cancelled:
                continue  # cancel() has already decremented the size
            self._size -= 1
            self._pop_count += 1
            return ticket
        return None

    def cancel(self, ticket: Ticket) -> None:
        """Cancel a waiting request; it stops counting towards the capacity at once."""
        if not ticket.is_cancelled:
            ticket.is_cancelled = True
            self._size -= 1

    def _next_priority(self) -> int:
        if self._pop_count % LOWEST_PRIORITY_INTERVAL == LOWEST_PRIORITY_INTERVAL - 1:
            return min(self._level_by_priority)
        return max(self._level_by_priority)
