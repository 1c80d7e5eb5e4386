"""Waiting requests of one service, taken by start-time fair queueing.

Within a priority, the workspace with the lowest virtual time is served next, and within
a workspace the caller with the lowest one. A lower priority keeps a share of the slots.
No decision depends on the number of routers. Choices between workspaces take time in
the number of those that wait, all others at most in the logarithm of the requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.gateway.decisions.queue.workspace_queue import WorkspaceQueue

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from banyansail.gateway.decisions.queue.tickets import QueueEntry, Ticket
    from banyansail.gateway.decisions.queue.work_shares import WorkShares

# Of the slots, for a lower priority while it waits. Less urgent requests must be served
# at least a quarter as often as all, and they are a minority of the kinds.
MIN_PRIORITY_SHARE = 1 / 8


class _Level:
    """Waiting requests of one priority."""

    __slots__ = ("count", "passed", "queues")

    def __init__(self) -> None:
        self.count = 0
        self.passed = 0  # slots that a higher priority got while this one waited
        self.queues: dict[str, WorkspaceQueue] = {}

    def push(self, entry: QueueEntry, *, is_first: bool = False) -> None:
        name = entry.ticket.workspace
        queue = self.queues.get(name)
        if queue is None:
            queue = self.queues[name] = WorkspaceQueue(entry.ticket.weight)
        queue.push(entry, is_first=is_first)
        self.count += 1

    def first(self, shares: WorkShares) -> QueueEntry:
        return self.queues[min(self.queues, key=shares.tag)].first()

    def remove(self, entry: QueueEntry) -> None:
        name = entry.ticket.workspace
        queue = self.queues[name]
        queue.remove(entry)
        self.count -= 1
        if not queue.count:
            del self.queues[name]
        if not self.count:
            self.passed = 0

    @property
    def is_due(self) -> bool:
        """Whether the next slot belongs to this priority, though a higher one waits."""
        return self.count > 0 and self.passed >= 1 / MIN_PRIORITY_SHARE - 1


class FairQueue:
    """Queue by priority, then by the shares of workspaces and of their callers.

    Parameters
    ----------
    shares : WorkShares
        Virtual times of the workspaces.
    """

    __slots__ = ("_entries", "_levels", "shares")

    def __init__(self, shares: WorkShares) -> None:
        self.shares = shares
        self._entries: dict[QueueEntry, None] = {}
        self._levels: dict[int, _Level] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, entry: QueueEntry) -> None:
        """Add a request."""
        self._push(entry, is_first=False)

    def pop_next(self) -> QueueEntry | None:
        """Remove and return the request that is served next."""
        level = self._next_level()
        if level is None:
            return None
        entry = level.first(self.shares)
        self.discard(entry)
        return entry

    def restore(self, entry: QueueEntry) -> None:
        """Return a request to the head of its caller's, as no upstream took it."""
        self._push(entry, is_first=True)

    def candidates(self) -> Iterator[QueueEntry]:
        """Yield each request as the next one; those left unresolved wait on."""
        unresolved: list[QueueEntry] = []
        try:
            while (entry := self.pop_next()) is not None:
                # Precedes the `yield`, at which the generator may be closed.
                unresolved.append(entry)
                yield entry
                if entry.is_resolved:
                    unresolved.pop()
        finally:
            for entry in reversed(unresolved):
                if not entry.is_resolved:
                    self.restore(entry)

    def discard(self, entry: QueueEntry) -> None:
        """Remove a request, if it waits."""
        if entry in self._entries:
            del self._entries[entry]
            self._levels[entry.ticket.priority].remove(entry)

    def entries(self) -> list[QueueEntry]:
        """Return all waiting requests, in no particular order."""
        return list(self._entries)

    def record_assigned(self, ticket: Ticket, work: float) -> None:
        """Charge a request that got a slot to its workspace and its priority."""
        self.shares.charge(ticket.workspace, work)
        for priority, level in self._levels.items():
            if priority == ticket.priority:
                level.passed = 0
                if ticket.workspace in level.queues:
                    level.queues[ticket.workspace].charge(ticket, work)
            elif priority > ticket.priority and level.count:
                level.passed += 1

    def record_fleet_work(self, total_by_workspace: Mapping[str, float]) -> None:
        """Advance the virtual times by the work that other routers assigned."""
        self.shares.record_fleet_work(total_by_workspace)

    def count_before(self, ticket: Ticket, *, is_waiting: bool) -> float:
        """Return how many slots are assigned before a request gets one."""
        level = self._levels.get(ticket.priority)
        ahead = self._count_in_level(level, ticket, is_waiting) if level else 0
        higher = sum(
            item.count
            for priority, item in self._levels.items()
            if priority < ticket.priority
        )
        # The floor of the priority bounds what the higher ones take before it.
        return ahead + min(higher, (ahead + 1) * (1 / MIN_PRIORITY_SHARE - 1))

    def heaviest_last(self, priority: int | None = None) -> QueueEntry | None:
        """Return the last request of the workspace with the most work per weight.

        It is ``None`` if only retries wait.

        Parameters
        ----------
        priority : int or None
            Priority of the requests that are considered; ``None`` for all, of which
            the least urgent request of the workspace is returned.
        """
        work: dict[str, float] = {}
        last_by_workspace: dict[str, QueueEntry] = {}
        for level_priority in sorted(self._levels):
            if priority is not None and level_priority != priority:
                continue
            for name, queue in self._levels[level_priority].queues.items():
                work[name] = work.get(name, 0.0) + queue.work / queue.weight
                last = queue.last()
                if last is not None:
                    last_by_workspace[name] = last
        if not last_by_workspace:
            return None
        return last_by_workspace[max(last_by_workspace, key=work.__getitem__)]

    def lasts(self) -> list[QueueEntry]:
        """Return the last request of each workspace and priority."""
        lasts = (
            queue.last()
            for level in self._levels.values()
            for queue in level.queues.values()
        )
        return [last for last in lasts if last is not None]

    def _count_in_level(self, level: _Level, ticket: Ticket, is_waiting: bool) -> int:
        """Return the requests whose virtual start is not after that of a request."""
        own = level.queues.get(ticket.workspace)
        own_count = own.count_before(ticket, is_waiting=is_waiting) if own else 0
        own_work = own_count * own.work / own.count if own else 0.0
        start = self.shares.tag(ticket.workspace) + own_work / ticket.weight
        ahead = own_count
        for name, queue in level.queues.items():
            lead = start - self.shares.tag(name)
            if name != ticket.workspace and lead >= 0:
                started = lead * queue.weight * queue.count / max(queue.work, 1e-9)
                ahead += min(queue.count, int(started) + 1)
        return ahead

    def _next_level(self) -> _Level | None:
        waiting = [
            self._levels[priority]
            for priority in sorted(self._levels)
            if self._levels[priority].count
        ]
        if not waiting:
            return None
        return next((level for level in waiting[1:] if level.is_due), waiting[0])

    def _push(self, entry: QueueEntry, *, is_first: bool) -> None:
        ticket = entry.ticket
        level = self._levels.get(ticket.priority)
        if level is None:
            level = self._levels[ticket.priority] = _Level()
        level.push(entry, is_first=is_first)
        self._entries[entry] = None
