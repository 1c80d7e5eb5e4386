"""View of the fleet at one router; it is advice and never decides what is right."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.fleet.entries import Digest, Entry, Topic

if TYPE_CHECKING:
    from banyansail.clock import Clock

LIVE_TIME = timedelta(seconds=15)  # within a zone
LIVE_TIME_PER_ROUTER = timedelta(milliseconds=150)  # for those of other zones
FORGET_TIME = timedelta(hours=1)
ZONE_TOPICS = (Topic.LOADS, Topic.EVIDENCE)  # sent within a zone, never compared
COMPARED_TOPICS = tuple(topic for topic in Topic if topic not in ZONE_TOPICS)


@dataclass(slots=True)
class _Origin:
    """What was heard of one router."""

    incarnation: int
    heartbeat: int
    heard_at: timedelta
    entry_by_topic: dict[Topic, Entry] = field(default_factory=dict)

    def sequences(self) -> tuple[int, ...]:
        entries = self.entry_by_topic
        return tuple(
            entries[topic].sequence if topic in entries else 0
            for topic in COMPARED_TOPICS
        )


class FleetView:
    """Entries of all routers, merged without conflicts.

    Parameters
    ----------
    name : str
        This router.
    incarnation : int
        Grows with each restart; the wall time in milliseconds does.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_origin_by_name", "name")

    def __init__(self, name: str, incarnation: int, clock: Clock) -> None:
        self.name = name
        self._clock = clock
        own = _Origin(incarnation, 0, clock.monotonic())
        self._origin_by_name: dict[str, _Origin] = {name: own}

    @property
    def incarnation(self) -> int:
        """Return this router's incarnation."""
        return self._own.incarnation

    @property
    def names(self) -> list[str]:
        """Return every router that was heard of, live or not."""
        return list(self._origin_by_name)

    def now(self) -> timedelta:
        """Return the time by which ages are counted."""
        return self._clock.monotonic()

    def beat(self) -> None:
        """Advance this router's heartbeat."""
        self._own.heartbeat += 1
        self._own.heard_at = self._clock.monotonic()

    def publish(self, topic: Topic, value: bytes) -> Entry | None:
        """Replace this router's value; return the new entry, if it differs."""
        before = self._own.entry_by_topic.get(topic)
        if before is not None and before.value == value:
            return None
        sequence = before.sequence + 1 if before else 1
        entry = Entry(self.name, self._own.incarnation, topic, sequence, value)
        self._own.entry_by_topic[topic] = entry
        return entry

    def merge(self, entry: Entry) -> bool:
        """Take in an entry; return whether it is news."""
        if entry.origin == self.name:
            self._refute(entry.incarnation)
            return False
        origin = self._origin(entry.origin, entry.incarnation)
        if origin is None:
            return False
        held = origin.entry_by_topic.get(entry.topic)
        if held is not None and held.sequence >= entry.sequence:
            return False
        origin.entry_by_topic[entry.topic] = entry
        return True

    def merge_digest(self, digest: Digest) -> None:
        """Take in how long ago a router's heartbeat was heard of elsewhere."""
        if digest.origin == self.name:
            self._refute(digest.incarnation)
            return
        if digest.age > FORGET_TIME:
            return
        origin = self._origin(digest.origin, digest.incarnation)
        if origin is not None and digest.heartbeat > origin.heartbeat:
            origin.heartbeat = digest.heartbeat
            heard_at = self._clock.monotonic() - digest.age
            origin.heard_at = max(origin.heard_at, heard_at)

    def digest(self, name: str) -> Digest:
        """Return what was heard of a router."""
        origin = self._origin_by_name[name]
        return Digest(
            name,
            origin.incarnation,
            origin.heartbeat,
            self._clock.monotonic() - origin.heard_at,
            origin.sequences(),
        )

    def newer_entries(self, digest: Digest) -> Iterator[Entry]:
        """Yield the entries that the sender of a digest lacks."""
        origin = self._origin_by_name.get(digest.origin)
        if origin is None or origin.incarnation < digest.incarnation:
            return
        known = dict(zip(COMPARED_TOPICS, digest.sequences, strict=False))
        if origin.incarnation > digest.incarnation:
            known = {}
        for topic, entry in origin.entry_by_topic.items():
            if topic not in COMPARED_TOPICS:
                continue
            if entry.sequence > known.get(topic, 0):
                yield entry

    def lacks(self, digest: Digest) -> bool:
        """Tell whether the sender of a digest has entries that are missing here."""
        origin = self._origin_by_name.get(digest.origin)
        if origin is None or origin.incarnation < digest.incarnation:
            return True
        if origin.incarnation > digest.incarnation:
            return False
        pairs = zip(digest.sequences, origin.sequences(), strict=False)
        return any(theirs > ours for theirs, ours in pairs)

    @property
    def remote_live_time(self) -> timedelta:
        """Return how long routers of other zones count as live unheard of.

        Their heartbeats take turns in the digests and come later in a large fleet.
        """
        return LIVE_TIME + LIVE_TIME_PER_ROUTER * len(self._origin_by_name)

    def is_live(self, name: str, within: timedelta | None = None) -> bool:
        """Tell whether a router was heard of within a time.

        Parameters
        ----------
        within : timedelta or None
            The time; ``None`` for that of routers of other zones.
        """
        if name == self.name:
            return True
        origin = self._origin_by_name.get(name)
        if origin is None:
            return False
        age = self._clock.monotonic() - origin.heard_at
        return age < (within or self.remote_live_time)

    def age(self, name: str) -> timedelta:
        """Return the time since a router was heard of."""
        return self._clock.monotonic() - self._origin_by_name[name].heard_at

    def values(self, topic: Topic, *, live_only: bool = True) -> dict[str, bytes]:
        """Return the values of a topic by router."""
        return {
            entry.origin: entry.value
            for entry in self.entries(topic)
            if not live_only or self.is_live(entry.origin)
        }

    def entries(self, topic: Topic) -> Iterator[Entry]:
        """Yield the entries of a topic, those of routers that fell silent too."""
        for origin in self._origin_by_name.values():
            entry = origin.entry_by_topic.get(topic)
            if entry is not None:
                yield entry

    def own_entry(self, topic: Topic) -> Entry | None:
        """Return this router's entry of a topic."""
        return self._own.entry_by_topic.get(topic)

    def forget_old(self) -> None:
        """Drop routers that were not heard of for a long time."""
        now = self._clock.monotonic()
        for name in list(self._origin_by_name):
            heard_at = self._origin_by_name[name].heard_at
            if name != self.name and now - heard_at > FORGET_TIME:
                del self._origin_by_name[name]

    @property
    def _own(self) -> _Origin:
        return self._origin_by_name[self.name]

    def _origin(self, name: str, incarnation: int) -> _Origin | None:
        origin = self._origin_by_name.get(name)
        if origin is not None and origin.incarnation > incarnation:
            return None
        if origin is None or origin.incarnation < incarnation:
            # Not live until a heartbeat of this incarnation is heard of.
            never = self._clock.monotonic() - self.remote_live_time
            origin = _Origin(incarnation, 0, never)
            self._origin_by_name[name] = origin
        return origin

    def _refute(self, incarnation: int) -> None:
        """Outrank entries of an earlier process, after a clock that went back."""
        own = self._own
        if incarnation <= own.incarnation:
            return
        own.incarnation = incarnation + 1
        for topic, entry in own.entry_by_topic.items():
            own.entry_by_topic[topic] = Entry(
                entry.origin, own.incarnation, topic, entry.sequence, entry.value
            )
