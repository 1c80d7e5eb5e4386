"""One router's eventually consistent view of the fleet.

The view is a hint: decisions that must be consistent are made by conditional updates
of the store.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.fleet.entries import DIRECT_TOPICS, Digest, Entry, Topic

if TYPE_CHECKING:
    from banyansail.clock import Clock

LIVENESS_TIMEOUT = timedelta(seconds=15)  # within a zone
LIVENESS_TIMEOUT_PER_ROUTER = timedelta(milliseconds=150)  # added for other zones
EXPIRY_TIME = timedelta(hours=1)  # without a heartbeat; then a router is removed
# Of digests; the loads of upstreams are pushed within a zone only.
COMPARED_TOPICS = tuple(
    topic for topic in Topic if topic not in (*DIRECT_TOPICS, Topic.LOADS)
)


@dataclass(slots=True)
class _OriginState:
    """Latest known state of one router."""

    incarnation: int
    heartbeat: int
    last_seen_at: timedelta
    entry_by_topic: dict[Topic, Entry] = field(default_factory=dict)
    sequences: tuple[int, ...] = (0,) * len(COMPARED_TOPICS)

    def put(self, entry: Entry) -> None:
        """Replace the entry of a topic."""
        entries = self.entry_by_topic
        entries[entry.topic] = entry
        if entry.topic in COMPARED_TOPICS:
            self.sequences = tuple(
                entries[topic].sequence if topic in entries else 0
                for topic in COMPARED_TOPICS
            )


class FleetView:
    """Latest entries of all routers.

    Each router writes only its own entries, so merges never conflict.

    Parameters
    ----------
    name : str
        Name of this router.
    incarnation : int
        Increases with each restart; the wall time in milliseconds at the start.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_origin_by_name", "name")

    def __init__(self, name: str, incarnation: int, clock: Clock) -> None:
        self.name = name
        self._clock = clock
        own = _OriginState(incarnation, 0, clock.monotonic())
        self._origin_by_name: dict[str, _OriginState] = {name: own}

    @property
    def incarnation(self) -> int:
        """Incarnation of this router."""
        return self._own.incarnation

    @property
    def names(self) -> list[str]:
        """Names of all known routers, live or not."""
        return list(self._origin_by_name)

    def incarnation_of(self, name: str) -> int:
        """Return the highest known incarnation of a router, 0 if it is unknown."""
        origin = self._origin_by_name.get(name)
        return origin.incarnation if origin is not None else 0

    def now(self) -> timedelta:
        """Return the monotonic time from which ages are computed."""
        return self._clock.monotonic()

    def advance_heartbeat(self) -> None:
        """Advance this router's heartbeat."""
        self._own.heartbeat += 1
        self._own.last_seen_at = self._clock.monotonic()

    def publish(self, topic: Topic, value: bytes) -> Entry | None:
        """Set this router's value; return the new entry, or ``None`` if unchanged."""
        previous = self._own.entry_by_topic.get(topic)
        if previous is not None and previous.value == value:
            return None
        return self.renew(topic, value)

    def renew(self, topic: Topic, value: bytes) -> Entry:
        """Set this router's value, as a new entry even if it is unchanged."""
        previous = self._own.entry_by_topic.get(topic)
        sequence = previous.sequence + 1 if previous else 1
        entry = Entry(self.name, self._own.incarnation, topic, sequence, value)
        self._own.put(entry)
        return entry

    def merge(self, entry: Entry) -> bool:
        """Apply a received entry; return whether it was new."""
        if entry.origin == self.name:
            self._refute(entry.incarnation)
            return False
        origin = self._origin_at(entry.origin, entry.incarnation)
        if origin is None:
            return False
        known_entry = origin.entry_by_topic.get(entry.topic)
        if known_entry is not None and known_entry.sequence >= entry.sequence:
            return False
        origin.put(entry)
        return True

    def merge_digest(self, digest: Digest) -> None:
        """Apply the age of a heartbeat that another router received."""
        if digest.origin == self.name:
            self._refute(digest.incarnation)
            return
        if digest.age > EXPIRY_TIME:
            return
        origin = self._origin_at(digest.origin, digest.incarnation)
        if origin is not None and digest.heartbeat > origin.heartbeat:
            origin.heartbeat = digest.heartbeat
            last_seen_at = self._clock.monotonic() - digest.age
            origin.last_seen_at = max(origin.last_seen_at, last_seen_at)

    def digest(self, name: str) -> Digest:
        """Return the digest of a router's known state."""
        origin = self._origin_by_name[name]
        return Digest(
            name,
            origin.incarnation,
            origin.heartbeat,
            self._clock.monotonic() - origin.last_seen_at,
            origin.sequences,
        )

    def entries_newer_than(self, digest: Digest) -> Iterator[Entry]:
        """Yield the entries that are newer than those in a digest."""
        origin = self._origin_by_name.get(digest.origin)
        if origin is None or origin.incarnation < digest.incarnation:
            return
        is_restarted = origin.incarnation > digest.incarnation
        if not is_restarted and origin.sequences == digest.sequences:
            return
        known = dict(zip(COMPARED_TOPICS, digest.sequences, strict=False))
        if is_restarted:
            known = {}
        for topic, entry in origin.entry_by_topic.items():
            if topic not in COMPARED_TOPICS:
                continue
            if entry.sequence > known.get(topic, 0):
                yield entry

    def is_behind(self, digest: Digest) -> bool:
        """Return whether a digest lists entries that are newer than the known ones."""
        origin = self._origin_by_name.get(digest.origin)
        if origin is None or origin.incarnation < digest.incarnation:
            return True
        if origin.incarnation > digest.incarnation:
            return False
        pairs = zip(digest.sequences, origin.sequences, strict=False)
        return any(theirs > ours for theirs, ours in pairs)

    @property
    def remote_liveness_timeout(self) -> timedelta:
        """Time without a heartbeat after which routers of other zones are not live.

        It grows with the fleet, as each datagram carries only some of the heartbeats
        and in a large fleet each one arrives less often.
        """
        return LIVENESS_TIMEOUT + LIVENESS_TIMEOUT_PER_ROUTER * len(
            self._origin_by_name
        )

    def is_live(self, name: str, timeout: timedelta | None = None) -> bool:
        """Return whether a router's last heartbeat is recent enough.

        Parameters
        ----------
        timeout : timedelta or None
            Maximum age of the heartbeat; ``None`` for `remote_liveness_timeout`.
        """
        if name == self.name:
            return True
        origin = self._origin_by_name.get(name)
        if origin is None:
            return False
        age = self._clock.monotonic() - origin.last_seen_at
        return age < (timeout or self.remote_liveness_timeout)

    def ages(self) -> dict[str, timedelta]:
        """Return the time since the last heartbeat of each router; 0 for this one."""
        now = self._clock.monotonic()
        ages = {
            name: now - origin.last_seen_at
            for name, origin in self._origin_by_name.items()
        }
        ages[self.name] = timedelta(0)
        return ages

    def age(self, name: str) -> timedelta:
        """Return the time since a router's last heartbeat."""
        return self._clock.monotonic() - self._origin_by_name[name].last_seen_at

    def values(self, topic: Topic, *, live_only: bool = True) -> dict[str, bytes]:
        """Return the values of a topic by router."""
        return {
            entry.origin: entry.value
            for entry in self.entries(topic)
            if not live_only or self.is_live(entry.origin)
        }

    def entries(self, topic: Topic) -> Iterator[Entry]:
        """Yield the entries of a topic, also those of routers that are not live."""
        for origin in self._origin_by_name.values():
            entry = origin.entry_by_topic.get(topic)
            if entry is not None:
                yield entry

    def own_entry(self, topic: Topic) -> Entry | None:
        """Return this router's entry of a topic."""
        return self._own.entry_by_topic.get(topic)

    def expire(self) -> None:
        """Remove routers without a heartbeat for `EXPIRY_TIME`."""
        now = self._clock.monotonic()
        for name in list(self._origin_by_name):
            last_seen_at = self._origin_by_name[name].last_seen_at
            if name != self.name and now - last_seen_at > EXPIRY_TIME:
                del self._origin_by_name[name]

    @property
    def _own(self) -> _OriginState:
        return self._origin_by_name[self.name]

    def _origin_at(self, name: str, incarnation: int) -> _OriginState | None:
        """Return a router's state, reset if it restarted; ``None`` if outdated."""
        origin = self._origin_by_name.get(name)
        if origin is not None and origin.incarnation > incarnation:
            return None
        if origin is None or origin.incarnation < incarnation:
            # Not live until a heartbeat of this incarnation arrives.
            stale_at = self._clock.monotonic() - self.remote_liveness_timeout
            origin = _OriginState(incarnation, 0, stale_at)
            self._origin_by_name[name] = origin
        return origin

    def _refute(self, incarnation: int) -> None:
        """Raise this router's incarnation above that of an earlier process.

        The earlier process has the larger incarnation if the wall clock was set back
        between the two starts.
        """
        own = self._own
        if incarnation <= own.incarnation:
            return
        own.incarnation = incarnation + 1
        for topic, entry in own.entry_by_topic.items():
            own.entry_by_topic[topic] = Entry(
                entry.origin, own.incarnation, topic, entry.sequence, entry.value
            )
