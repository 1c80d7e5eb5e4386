"""Entries that are to be passed on, and how often."""

from __future__ import annotations

import math

from banyansail.fleet.entries import Entry, Topic

PUSH_FANOUT = 2
MAX_ENTRY_BYTES_PER_DATAGRAM = 6 * 1024
USUAL_PUSHES = 2
URGENT_TOPICS = (Topic.LEAVING, Topic.DEATHS, Topic.STATEMENTS)


class NewsQueue:
    """Entries that this router has heard of and pushes a few times."""

    __slots__ = ("_pushes_left",)

    def __init__(self) -> None:
        self._pushes_left: dict[tuple[str, Topic], tuple[Entry, int]] = {}

    def add(self, entry: Entry, fleet_size: int) -> None:
        """Pass an entry on, in place of an older one of its origin and topic."""
        pushes = count_pushes(entry.topic, fleet_size)
        if pushes:
            self._pushes_left[entry.origin, entry.topic] = (entry, pushes)

    def take(self) -> list[Entry]:
        """Return the entries of the next datagram, and count them as pushed."""
        taken: list[Entry] = []
        size = 0
        for key, (entry, left) in list(self._pushes_left.items()):
            size += len(entry.value)
            if taken and size > MAX_ENTRY_BYTES_PER_DATAGRAM:
                break
            taken.append(entry)
            del self._pushes_left[key]
            if left > 1:
                self._pushes_left[key] = (entry, left - 1)
        return taken


def count_pushes(topic: Topic, fleet_size: int) -> int:
    """Return how often a router pushes an entry of a topic.

    Urgent ones reach all routers by pushes alone; the exchanges repair the rest.
    """
    match topic:
        case Topic.EVIDENCE:
            return 0  # meant for its receiver only
        case Topic.ZONE_EVIDENCE:
            return 1
    if topic not in URGENT_TOPICS:
        return USUAL_PUSHES
    return math.ceil(math.log2(max(2, fleet_size)) / PUSH_FANOUT) + USUAL_PUSHES
