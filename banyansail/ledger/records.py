"""Records of idempotency keys and the operations on them, without I/O.

Operations are idempotent: one that is applied again after its outcome was lost finds
its own claimant in the record and has the same result. A claimant is one request of a
caller at one router; a repeated request with the same key is another claimant.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from enum import Enum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from banyansail.ledger.key_index import PageRef, Segment

RETENTION = timedelta(hours=24)
MAX_SHARD_BYTES = 900 * 1024  # below the platform's limit of 1 MB per value
MAX_STORED_ANSWER_BYTES = 2048
RECORD_OVERHEAD_BYTES = 96
SEAL_THRESHOLD_BYTES = 64 * 1024  # settled records of a larger head are sealed
SEAL_MIN_AGE = timedelta(minutes=5)  # longer than the timeout of any call


class KeyState(Enum):
    """State of a key; `DONE` and `RELEASED` are settled."""

    STARTED = "started"
    DONE = "done"
    RELEASED = "released"
    UNKNOWN = "unknown"  # of a newer build; the call may have run


@dataclass(slots=True, frozen=True)
class StoredAnswer:
    """Answer returned to repeated calls with the same key.

    Parameters
    ----------
    body : str or None
        ``None`` if the body was too large to store.
    """

    status: int
    content_type: str
    body: str | None


@dataclass(slots=True, frozen=True)
class Record:
    """Ledger entry of one key.

    Parameters
    ----------
    claimant_id : str
        The only claimant that may send the call.
    fingerprint : int
        Hash of the call, which detects that the key is reused for a different call.
    started_at : datetime
        Platform time at which the key was started.
    unknown_state : str
        Word of a state that only a newer build knows; empty for a known state.
    further : tuple
        Elements that a newer build added, which are kept as they are.
    """

    state: KeyState
    claimant_id: str
    fingerprint: int
    started_at: datetime
    answer: StoredAnswer | None = None
    unknown_state: str = ""
    further: tuple[Any, ...] = ()


@dataclass(slots=True, frozen=True)
class StartKey:
    """Claim a key."""

    key: str
    claimant_id: str
    fingerprint: int


@dataclass(slots=True, frozen=True)
class FinishKey:
    """Record the answer that the claimant received."""

    key: str
    claimant_id: str
    answer: StoredAnswer


@dataclass(slots=True, frozen=True)
class ReleaseKey:
    """Release a key whose claimant has not sent the call and never will."""

    key: str
    claimant_id: str


Operation = StartKey | FinishKey | ReleaseKey


@dataclass(slots=True, frozen=True)
class Started:
    """The claimant may send the call."""


@dataclass(slots=True, frozen=True)
class InFlight:
    """Another claimant may have sent the call; its outcome is still unknown."""

    claimant_id: str


@dataclass(slots=True, frozen=True)
class Finished:
    """The call ran and returned this answer."""

    answer: StoredAnswer


@dataclass(slots=True, frozen=True)
class KeyMismatch:
    """The key was already used for a different call."""


@dataclass(slots=True, frozen=True)
class ShardFull:
    """The shard has no room for a new key."""


@dataclass(slots=True, frozen=True)
class Recorded:
    """The outcome or release was recorded, or was superseded by another claimant."""


Result = Started | InFlight | Finished | KeyMismatch | ShardFull | Recorded


class ShardHead:
    """Head object of one shard: recent records and references to sealed ones.

    Parameters
    ----------
    record_by_key : dict
        Records in the head itself.
    segments : tuple of Segment
        Segments listed in the head, from the oldest to the newest.
    pages : tuple of PageRef
        Pages of older segments, from the oldest to the newest.

    Attributes
    ----------
    sealed_record_by_key : dict
        Newest sealed records of the keys that are about to be started.
    """

    __slots__ = ("_bytes", "pages", "record_by_key", "sealed_record_by_key", "segments")

    def __init__(
        self,
        record_by_key: dict[str, Record] | None = None,
        segments: tuple[Segment, ...] = (),
        pages: tuple[PageRef, ...] = (),
    ) -> None:
        self.record_by_key = record_by_key or {}
        self.segments = segments
        self.pages = pages
        self.sealed_record_by_key: dict[str, Record] = {}
        self._bytes = sum(
            _record_size(key, record) for key, record in self.record_by_key.items()
        )

    def copy(self) -> ShardHead:
        """Return a copy whose records can be changed independently."""
        copied = ShardHead(None, self.segments, self.pages)
        copied.record_by_key = dict(self.record_by_key)
        copied._bytes = self._bytes
        return copied

    def sealable_records(self, now: datetime) -> dict[str, Record]:
        """Return the records to seal now; none while the head is small.

        Records whose outcome may still be reported stay in the head.
        """
        if self._bytes <= SEAL_THRESHOLD_BYTES:
            return {}
        return {
            key: record
            for key, record in self.record_by_key.items()
            if record.state is KeyState.DONE or now - record.started_at > SEAL_MIN_AGE
        }

    def seal(self, segment: Segment, sealed: dict[str, Record]) -> None:
        """Replace records in the head by the written segment that holds them."""
        self.segments = (*self.segments, segment)
        for key, record in sealed.items():
            del self.record_by_key[key]
            self._bytes -= _record_size(key, record)

    def apply(self, operation: Operation, now: datetime) -> tuple[Result, bool]:
        """Apply an operation.

        Returns
        -------
        result : Result
            Outcome of the operation.
        changed : bool
            Whether the head changed and must be written.
        """
        match operation:
            case StartKey():
                return self._start(operation, now)
            case FinishKey(key, claimant_id, answer):
                return self._settle(key, claimant_id, KeyState.DONE, answer)
            case ReleaseKey(key, claimant_id):
                return self._settle(key, claimant_id, KeyState.RELEASED, None)

    def expire(self, now: datetime) -> None:
        """Remove records older than the retention, by the platform's time."""
        old = [
            key
            for key, record in self.record_by_key.items()
            if now - record.started_at > RETENTION
        ]
        for key in old:
            self._bytes -= _record_size(key, self.record_by_key.pop(key))
        self.segments = unexpired(self.segments, now)
        self.pages = unexpired(self.pages, now)

    def _start(self, operation: StartKey, now: datetime) -> tuple[Result, bool]:
        record = self.record_by_key.get(operation.key)
        if record is None:
            record = self.sealed_record_by_key.get(operation.key)
        if record is None or record.state is KeyState.RELEASED:
            return self._claim(operation, now)
        if record.fingerprint != operation.fingerprint:
            return KeyMismatch(), False
        if record.state is KeyState.DONE:
            return Finished(record.answer), False
        is_claimant = record.claimant_id == operation.claimant_id
        if is_claimant and record.state is KeyState.STARTED:
            return Started(), False
        return InFlight(record.claimant_id), False

    def _claim(self, operation: StartKey, now: datetime) -> tuple[Result, bool]:
        record = Record(
            KeyState.STARTED, operation.claimant_id, operation.fingerprint, now
        )
        size = _record_size(operation.key, record)
        if self._bytes + size > MAX_SHARD_BYTES:
            return ShardFull(), False
        self._put(operation.key, record)
        return Started(), True

    def _settle(
        self, key: str, claimant_id: str, state: KeyState, answer: StoredAnswer | None
    ) -> tuple[Result, bool]:
        record = self.record_by_key.get(key)
        is_claimant = record is not None and record.claimant_id == claimant_id
        if not is_claimant or record.state is not KeyState.STARTED:
            return Recorded(), False
        self._put(key, replace(record, state=state, answer=answer))
        return Recorded(), True

    def _put(self, key: str, record: Record) -> None:
        previous = self.record_by_key.get(key)
        if previous is not None:
            self._bytes -= _record_size(key, previous)
        self.record_by_key[key] = record
        self._bytes += _record_size(key, record)


def unexpired(items: tuple[Any, ...], now: datetime) -> tuple[Any, ...]:
    """Return those segments or pages whose newest record is within the retention."""
    return tuple(item for item in items if now - item.newest_at <= RETENTION)


def _record_size(key: str, record: Record) -> int:
    size = RECORD_OVERHEAD_BYTES + len(key) + len(record.claimant_id)
    if record.answer is not None and record.answer.body is not None:
        size += 2 * len(record.answer.body)
    return size
