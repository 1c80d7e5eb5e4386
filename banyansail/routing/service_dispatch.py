"""Queue and upstream pools of one service at one router."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.routing.pool import UpstreamPool
from banyansail.routing.shares import Exposure

if TYPE_CHECKING:
    from banyansail.routing.queue import FairQueue
    from banyansail.routing.request_types import Ticket
    from banyansail.routing.shares import VersionShares

CAPACITY_CACHE_TTL = timedelta(milliseconds=100)
INITIAL_SERVICE_TIME = timedelta(milliseconds=200)  # before any call was measured


class ServiceDispatch:
    """Queue and upstream pools of one service."""

    __slots__ = (
        "_capacity",
        "_capacity_updated_at",
        "exposure",
        "latency_target",
        "pool_by_version",
        "queue",
        "service_time",
        "shares",
    )

    def __init__(self, queue: FairQueue, latency_target: timedelta) -> None:
        self.queue = queue
        self.latency_target = latency_target
        self.pool_by_version: dict[str, UpstreamPool] = {}
        self.service_time = INITIAL_SERVICE_TIME
        self.shares: VersionShares | None = None
        self.exposure = Exposure()
        self._capacity = 0
        self._capacity_updated_at = -CAPACITY_CACHE_TTL

    def capacity(self, now: timedelta) -> int:
        """Return the maximum number of calls in flight over all upstreams.

        The sum is cached briefly, so that a saturated service does not scan all
        upstreams for every request.
        """
        if now - self._capacity_updated_at >= CAPACITY_CACHE_TTL:
            self._capacity = self._sum_limits()
            self._capacity_updated_at = now
        return self._capacity

    def _sum_limits(self) -> int:
        states = (
            state
            for pool in self.pool_by_version.values()
            for state in pool.state_by_name.values()
        )
        return sum(state.limit.value for state in states if not state.is_leaving)

    @property
    def in_flight(self) -> int:
        """Calls in flight at all upstreams."""
        return sum(pool.in_flight for pool in self.pool_by_version.values())

    def has_room(self) -> bool:
        """Return whether any upstream has room."""
        return any(pool.has_room() for pool in self.pool_by_version.values())

    def estimate_wait(self, priority: int, now: timedelta) -> timedelta:
        """Estimate how long a new request would wait."""
        ahead = self.queue.count_ahead(priority)
        if ahead == 0 and self.has_room():
            return timedelta(0)
        return self.service_time * (ahead + 1) / max(1, self.capacity(now))

    def pools_for_ticket(self, ticket: Ticket) -> list[UpstreamPool]:
        """Return the pools that may serve a request, the preferred one first."""
        pools = self.pool_by_version
        if ticket.version in pools:
            return [pools[ticket.version]]
        if self.shares is None:
            return list(pools.values())
        old = pools.get(self.shares.old_version)
        new = pools.get(self.shares.new_version)
        if not new:
            return [old] if old else []
        if not old:
            return [new]
        is_repeatable = ticket.request_class.is_repeatable
        if self.shares.seeks_evidence and is_repeatable and new.in_flight == 0:
            return [new, old]
        if not self.shares.selects_new_version(
            ticket.request_id, is_repeatable=is_repeatable
        ):
            return [old]
        total = old.in_flight + new.in_flight
        if not self.exposure.allows(self.shares):
            return [old]
        if not self.shares.allows_one_more_in_flight(new.in_flight, total):
            return [old]
        return [new, old]
