"""Records of keys and the operations on them; no input or output.

An operation may be applied again after its outcome was lost: it then finds its own
attempt in the record and has the same result.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from enum import Enum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from banyansail.ledger.key_index import PageRef, Segment

RETENTION = timedelta(hours=24)
MAX_SHARD_BYTES = 900 * 1024  # below the platform's limit of 1 MB a value
MAX_KEPT_ANSWER_BYTES = 2048
RECORD_OVERHEAD_BYTES = 96
SEAL_BYTES = 64 * 1024  # a larger head has its settled records sealed
SEAL_AGE = timedelta(minutes=5)  # longer than any attempt is waited for


class KeyState(Enum):
    """What is known of a key."""

    STARTED = "started"
    DONE = "done"
    RELEASED = "released"


@dataclass(slots=True, frozen=True)
class KeptAnswer:
    """Answer that a repeat of the key gets.

    Parameters
    ----------
    body : str or None
        ``None`` if the body was too large to keep.
    """

    status: int
    content_type: str
    body: str | None


@dataclass(slots=True, frozen=True)
class Record:
    """What the journal holds of one key.

    Parameters
    ----------
    attempt : str
        The only attempt that may send the call.
    fingerprint : int
        Hash of the call, so that a key used for another call is noticed.
    at : datetime
        Time of the platform when the key was started.
    """

    state: KeyState
    attempt: str
    fingerprint: int
    at: datetime
    answer: KeptAnswer | None = None


@dataclass(slots=True, frozen=True)
class StartKey:
    """Claim a key for one attempt."""

    key: str
    attempt: str
    fingerprint: int


@dataclass(slots=True, frozen=True)
class FinishKey:
    """Record the answer that an attempt got."""

    key: str
    attempt: str
    answer: KeptAnswer


@dataclass(slots=True, frozen=True)
class ReleaseKey:
    """Give a key back because its attempt has not sent the call and never will."""

    key: str
    attempt: str


Operation = StartKey | FinishKey | ReleaseKey


@dataclass(slots=True, frozen=True)
class Started:
    """The attempt may send the call."""


@dataclass(slots=True, frozen=True)
class InFlight:
    """Another attempt may have sent the call; its outcome is not known yet."""

    attempt: str


@dataclass(slots=True, frozen=True)
class Finished:
    """The call was run and this was its answer."""

    answer: KeptAnswer


@dataclass(slots=True, frozen=True)
class KeyMismatch:
    """The key was used for another call."""


@dataclass(slots=True, frozen=True)
class ShardFull:
    """There is no room for a new key."""


@dataclass(slots=True, frozen=True)
class Recorded:
    """An outcome or a release was taken in, or was superseded."""


Result = Started | InFlight | Finished | KeyMismatch | ShardFull | Recorded


class ShardRecords:
    """Records in the head of one shard, and what it names besides.

    Parameters
    ----------
    record_by_key : dict
        Records of the head.
    segments : tuple of Segment
        Segments that the head lists, from the oldest to the newest.
    pages : tuple of PageRef
        Pages of older segments, from the oldest to the newest.

    Attributes
    ----------
    sealed_by_key : dict
        Newest sealed records of the keys that are about to be started.
    """

    __slots__ = ("_bytes", "pages", "record_by_key", "sealed_by_key", "segments")

    def __init__(
        self,
        record_by_key: dict[str, Record] | None = None,
        segments: tuple[Segment, ...] = (),
        pages: tuple[PageRef, ...] = (),
    ) -> None:
        self.record_by_key = record_by_key or {}
        self.segments = segments
        self.pages = pages
        self.sealed_by_key: dict[str, Record] = {}
        self._bytes = sum(
            _size(key, record) for key, record in self.record_by_key.items()
        )

    def copy(self) -> ShardRecords:
        """Return a copy whose head can be changed on its own."""
        copied = ShardRecords(None, self.segments, self.pages)
        copied.record_by_key = dict(self.record_by_key)
        copied._bytes = self._bytes
        return copied

    def sealable(self, now: datetime) -> dict[str, Record]:
        """Return the records to be sealed now; none while the head is small.

        Records whose outcome may still come stay in the head.
        """
        if self._bytes <= SEAL_BYTES:
            return {}
        return {
            key: record
            for key, record in self.record_by_key.items()
            if record.state is KeyState.DONE or now - record.at > SEAL_AGE
        }

    def seal(self, segment: Segment, sealed: dict[str, Record]) -> None:
        """Move records from the head to a segment that has been written."""
        self.segments = (*self.segments, segment)
        for key, record in sealed.items():
            del self.record_by_key[key]
            self._bytes -= _size(key, record)

    def apply(self, operation: Operation, now: datetime) -> tuple[Result, bool]:
        """Apply an operation.

        Returns
        -------
        result : Result
            Outcome of the operation.
        changed : bool
            Whether the records changed and must be written.
        """
        match operation:
            case StartKey():
                return self._start(operation, now)
            case FinishKey(key, attempt, answer):
                return self._move(key, attempt, KeyState.DONE, answer)
            case ReleaseKey(key, attempt):
                return self._move(key, attempt, KeyState.RELEASED, None)

    def expire(self, now: datetime) -> None:
        """Drop records older than the retention, by the platform's time."""
        old = [
            key
            for key, record in self.record_by_key.items()
            if now - record.at > RETENTION
        ]
        for key in old:
            self._bytes -= _size(key, self.record_by_key.pop(key))
        self.segments = unexpired(self.segments, now)
        self.pages = unexpired(self.pages, now)

    def _start(self, operation: StartKey, now: datetime) -> tuple[Result, bool]:
        record = self.record_by_key.get(operation.key)
        if record is None:
            record = self.sealed_by_key.get(operation.key)
        if record is None or record.state is KeyState.RELEASED:
            return self._claim(operation, now)
        if record.fingerprint != operation.fingerprint:
            return KeyMismatch(), False
        if record.state is KeyState.DONE:
            return Finished(record.answer), False
        if record.attempt == operation.attempt:
            return Started(), False
        return InFlight(record.attempt), False

    def _claim(self, operation: StartKey, now: datetime) -> tuple[Result, bool]:
        record = Record(KeyState.STARTED, operation.attempt, operation.fingerprint, now)
        size = _size(operation.key, record)
        if self._bytes + size > MAX_SHARD_BYTES:
            return ShardFull(), False
        self._put(operation.key, record)
        return Started(), True

    def _move(
        self, key: str, attempt: str, state: KeyState, answer: KeptAnswer | None
    ) -> tuple[Result, bool]:
        record = self.record_by_key.get(key)
        owned = record is not None and record.attempt == attempt
        if not owned or record.state is not KeyState.STARTED:
            return Recorded(), False
        self._put(key, replace(record, state=state, answer=answer))
        return Recorded(), True

    def _put(self, key: str, record: Record) -> None:
        before = self.record_by_key.get(key)
        if before is not None:
            self._bytes -= _size(key, before)
        self.record_by_key[key] = record
        self._bytes += _size(key, record)


def unexpired(items: tuple[Any, ...], now: datetime) -> tuple[Any, ...]:
    """Return the segments or pages whose newest record is within the retention."""
    return tuple(item for item in items if now - item.newest <= RETENTION)


def _size(key: str, record: Record) -> int:
    size = RECORD_OVERHEAD_BYTES + len(key) + len(record.attempt)
    if record.answer is not None and record.answer.body is not None:
        size += 2 * len(record.answer.body)
    return size
