"""Writes the operations of one shard, many in one conditional update."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, task

from banyansail.coordination.budget import CallKind
from banyansail.exceptions import ConflictError, PlatformUnavailableError
from banyansail.ledger.archive import ShardArchive
from banyansail.ledger.codec import decode_records, encode_records
from banyansail.ledger.records import (
    FinishKey,
    Operation,
    ReleaseKey,
    Result,
    ShardRecords,
    StartKey,
)

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.coordination.client import PlatformClient, StoredObject

GROUP_WINDOW = timedelta(milliseconds=25)  # least time between writes of a shard
OUTCOME_DELAY = timedelta(milliseconds=500)  # outcomes wait for company this long
UNWRITTEN_RETRY = timedelta(seconds=2)
MAX_TRIES = 12
CALLS_OF_A_WRITE = 3  # a segment, a page and the head
MAX_UNWRITTEN = 1000


@dataclass(slots=True)
class _Pending:
    operation: Operation
    done: defer.Deferred[Result]


class ShardCommitter:
    """Group commit of one shard; one write is in flight at a time.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    platform : PlatformClient
        Holds the shard's object.
    key : str
        Key of the shard's object.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_archive",
        "_clock",
        "_is_writing",
        "_key",
        "_last_write",
        "_pending",
        "_platform",
        "_reactor",
        "_records",
        "_timer",
        "_unwritten",
        "_version",
        "writes",
    )

    def __init__(
        self, reactor: Any, platform: PlatformClient, key: str, clock: Clock
    ) -> None:
        self._reactor = reactor
        self._platform = platform
        self._key = key
        self._clock = clock
        self._pending: list[_Pending] = []
        self._unwritten: dict[str, ReleaseKey | FinishKey] = {}
        self._records: ShardRecords | None = None
        self._archive = ShardArchive(platform, key)
        self._version = 0
        self._is_writing = False
        self._last_write = -GROUP_WINDOW
        self._timer: Any = None
        self.writes = 0

    def submit(self, operation: Operation) -> defer.Deferred[Result]:
        """Queue an operation.

        The deferred fails with `PlatformUnavailableError` if the outcome is not
        known; a key whose start failed so is released when the platform is back.
        """
        pending = _Pending(operation, defer.Deferred(_ignore_cancel))
        self._pending.append(pending)
        is_urgent = isinstance(operation, StartKey)
        self._schedule(self._wait_for_group() if is_urgent else OUTCOME_DELAY)
        return pending.done

    def close(self) -> None:
        """Write what waits at once."""
        self._schedule(timedelta(0))

    def _wait_for_group(self) -> timedelta:
        since = self._clock.monotonic() - self._last_write
        return max(GROUP_WINDOW - since, timedelta(0))

    def _schedule(self, delay: timedelta) -> None:
        if self._is_writing:
            return
        due = self._reactor.seconds() + delay.total_seconds()
        if self._timer is not None and self._timer.active():
            if self._timer.getTime() <= due:
                return
            self._timer.cancel()
        self._timer = self._reactor.callLater(delay.total_seconds(), self._begin)

    def _begin(self) -> None:
        if self._is_writing or not self._pending:
            return
        wait = self._platform.time_until(CallKind.LEDGER, CALLS_OF_A_WRITE)
        if wait:
            self._schedule(wait)  # the group grows meanwhile
            return
        self._is_writing = True
        batch, self._pending = self._pending, []
        done = defer.Deferred.fromCoroutine(self._write(batch))
        done.addBoth(self._end)

    def _end(self, _: object) -> None:
        self._is_writing = False
        self._last_write = self._clock.monotonic()
        if not self._pending:
            return
        starts = any(isinstance(item.operation, StartKey) for item in self._pending)
        self._schedule(GROUP_WINDOW if starts else OUTCOME_DELAY)

    async def _write(self, batch: list[_Pending]) -> None:
        operations = [item.operation for item in batch]
        try:
            results = await self._commit(operations)
        except PlatformUnavailableError as error:
            self._records = None
            self._fail(batch, error)
            return
        except Exception as error:  # a body that can't be read must not hang callers
            self._records = None
            text = f"{self._key}: {error!r}"
            self._fail(batch, PlatformUnavailableError(text))
            return
        for item, result in zip(batch, results, strict=True):
            _fire(item.done, result)

    async def _commit(self, operations: list[Operation]) -> list[Result]:
        is_fresh = False
        if self._records is None:
            await self._read()
            is_fresh = True
        for attempt in range(MAX_TRIES):
            results, changed, records = await self._apply(operations)
            if not changed and is_fresh:
                return results
            if not changed:
                # Results that rest on the cache alone may be out of date.
                await self._read()
                is_fresh = True
                continue
            if await self._put(records):
                return results
            is_fresh = True
            if attempt:
                await task.deferLater(self._reactor, 0.005 * attempt)
        raise PlatformUnavailableError(f"{self._key}: {MAX_TRIES} conflicts")

    async def _put(self, records: ShardRecords) -> bool:
        await self._archive.seal(records, self._platform.server_time())
        body = encode_records(records)
        self.writes += 1
        try:
            self._version = await self._platform.put(
                self._key, body, self._version, CallKind.LEDGER
            )
        except (ConflictError, PlatformUnavailableError):
            # After a lost answer the operations find their own attempts again.
            await self._read()
            return False
        self._records = records
        await self._archive.load(records)
        return True

    async def _apply(
        self, operations: list[Operation]
    ) -> tuple[list[Result], bool, ShardRecords]:
        now = self._platform.server_time()
        records = self._records.copy()
        records.expire(now)
        wanted = {
            item.key
            for item in operations
            if isinstance(item, StartKey) and item.key not in records.record_by_key
        }
        records.sealed_by_key = await self._archive.find(records, wanted)
        outcomes = [records.apply(operation, now) for operation in operations]
        changed = any(change for _, change in outcomes)
        return [result for result, _ in outcomes], changed, records

    async def _read(self) -> None:
        stored: StoredObject = await self._platform.get(self._key, CallKind.LEDGER)
        records = decode_records(stored.body)
        await self._archive.load(records)
        self._version = stored.version
        self._records = records

    def _fail(self, batch: list[_Pending], error: PlatformUnavailableError) -> None:
        for item in batch:
            match item.operation:
                case StartKey(key, attempt):
                    self._write_later(ReleaseKey(key, attempt))
                case ReleaseKey() | FinishKey():
                    self._write_later(item.operation)
            if not item.done.called:
                item.done.errback(error)

    def _write_later(self, operation: ReleaseKey | FinishKey) -> None:
        """Try again what only this router can tell, when the platform may be back."""
        if len(self._unwritten) < MAX_UNWRITTEN:
            self._unwritten[operation.attempt] = operation
        if len(self._unwritten) == 1:
            delay = UNWRITTEN_RETRY.total_seconds()
            self._reactor.callLater(delay, self._retry_unwritten)

    def _retry_unwritten(self) -> None:
        operations, self._unwritten = self._unwritten, {}
        for operation in operations.values():
            self.submit(operation).addErrback(lambda failure: None)


def _fire(done: defer.Deferred[Result], result: Result) -> None:
    if not done.called:
        done.callback(result)


def _ignore_cancel(_: object) -> None:
    """Let a cancelled waiter go; the operation itself is still written."""
