"""Data classes of the gossip: versioned entries, digests and datagrams."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import IntEnum, IntFlag

from banyansail.config.fields import Address

LAST_STEP = 3


class Topic(IntEnum):
    """Kind of value in an entry; each router has at most one entry per topic."""

    MEMBER = 0
    LEAVING = 1
    LOADS = 2
    DEATHS = 3
    EVIDENCE = 4
    STATEMENTS = 5
    ZONE_EVIDENCE = 6
    TRAFFIC = 7
    ZONE_TRAFFIC = 8
    FLEET_TRAFFIC = 9
    USAGE = 10


class Feature(IntFlag):
    """What a router understands beyond the messages of the build c1e6479.

    Bits of newer builds are kept.
    """

    ANSWERS_UNKNOWN_CALLS = 1  # with `NotSupported`
    RELAYS_STORE_CHANGES = 2
    REACH_INCARNATION = 4


NO_FEATURES = Feature(0)

# Sent directly to some routers, never pushed and not part of digests.
DIRECT_TOPICS = (
    Topic.EVIDENCE,
    Topic.TRAFFIC,
    Topic.ZONE_TRAFFIC,
    Topic.FLEET_TRAFFIC,
    Topic.USAGE,
)


@dataclass(slots=True, frozen=True)
class EvacuationMark:
    """Whether a data centre is evacuated, as of a revision of the store.

    Parameters
    ----------
    era, revision : int
        Of the store; the newer pair wins.
    is_in_force : bool
        Whether nothing may be sent to the data centre.
    """

    zone: str
    era: int
    revision: int
    is_in_force: bool

    @property
    def precedence(self) -> tuple[int, int, bool]:
        """Order of marks; an end wins at the same revision."""
        return self.era, self.revision, not self.is_in_force


@dataclass(slots=True, frozen=True)
class Member:
    """State that a router publishes about itself.

    Parameters
    ----------
    peer : Address
        Address for gossip and for calls from other routers.
    rules_version : int
        Version of the rules in force; 0 for none.
    rules_since : datetime
        Time when that version came into force.
    is_ready : bool
        Whether the router accepts requests of callers.
    is_leaving : bool
        Whether the router is draining before it stops.
    store_era : int
        Highest era of the platform's store that the router knows; 0 for none.
    relay_port : int
        Port at which it serves requests for other routers; 0 for none.
    is_cut_off : bool
        Whether it reaches no upstream.
    features : Feature
        What it understands; none for an older build.
    evacuations : tuple of EvacuationMark
        Evacuations that it knows, those that ended included.
    """

    zone: str
    region: str
    peer: Address
    rules_version: int
    rules_since: datetime
    is_ready: bool
    is_leaving: bool
    store_era: int = 0
    relay_port: int = 0
    is_cut_off: bool = False
    features: Feature = NO_FEATURES
    evacuations: tuple[EvacuationMark, ...] = ()

    @property
    def relay(self) -> Address | None:
        """Address at which the router serves requests for other routers."""
        return Address(self.peer.host, self.relay_port) if self.relay_port else None


@dataclass(slots=True, frozen=True)
class Entry:
    """Versioned value of one router and topic.

    Of two entries, that of the higher incarnation is newer; within an incarnation, that
    of the higher sequence.

    Parameters
    ----------
    origin : str
        Router that wrote the value; the only writer of its entries.
    incarnation : int
        Increases with each restart of the router.
    sequence : int
        Increases with each new value of the topic.
    value : bytes
        Packed Cap'n Proto struct of the topic.
    """

    origin: str
    incarnation: int
    topic: Topic
    sequence: int
    value: bytes


@dataclass(slots=True, frozen=True)
class Digest:
    """Summary of the entries and heartbeats of one router that the sender has.

    Parameters
    ----------
    heartbeat : int
        Latest heartbeat of the origin.
    age : timedelta
        Time since that heartbeat was first received.
    sequences : tuple of int
        Sequence of the entry of each compared topic; 0 for no entry.
    """

    origin: str
    incarnation: int
    heartbeat: int
    age: timedelta
    sequences: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class Gossip:
    """Content of one datagram.

    Parameters
    ----------
    origin, zone : str
        Name and zone of the sender.
    step : int
        Position in an exchange: 0 for the request, one more for each reply. A
        datagram with `LAST_STEP` gets no reply; pushed entries carry `LAST_STEP`.
    unknown_entries : int
        Received entries that were skipped, as their topics are those of a newer build.
    """

    origin: str
    zone: str
    entries: tuple[Entry, ...]
    digests: tuple[Digest, ...]
    step: int
    unknown_entries: int = 0
