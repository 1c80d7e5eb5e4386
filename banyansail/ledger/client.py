"""Client of the ledger, which sends operations through the owner of a shard."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet import defer

from banyansail.exceptions import PlatformUnavailableError, WireError
from banyansail.ledger.committer import ShardCommitter
from banyansail.ledger.records import Operation, Result
from banyansail.utils import hash32

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.coordination.client import PlatformClient

SHARD_COUNT = 8
# The second owner owned the shard before the first one joined, or must load it first.
FORWARD_TIMEOUTS = (timedelta(seconds=1), timedelta(seconds=3))
OWNER_BACKOFF = timedelta(seconds=5)  # an owner that did not answer is skipped


class ShardOwners(Protocol):
    """Ranking of the routers that group the writes of a shard.

    It is advisory: a conditional update decides which write succeeds.
    """

    def higher_ranked(self, duty: str, count: int) -> list[str]:
        """Return up to `count` routers that rank above this one for a duty."""


class Forwarder(Protocol):
    """Sender of operations to other routers."""

    async def forward_operation(self, router: str, operation: Operation) -> Result:
        """Send an operation to another router, which writes it.

        Raises
        ------
        WireError
            If no result was received.
        """


class LedgerClient:
    """Ledger of idempotency keys, sharded by their hash.

    Any router may write any shard, as conditional updates resolve conflicts. The
    shard's owner is tried first because it groups the writes of all routers.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    platform : PlatformClient
        Client of the store that holds the shards.
    clock : Clock
        Source of time.
    owners : ShardOwners
        Ranking of the routers that group the writes of a shard.
    forwarder : Forwarder
        Sender of operations to owners.
    """

    __slots__ = (
        "_backoff_end_by_owner",
        "_clock",
        "_committer_by_shard",
        "_forwarder",
        "_owners",
        "_platform",
        "_reactor",
    )

    def __init__(
        self,
        reactor: Any,
        platform: PlatformClient,
        clock: Clock,
        owners: ShardOwners,
        forwarder: Forwarder,
    ) -> None:
        self._reactor = reactor
        self._platform = platform
        self._clock = clock
        self._owners = owners
        self._forwarder = forwarder
        self._committer_by_shard: dict[int, ShardCommitter] = {}
        self._backoff_end_by_owner: dict[str, timedelta] = {}

    def __enter__(self) -> LedgerClient:
        return self

    def __exit__(self, *exc_info: object) -> None:
        for committer in self._committer_by_shard.values():
            committer.close()

    @property
    def writes(self) -> int:
        """Number of conditional updates sent by this router."""
        return sum(item.writes for item in self._committer_by_shard.values())

    async def perform(self, operation: Operation) -> Result:
        """Write an operation, through an owner of its shard if one answers.

        This router writes without an owner only if two did not answer, because it has
        to read the shard's index first, which is large at a large site.

        Raises
        ------
        PlatformUnavailableError
            If the platform can't be reached.
        """
        duty = f"ledger/{shard_of(operation.key)}"
        owners = self._owners.higher_ranked(duty, len(FORWARD_TIMEOUTS))
        for owner, timeout in zip(owners, FORWARD_TIMEOUTS, strict=False):
            if self._is_backed_off(owner):
                continue
            try:
                return await self._forward(owner, operation, timeout)
            except (WireError, defer.TimeoutError):
                # Operations are idempotent (see `records`), so a retry is safe even
                # if this owner has applied it.
                until = self._clock.monotonic() + OWNER_BACKOFF
                self._backoff_end_by_owner[owner] = until
        return await self.commit(operation)

    def _forward(
        self, owner: str, operation: Operation, timeout: timedelta
    ) -> defer.Deferred[Result]:
        forwarded = defer.Deferred.fromCoroutine(
            self._forwarder.forward_operation(owner, operation)
        )
        return forwarded.addTimeout(timeout.total_seconds(), self._reactor)

    def _is_backed_off(self, owner: str) -> bool:
        until = self._backoff_end_by_owner.get(owner, timedelta(0))
        return self._clock.monotonic() < until

    async def commit(self, operation: Operation) -> Result:
        """Write an operation without forwarding it to an owner."""
        return await self._committer(shard_of(operation.key)).submit(operation)

    def perform_in_background(self, operation: Operation) -> None:
        """Write an operation without waiting for its result."""
        done = defer.Deferred.fromCoroutine(self.perform(operation))
        done.addErrback(lambda failure: failure.trap(PlatformUnavailableError) and None)

    def _committer(self, shard: int) -> ShardCommitter:
        committer = self._committer_by_shard.get(shard)
        if committer is None:
            key = f"ledger/{shard:03d}"
            committer = ShardCommitter(self._reactor, self._platform, key, self._clock)
            self._committer_by_shard[shard] = committer
        return committer


def shard_of(key: str) -> int:
    """Return the shard of a key."""
    return hash32(key) % SHARD_COUNT
