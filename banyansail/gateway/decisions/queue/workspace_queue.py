"""Waiting requests of one workspace and one priority."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from banyansail.gateway.decisions.queue.tickets import QueueEntry, Ticket


class _TagHeap:
    """Names by tag, for tags that never decrease."""

    __slots__ = ("_heap", "_names", "_next_number")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, str]] = []
        self._names: set[str] = set()  # in the heap; some of them may wait no longer
        self._next_number = 0

    def push(self, name: str, tag: float) -> None:
        if name not in self._names:
            self._names.add(name)
            self._next_number += 1
            heapq.heappush(self._heap, (tag, self._next_number, name))

    def first(self, names: Mapping[str, object], tag_of: Callable[[str], float]) -> str:
        """Return the name with the lowest tag, of those that are in `names`."""
        while True:
            tag, number, name = self._heap[0]
            if name not in names:
                heapq.heappop(self._heap)
                self._names.discard(name)
                continue
            current = tag_of(name)
            if current <= tag:
                return name
            heapq.heapreplace(self._heap, (current, number, name))


@dataclass(slots=True)
class _CallerQueue:
    """Waiting first tries of one caller, in the order of arrival."""

    entries: OrderedDict[QueueEntry, None] = field(default_factory=OrderedDict)
    work: float = 0.0


class WorkspaceQueue:
    """Waiting requests of one workspace and one priority.

    Retries of failed attempts come first, then first tries, then requests that were
    repeated too early.
    """

    __slots__ = (
        "_heap",
        "_tag_by_caller",
        "_virtual_time",
        "callers",
        "count",
        "repeats",
        "retries",
        "weight",
        "work",
    )

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.count = 0
        self.work = 0.0
        self.retries: OrderedDict[QueueEntry, None] = OrderedDict()
        self.repeats: OrderedDict[QueueEntry, None] = OrderedDict()
        self.callers: dict[str, _CallerQueue] = {}
        self._heap = _TagHeap()
        self._tag_by_caller: dict[str, float] = {}
        self._virtual_time = 0.0

    def push(self, entry: QueueEntry, *, is_first: bool = False) -> None:
        """Add a request at the end of its group, or at its beginning."""
        ticket = entry.ticket
        self.count += 1
        self.work += ticket.work
        group = self._group(ticket)
        if group is None:
            name = ticket.caller
            group = self.callers.setdefault(name, _CallerQueue()).entries
            self._heap.push(name, self._tag(name))
        if group is not self.retries and group is not self.repeats:
            self.callers[ticket.caller].work += ticket.work
        group[entry] = None
        group.move_to_end(entry, last=not is_first)

    def first(self) -> QueueEntry:
        """Return the request that is served next."""
        if self.retries:
            return next(iter(self.retries))
        if self.callers:
            name = self._heap.first(self.callers, self._tag)
            return next(iter(self.callers[name].entries))
        return next(iter(self.repeats))

    def last(self) -> QueueEntry | None:
        """Return the request that is given up first; ``None`` if only retries wait."""
        if self.repeats:
            return next(reversed(self.repeats))
        if not self.callers:
            return None
        heaviest = max(self.callers.values(), key=lambda caller: caller.work)
        return next(reversed(heaviest.entries))

    def charge(self, ticket: Ticket, work: float) -> None:
        """Advance the virtual time of the caller whose request got a slot."""
        self._virtual_time = self._tag(ticket.caller)
        self._tag_by_caller[ticket.caller] = self._virtual_time + work

    def remove(self, entry: QueueEntry) -> None:
        """Remove a request."""
        ticket = entry.ticket
        group = self._group(ticket)
        del group[entry]
        self.count -= 1
        self.work -= ticket.work
        if group is self.retries or group is self.repeats:
            return
        caller = self.callers[ticket.caller]
        caller.work -= ticket.work
        if not caller.entries:
            del self.callers[ticket.caller]

    def count_before(self, ticket: Ticket, *, is_waiting: bool) -> int:
        """Return how many requests of the workspace precede one.

        Callers are served in turn, so a caller waits for no more requests of another
        than it has itself.
        """
        if ticket.is_retry:
            return len(self.retries) - is_waiting
        if ticket.is_repeat:
            return self.count - is_waiting
        first_tries = self.count - len(self.retries) - len(self.repeats) - is_waiting
        caller = self.callers.get(ticket.caller)
        own = len(caller.entries) - is_waiting if caller else 0
        turns = (own + 1) * (len(self.callers) + (caller is None)) - 1
        return len(self.retries) + min(first_tries, turns)

    def _tag(self, caller: str) -> float:
        return max(self._virtual_time, self._tag_by_caller.get(caller, 0.0))

    def _group(self, ticket: Ticket) -> OrderedDict[QueueEntry, None] | None:
        if ticket.is_retry:
            return self.retries
        if ticket.is_repeat:
            return self.repeats
        caller = self.callers.get(ticket.caller)
        return caller.entries if caller else None
