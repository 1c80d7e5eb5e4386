"""Claims and outcomes of keys, through the shard's owner where it answers."""

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

SHARDS = 8
# The second owner had the shard before the first one came, or reads it in now.
FORWARD_TIMEOUTS = (timedelta(seconds=1), timedelta(seconds=3))
AVOID_TIME = timedelta(seconds=5)  # an owner that did not answer is not asked


class Owners(Protocol):
    """Advice on which router groups the writes of a shard."""

    def higher_ranked(self, duty: str, count: int) -> list[str]:
        """Return the first routers that a duty falls to before this one."""


class Forwarder(Protocol):
    """Sends operations to other routers."""

    async def forward_operation(self, router: str, operation: Operation) -> Result:
        """Let another router write an operation.

        Raises
        ------
        WireError
            If no result came.
        """


class LedgerClient:
    """Journal of keys, sharded by their hash.

    Any router may write any shard: the conditional update decides. The owner is
    asked first because it groups the writes of all routers.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    platform : PlatformClient
        Holds the shards.
    clock : Clock
        Source of time.
    owners : Owners
        Who groups the writes of a shard.
    forwarder : Forwarder
        Sends operations to owners.
    """

    __slots__ = (
        "_avoided_until_by_owner",
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
        owners: Owners,
        forwarder: Forwarder,
    ) -> None:
        self._reactor = reactor
        self._platform = platform
        self._clock = clock
        self._owners = owners
        self._forwarder = forwarder
        self._committer_by_shard: dict[int, ShardCommitter] = {}
        self._avoided_until_by_owner: dict[str, timedelta] = {}

    def __enter__(self) -> LedgerClient:
        return self

    def __exit__(self, *exc_info: object) -> None:
        for committer in self._committer_by_shard.values():
            committer.close()

    @property
    def writes(self) -> int:
        """Conditional updates that this router made."""
        return sum(item.writes for item in self._committer_by_shard.values())

    async def perform(self, operation: Operation) -> Result:
        """Write an operation, through one of the owners of its shard if there is one.

        Only after two owners have not answered does this router write itself: it
        must read the shard's index first, which is large at a large site.

        Raises
        ------
        PlatformUnavailableError
            If the platform can't be reached.
        """
        duty = f"ledger/{shard_of(operation.key)}"
        owners = self._owners.higher_ranked(duty, len(FORWARD_TIMEOUTS))
        for owner, timeout in zip(owners, FORWARD_TIMEOUTS, strict=False):
            if self._is_avoided(owner):
                continue
            try:
                return await self._forward(owner, operation, timeout)
            except (WireError, defer.TimeoutError):
                # The same operation may be applied again, see records.
                until = self._clock.monotonic() + AVOID_TIME
                self._avoided_until_by_owner[owner] = until
        return await self.commit(operation)

    def _forward(
        self, owner: str, operation: Operation, timeout: timedelta
    ) -> defer.Deferred[Result]:
        forwarded = defer.Deferred.fromCoroutine(
            self._forwarder.forward_operation(owner, operation)
        )
        return forwarded.addTimeout(timeout.total_seconds(), self._reactor)

    def _is_avoided(self, owner: str) -> bool:
        until = self._avoided_until_by_owner.get(owner, timedelta(0))
        return self._clock.monotonic() < until

    async def commit(self, operation: Operation) -> Result:
        """Write an operation from this router."""
        return await self._committer(shard_of(operation.key)).submit(operation)

    def perform_later(self, operation: Operation) -> None:
        """Write an operation whose result nobody waits for."""
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
    return hash32(key) % SHARDS
