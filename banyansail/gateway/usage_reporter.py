"""Reports each window's usage once, by the holder of a lease.

The counts are written to the store before they are sent, so that a successor sends
the same counts again and never others.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.exceptions import (
    BanyansailError,
    PlatformUnavailableError,
    StoreConflictError,
)
from banyansail.fleet.duties import rank_names
from banyansail.gateway.duty_lease import DutyLease
from banyansail.log import log_decision, log_event

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.config.gateway_settings import GatewaySettings
    from banyansail.gateway.peers import PeerTable
    from banyansail.gateway.usage import UsageCounter
    from banyansail.platform.cloud import Cloud
    from banyansail.platform.store import Store

KIND = "usage"
LEASE_MARGIN = timedelta(seconds=2)  # over the time that holders keep apart
OBSERVE_INTERVAL = timedelta(seconds=1.5)  # of the lease, by the next in line
SETTLE_SHARE = 0.5  # of the time until a report is due; counts travel meanwhile
LOOK_BACK = 2  # windows that a new holder reports again


class UsageReporter:
    """Reports usage while this router is the one to do it."""

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        store: Store,
        cloud: Cloud,
        usage: UsageCounter,
        peers: PeerTable,
    ) -> None:
        self._name = settings.name
        self._store = store
        self._cloud = cloud
        self._usage = usage
        self._peers = peers
        holder = f"{settings.name}.{int(clock.now().timestamp() * 1000)}"
        lease_time = settings.lease + LEASE_MARGIN
        self._settle_time = settings.usage_late * SETTLE_SHARE
        self.lease = DutyLease(store, clock, "duties", holder, lease_time)
        self._clock = clock
        self._observed_at: timedelta | None = None
        self._reported: int | None = None
        self._has_begun = False

    def _place_in_line(self) -> int:
        """Return 0 for the router that is to hold the lease, 1 for the next."""
        names = rank_names("duties", self._peers.duty_candidates())
        return names.index(self._name)

    async def report(self, workspaces: list[str]) -> None:
        """Report the windows that ended a while ago.

        The next in line observes the lease meanwhile, so that it need not begin to
        wait for its end only once the holder is lost.
        """
        place = 0 if self.lease.fence() is not None else self._place_in_line()
        if place > 0:
            if place == 1:
                await self._observe()
            return
        fence = await self.lease.acquire()
        if fence is None or not workspaces:
            return
        newest = self._usage.current_window() - 1
        if self._usage.age_of(newest) < self._settle_time:
            newest -= 1
        if self._reported is None:
            self._reported = newest - LOOK_BACK
        for window in range(max(self._reported + 1, newest - LOOK_BACK), newest + 1):
            if not await self._report_window(window, workspaces):
                return
            self._reported = window

    async def _observe(self) -> None:
        now = self._clock.monotonic()
        before = self._observed_at
        if before is None or now - before >= OBSERVE_INTERVAL:
            self._observed_at = now
            await self.lease.observe()

    async def release(self) -> None:
        """Give the lease back before a planned stop."""
        try:
            await self.lease.release()
        except PlatformUnavailableError as error:
            log_event("lease_not_released", error=error.message)

    async def _report_window(self, window: int, workspaces: list[str]) -> bool:
        if not self._has_begun and not any(
            self._usage.total(window, workspaces).values()
        ):
            return True  # there was no traffic yet
        self._has_begun = True
        counts = await self._settle(window, workspaces)
        fence = self.lease.fence()  # the store may have answered late
        if fence is None:
            return False
        try:
            is_taken = await self._cloud.report_usage(window, counts, fence)
        except BanyansailError as error:
            log_event("usage_unsent", window=window, error=error.message)
            return False
        log_decision("usage", "the window is over", window=window, taken=is_taken)
        return is_taken

    async def _settle(self, window: int, workspaces: list[str]) -> dict[str, int]:
        """Return the counts that the store holds for a window, ours if none."""
        counts = self._usage.total(window, workspaces)
        try:
            await self._store.create(KIND, str(window), {"counts": counts})
        except StoreConflictError:
            stored = await self._store.get(KIND, str(window))
            return counts if stored is None else dict(stored.spec["counts"])
        return counts
