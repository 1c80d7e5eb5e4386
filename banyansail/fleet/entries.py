"""Values that routers share, and the versioned entries that carry them."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import IntEnum

from banyansail.config.fields import Address

LAST_STEP = 3


class Topic(IntEnum):
    """What an entry is about; each router has at most one entry of a topic."""

    MEMBER = 0
    LEAVING = 1
    LOADS = 2
    DEATHS = 3
    EVIDENCE = 4
    STATEMENTS = 5
    ZONE_EVIDENCE = 6
    TRAFFIC = 7


@dataclass(slots=True, frozen=True)
class Member:
    """A router and the rules that it has in force.

    Parameters
    ----------
    rules_version : int
        Version in force; 0 for none.
    rules_since : datetime
        Since when.
    is_ready : bool
        Whether it serves callers.
    is_leaving : bool
        Whether it is being stopped.
    """

    zone: str
    region: str
    peer: Address
    rules_version: int
    rules_since: datetime
    is_ready: bool
    is_leaving: bool


@dataclass(slots=True, frozen=True)
class Entry:
    """A value of one writer; the highest sequence of the highest incarnation wins.

    Parameters
    ----------
    origin : str
        Router that wrote the value; nobody else does.
    incarnation : int
        Grows with each restart of the router.
    sequence : int
        Grows with each value of the topic.
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
    """What a router has heard of another.

    Parameters
    ----------
    heartbeat : int
        Latest heartbeat of the origin.
    age : timedelta
        Time since that heartbeat was first heard of.
    sequences : tuple of int
        Sequence of the entry of each topic that is compared, 0 for none.
    """

    origin: str
    incarnation: int
    heartbeat: int
    age: timedelta
    sequences: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class Gossip:
    """One datagram.

    Parameters
    ----------
    origin, zone : str
        Who sends it, and from where.
    step : int
        Place in an exchange: 0 begins it, each reply is one further, and
        `LAST_STEP` gets no reply. News that is pushed has `LAST_STEP`.
    """

    origin: str
    zone: str
    entries: tuple[Entry, ...]
    digests: tuple[Digest, ...]
    step: int
