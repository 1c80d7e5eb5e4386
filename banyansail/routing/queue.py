"""Queue of waiting requests: priority, then workspaces by weight, then deadline."""

from __future__ import annotations

import heapq
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.routing.messages import Ticket

LOWEST_TURN = 8  # each 8th pop serves the lowest waiting priority


class _WorkspaceLane:
    """Waiting requests of one workspace, earliest deadline first."""

    __slots__ = ("heap", "virtual_time")

    def __init__(self, virtual_time: float) -> None:
        self.heap: list[tuple[float, int, Ticket]] = []
        self.virtual_time = virtual_time


class _PriorityLevel:
    """Workspaces of one priority, served in proportion to their weights."""

    __slots__ = ("lane_by_workspace", "size", "virtual_time")

    def __init__(self) -> None:
        self.lane_by_workspace: dict[str, _WorkspaceLane] = {}
        self.size = 0
        self.virtual_time = 0.0

    def push(self, ticket: Ticket, order: int) -> None:
        lane = self.lane_by_workspace.get(ticket.workspace)
        if lane is None:
            lane = _WorkspaceLane(self.virtual_time)
            self.lane_by_workspace[ticket.workspace] = lane
        item = (ticket.deadline.total_seconds(), order, ticket)
        heapq.heappush(lane.heap, item)
        self.size += 1

    def pop(self, weight: Callable[[str], int]) -> Ticket:
        name, lane = min(
            self.lane_by_workspace.items(),
            key=lambda item: (item[1].virtual_time, item[1].heap[0][0]),
        )
        self.virtual_time = lane.virtual_time
        lane.virtual_time += 1 / weight(name)
        ticket = heapq.heappop(lane.heap)[2]
        self.size -= 1
        if not lane.heap:
            del self.lane_by_workspace[name]
        return ticket


class FairQueue:
    """Bounded queue of one service.

    Parameters
    ----------
    capacity : int
        Requests that may wait.
    weight : callable
        Returns the weight of a workspace.
    """

    __slots__ = (
        "_level_by_priority",
        "_order",
        "_pops",
        "_size",
        "_weight",
        "capacity",
    )

    def __init__(self, capacity: int, weight: Callable[[str], int]) -> None:
        self.capacity = capacity
        self._weight = weight
        self._level_by_priority: dict[int, _PriorityLevel] = {}
        self._order = count()
        self._pops = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def is_full(self) -> bool:
        """Whether no further request may wait."""
        return self._size >= self.capacity

    def waiting_before(self, priority: int) -> int:
        """Return how many requests are served before a new one of a priority."""
        return sum(
            level.size
            for other, level in self._level_by_priority.items()
            if other >= priority
        )

    def push(self, ticket: Ticket) -> None:
        """Add a request; the caller has checked `is_full`."""
        level = self._level_by_priority.setdefault(ticket.priority, _PriorityLevel())
        level.push(ticket, next(self._order))
        self._size += 1

    def pop(self) -> Ticket | None:
        """Remove the next request, or return ``None`` if none waits.

        Cancelled requests are dropped on the way.
        """
        while self._level_by_priority:
            priority = self._next_priority()
            level = self._level_by_priority[priority]
            ticket = level.pop(self._weight)
            if level.size == 0:
                del self._level_by_priority[priority]
            if ticket.cancelled:
                continue  # cancel() has counted it out already
            self._size -= 1
            self._pops += 1
            return ticket
        return None

    def cancel(self, ticket: Ticket) -> None:
        """Give up a waiting request; its place is freed at once."""
        if not ticket.cancelled:
            ticket.cancelled = True
            self._size -= 1

    def _next_priority(self) -> int:
        if self._pops % LOWEST_TURN == LOWEST_TURN - 1:
            return min(self._level_by_priority)
        return max(self._level_by_priority)
