"""Queue of gossip entries to push, and the number of pushes of each."""

from __future__ import annotations

import math

from banyansail.fleet.entries import DIRECT_TOPICS, Entry, Topic

PUSH_FANOUT = 2  # receivers of each push
MAX_ENTRY_BYTES_PER_DATAGRAM = 6 * 1024
DEFAULT_PUSHES = 2
URGENT_TOPICS = (Topic.LEAVING, Topic.DEATHS, Topic.STATEMENTS)


class PushQueue:
    """New entries, each of which is pushed a limited number of times."""

    __slots__ = ("_pending_by_key",)

    def __init__(self) -> None:
        self._pending_by_key: dict[tuple[str, Topic], tuple[Entry, int]] = {}

    def add(self, entry: Entry, fleet_size: int) -> None:
        """Queue an entry; it replaces an older one of the same origin and topic."""
        pushes = count_pushes(entry.topic, fleet_size)
        if pushes:
            self._pending_by_key[entry.origin, entry.topic] = (entry, pushes)

    def next_batch(self) -> list[Entry]:
        """Return the entries of the next datagram and count one push for each."""
        batch: list[Entry] = []
        size_bytes = 0
        for key, (entry, pushes_left) in list(self._pending_by_key.items()):
            size_bytes += len(entry.value)
            if batch and size_bytes > MAX_ENTRY_BYTES_PER_DATAGRAM:
                break
            batch.append(entry)
            del self._pending_by_key[key]
            if pushes_left > 1:
                self._pending_by_key[key] = (entry, pushes_left - 1)
        return batch


def count_pushes(topic: Topic, fleet_size: int) -> int:
    """Return the number of times that a router pushes an entry of a topic.

    Urgent entries get enough pushes to reach all routers by pushes alone. For others,
    the digest exchanges repair what the pushes missed.
    """
    if topic is Topic.ZONE_EVIDENCE:
        return 1
    if topic in DIRECT_TOPICS:
        return 0
    if topic not in URGENT_TOPICS:
        return DEFAULT_PUSHES
    return math.ceil(math.log2(max(2, fleet_size)) / PUSH_FANOUT) + DEFAULT_PUSHES
