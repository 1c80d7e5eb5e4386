"""Group commit of one shard's operations: many in one conditional update."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, task

from banyansail.coordination.budget import CallKind
from banyansail.exceptions import ConflictError, PlatformUnavailableError
from banyansail.ledger.archive import ShardArchive
from banyansail.ledger.codec import decode_head, encode_head
from banyansail.ledger.records import (
    FinishKey,
    Operation,
    ReleaseKey,
    Result,
    ShardHead,
    StartKey,
)

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.coordination.client import PlatformClient, StoredObject

GROUP_COMMIT_INTERVAL = timedelta(milliseconds=25)  # minimum between a shard's writes
OUTCOME_DELAY = timedelta(milliseconds=500)  # lets outcomes share a write with others
UNWRITTEN_RETRY_DELAY = timedelta(seconds=2)
MAX_WRITE_ATTEMPTS = 12
MAX_CALLS_PER_WRITE = 3  # a segment, a page and the head
MAX_UNWRITTEN = 1000


@dataclass(slots=True)
class _PendingOperation:
    operation: Operation
    done: defer.Deferred[Result]


class ShardCommitter:
    """Group commit of one shard, with one write in flight at a time.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    platform : PlatformClient
        Client of the store that holds the shard.
    key : str
        Key of the shard's head.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_archive",
        "_clock",
        "_head",
        "_is_writing",
        "_key",
        "_last_write",
        "_pending",
        "_platform",
        "_reactor",
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
        self._pending: list[_PendingOperation] = []
        self._unwritten: dict[str, ReleaseKey | FinishKey] = {}
        self._head: ShardHead | None = None
        self._archive = ShardArchive(platform, key)
        self._version = 0
        self._is_writing = False
        self._last_write = -GROUP_COMMIT_INTERVAL
        self._timer: Any = None
        self.writes = 0

    def submit(self, operation: Operation) -> defer.Deferred[Result]:
        """Queue an operation.

        The deferred fails with `PlatformUnavailableError` if the outcome is unknown.
        A key whose start failed this way is released once the platform is reachable.
        """
        pending = _PendingOperation(operation, defer.Deferred(_ignore_cancel))
        self._pending.append(pending)
        is_urgent = isinstance(operation, StartKey)
        self._schedule(self._time_until_next_group() if is_urgent else OUTCOME_DELAY)
        return pending.done

    def close(self) -> None:
        """Start the write of the pending operations without delay."""
        self._schedule(timedelta(0))

    def _time_until_next_group(self) -> timedelta:
        elapsed = self._clock.monotonic() - self._last_write
        return max(GROUP_COMMIT_INTERVAL - elapsed, timedelta(0))

    def _schedule(self, delay: timedelta) -> None:
        if self._is_writing:
            return
        due_s = self._reactor.seconds() + delay.total_seconds()
        if self._timer is not None and self._timer.active():
            if self._timer.getTime() <= due_s:
                return
            self._timer.cancel()
        self._timer = self._reactor.callLater(delay.total_seconds(), self._start_write)

    def _start_write(self) -> None:
        if self._is_writing or not self._pending:
            return
        wait = self._platform.time_until(CallKind.LEDGER, MAX_CALLS_PER_WRITE)
        if wait:
            self._schedule(wait)  # later operations join the group
            return
        self._is_writing = True
        batch, self._pending = self._pending, []
        done = defer.Deferred.fromCoroutine(self._write_batch(batch))
        done.addBoth(self._finish_write)

    def _finish_write(self, _: object) -> None:
        self._is_writing = False
        self._last_write = self._clock.monotonic()
        if not self._pending:
            return
        has_starts = any(isinstance(item.operation, StartKey) for item in self._pending)
        self._schedule(GROUP_COMMIT_INTERVAL if has_starts else OUTCOME_DELAY)

    async def _write_batch(self, batch: list[_PendingOperation]) -> None:
        operations = [item.operation for item in batch]
        try:
            results = await self._commit(operations)
        except PlatformUnavailableError as error:
            self._head = None
            self._fail_batch(batch, error)
            return
        except Exception as error:  # an undecodable body must not leave callers waiting
            self._head = None
            text = f"{self._key}: {error!r}"
            self._fail_batch(batch, PlatformUnavailableError(text))
            return
        for item, result in zip(batch, results, strict=True):
            _resolve(item.done, result)

    async def _commit(self, operations: list[Operation]) -> list[Result]:
        is_fresh = False
        if self._head is None:
            await self._reload()
            is_fresh = True
        for attempt in range(MAX_WRITE_ATTEMPTS):
            results, changed, head = await self._apply(operations)
            if not changed and is_fresh:
                return results
            if not changed:
                # Results from the cached head alone may be stale.
                await self._reload()
                is_fresh = True
                continue
            if await self._put_head(head):
                return results
            is_fresh = True
            if attempt:
                await task.deferLater(self._reactor, 0.005 * attempt)
        raise PlatformUnavailableError(
            f"{self._key}: {MAX_WRITE_ATTEMPTS} writes failed"
        )

    async def _put_head(self, head: ShardHead) -> bool:
        await self._archive.seal(head, self._platform.server_time())
        body = encode_head(head)
        self.writes += 1
        try:
            self._version = await self._platform.put(
                self._key, body, self._version, CallKind.LEDGER
            )
        except (ConflictError, PlatformUnavailableError):
            # If only the answer was lost, the retried operations find their own
            # claimants in the head that is read here.
            await self._reload()
            return False
        self._head = head
        await self._archive.load_pages(head)
        return True

    async def _apply(
        self, operations: list[Operation]
    ) -> tuple[list[Result], bool, ShardHead]:
        now = self._platform.server_time()
        head = self._head.copy()
        head.expire(now)
        new_keys = {
            item.key
            for item in operations
            if isinstance(item, StartKey) and item.key not in head.record_by_key
        }
        head.sealed_record_by_key = await self._archive.find(head, new_keys)
        outcomes = [head.apply(operation, now) for operation in operations]
        changed = any(change for _, change in outcomes)
        return [result for result, _ in outcomes], changed, head

    async def _reload(self) -> None:
        stored: StoredObject = await self._platform.get(self._key, CallKind.LEDGER)
        head = decode_head(stored.body)
        await self._archive.load_pages(head)
        self._version = stored.version
        self._head = head

    def _fail_batch(
        self, batch: list[_PendingOperation], error: PlatformUnavailableError
    ) -> None:
        for item in batch:
            match item.operation:
                case StartKey(key, claimant_id):
                    self._retry_later(ReleaseKey(key, claimant_id))
                case ReleaseKey() | FinishKey():
                    self._retry_later(item.operation)
            if not item.done.called:
                item.done.errback(error)

    def _retry_later(self, operation: ReleaseKey | FinishKey) -> None:
        """Queue a retry of an operation that no other router can perform."""
        if len(self._unwritten) < MAX_UNWRITTEN:
            self._unwritten[operation.claimant_id] = operation
        if len(self._unwritten) == 1:
            delay = UNWRITTEN_RETRY_DELAY.total_seconds()
            self._reactor.callLater(delay, self._retry_unwritten)

    def _retry_unwritten(self) -> None:
        operations, self._unwritten = self._unwritten, {}
        for operation in operations.values():
            self.submit(operation).addErrback(lambda failure: None)


def _resolve(done: defer.Deferred[Result], result: Result) -> None:
    if not done.called:
        done.callback(result)


def _ignore_cancel(_: object) -> None:
    """Ignore a cancellation by the submitter; the operation is still written."""
