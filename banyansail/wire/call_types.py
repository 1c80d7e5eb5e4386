"""Calls between routers and their replies."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from banyansail.ledger.records import (
    Finished,
    FinishKey,
    InFlight,
    KeyMismatch,
    Recorded,
    ReleaseKey,
    ShardFull,
    Started,
    StartKey,
)
from banyansail.platform.store_objects import Revision, StoredObject


@dataclass(slots=True, frozen=True)
class FetchDocument:
    """Fetch a document if the called router has a newer version.

    Parameters
    ----------
    version : int
        Version that the caller has.
    """

    name: str
    version: int


@dataclass(slots=True, frozen=True)
class Document:
    """Document, such as the rules that a router applies."""

    version: int
    text: str


@dataclass(slots=True, frozen=True)
class StreamRecord:
    """State from which any router can resume a streamed answer.

    Parameters
    ----------
    body : bytes
        Body of the request.
    events : tuple of bytes
        Events delivered to the caller.
    """

    request_id: str
    service: str
    workspace: str
    body: bytes
    events: tuple[bytes, ...]


@dataclass(slots=True, frozen=True)
class StoreStream:
    """Store a stream's record at the called router."""

    record: StreamRecord


@dataclass(slots=True, frozen=True)
class FetchStream:
    """Fetch a stream's record from the called router."""

    request_id: str


@dataclass(slots=True, frozen=True)
class ReachUpstream:
    """Ask the called router whether it reaches an upstream."""

    upstream_id: str


@dataclass(slots=True, frozen=True)
class ReachIncarnation:
    """Ask the called router whether it reaches one process of an upstream.

    Parameters
    ----------
    started_at : int
        Wall-clock start time of the process in milliseconds.
    """

    upstream_id: str
    started_at: int


@dataclass(slots=True, frozen=True)
class UnknownCall:
    """Call of a newer build; it is answered with `NotSupported`."""


@dataclass(slots=True, frozen=True)
class Reached:
    """The upstream accepted a connection of the called router."""


@dataclass(slots=True, frozen=True)
class NotReached:
    """The upstream accepted no connection of the called router."""


@dataclass(slots=True, frozen=True)
class FollowStore:
    """Ask the called router for what changes in the store.

    Parameters
    ----------
    known : dict
        Revision of each kind that the caller has; ``None`` if it has no list of it.
    wait : timedelta
        Longest time to hold the call until there is a change.
    """

    known: dict[str, Revision | None]
    wait: timedelta


@dataclass(slots=True, frozen=True)
class KindChanges:
    """Changes of one kind since the revision that the caller has.

    Parameters
    ----------
    revision : Revision
        Revision that the caller has after it applied the changes.
    is_complete : bool
        Whether the objects are all that exist, as the changes alone are not known.
    lapsed : tuple of str
        Names that the store lost, perhaps only because of an outage.
    age : timedelta
        Time since the state was last known to be current.
    """

    kind: str
    revision: Revision
    is_complete: bool
    objects: tuple[StoredObject, ...]
    deleted: tuple[str, ...]
    lapsed: tuple[str, ...]
    age: timedelta

    @property
    def has_news(self) -> bool:
        """Whether the caller learns of anything but the age."""
        return self.is_complete or bool(self.objects or self.deleted)


@dataclass(slots=True, frozen=True)
class StoreChanges:
    """Changes in the store.

    Parameters
    ----------
    held : timedelta
        Time from the receipt of the call to this reply.
    """

    kinds: tuple[KindChanges, ...]
    held: timedelta


@dataclass(slots=True, frozen=True)
class Unavailable:
    """The called router could not perform the call."""

    reason: str


@dataclass(slots=True, frozen=True)
class EmptyReply:
    """The router has nothing to return."""


@dataclass(slots=True, frozen=True)
class NotSupported:
    """The called router does not know the call, or this one does not know the reply."""


PeerCall = (
    StartKey
    | FinishKey
    | ReleaseKey
    | FetchDocument
    | StoreStream
    | FetchStream
    | ReachUpstream
    | ReachIncarnation
    | FollowStore
)
PeerReply = (
    Started
    | InFlight
    | Finished
    | KeyMismatch
    | ShardFull
    | Recorded
    | Unavailable
    | Document
    | StreamRecord
    | EmptyReply
    | Reached
    | NotReached
    | NotSupported
    | StoreChanges
)
