"""Reports of usage per window, sent once by the holder of the duty lease.

The counts are written to the store before they are sent, so that a later holder of the
lease can only send the same counts again, never different ones.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.exceptions import (
    BanyansailError,
    PlatformUnavailableError,
    StoreConflictError,
)
from banyansail.fleet.ranking import rank_names
from banyansail.gateway.duties.duty_lease import DutyLease
from banyansail.gateway.duties.forgotten_windows import NO_WINDOW, ForgottenWindows
from banyansail.log import log_decision, log_event
from banyansail.traffic.aggregator import DUTY

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.config.gateway_settings import GatewaySettings
    from banyansail.gateway.duties.usage import UsageCounter
    from banyansail.platform.cloud import CloudClient
    from banyansail.platform.store import StoreClient
    from banyansail.traffic.fleet_traffic import FleetTraffic

KIND = "usage"
LEASE_MARGIN = timedelta(seconds=2)  # above the minimum time between two holders
OBSERVE_INTERVAL = timedelta(seconds=1.5)  # of the lease, by the next candidate
# Of the time until a report is due; a window with missing counts is reported then.
REPORT_DELAY_SHARE = 0.5
# From the start, until a router has heard of the others and of who comes first.
HEARING_TIME = timedelta(seconds=2)
# After the lease was taken, until the counts of all routers have arrived here.
GATHERING_TIME = timedelta(seconds=1.5)
LOOKBACK_WINDOWS = 2  # that a new holder of the lease reports again
KEPT_WINDOWS = 6  # whose stored counts are remembered


class UsageReporter:
    """Reports usage to the platform while this router holds the duty lease."""

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        store: StoreClient,
        cloud: CloudClient,
        usage: UsageCounter,
        fleet: FleetTraffic,
    ) -> None:
        self._name = settings.name
        self._store = store
        self._cloud = cloud
        self._usage = usage
        self._fleet = fleet
        holder = f"{settings.name}.{int(clock.now().timestamp() * 1000)}"
        lease_time = settings.lease + LEASE_MARGIN
        self._usage_late = settings.usage_late
        self._report_delay = settings.usage_late * REPORT_DELAY_SHARE
        self.lease = DutyLease(
            store,
            clock,
            "duties",
            holder,
            lease_time,
            is_first_start=settings.is_first_start,
        )
        self._clock = clock
        self._started_at = clock.monotonic()
        self._is_first_start = settings.is_first_start
        self._taken_at: timedelta | None = None
        self._last_token: int | None = None
        self._observed_at: timedelta | None = None
        self._last_reported_window: int | None = None
        self._has_seen_traffic = False
        self._counts_by_window: dict[int, dict[str, int]] = {}  # that were stored
        self._forgotten = ForgottenWindows(store, usage)
        # Windows up to this one may have been reported by the holders before.
        self._last_inherited_window = NO_WINDOW

    def record_restore(self) -> None:
        """Take into account that the store was restored from a copy."""
        self.lease.invalidate()
        self._forgotten.observe_era()

    def candidates(self) -> list[str]:
        """Return the candidates by rank; the first one should hold the lease."""
        return rank_names(DUTY, self._fleet.duty_candidates())

    async def report(self, workspaces: list[str]) -> None:
        """Report the windows that are complete or whose report delay has passed.

        A window is reported early as its counts are lost if all routers are killed.
        The candidate that ranks next observes the lease, so that it can acquire it as
        soon as the holder has not renewed it for the lease time.
        """
        self._forgotten.observe_era()
        rank = (
            0
            if self.lease.fencing_token() is not None
            else self.candidates().index(self._name)
        )
        if rank > 0:
            if rank == 1:
                await self._observe_lease()
            return
        if self._may_not_know_others():
            return
        fencing_token = await self.lease.acquire()
        if fencing_token is None or not workspaces:
            return
        if fencing_token != self._last_token:
            self._begin(fencing_token)
        if await self._forgotten.synchronize():
            await self._report_due_windows(workspaces)

    async def _report_due_windows(self, workspaces: list[str]) -> None:
        newest = self._newest_due_window()
        if self._last_reported_window is None:
            self._last_reported_window = newest - LOOKBACK_WINDOWS
        for window in range(
            max(self._last_reported_window + 1, newest - LOOKBACK_WINDOWS), newest + 1
        ):
            if self._is_gathering(window):
                return
            if not await self._report_window(window, workspaces):
                return
            self._last_reported_window = window

    def _may_not_know_others(self) -> bool:
        """Return whether this router started just now and another may come first."""
        if self._is_first_start or not self._fleet.is_silent:
            return False
        return self._clock.monotonic() - self._started_at < HEARING_TIME

    def _begin(self, fencing_token: int) -> None:
        """Begin to report, with the counts that the holder before left."""
        self._last_token = fencing_token
        self._taken_at = self._clock.monotonic()
        self._last_inherited_window = self._usage.current_window()
        try:
            self._usage.merge_handover(self.lease.handover or {})
        except (ValueError, TypeError, AttributeError) as error:
            log_event("handover_unreadable", error=repr(error))

    def _is_gathering(self, window: int) -> bool:
        """Return whether counts of a window may still arrive here in time."""
        if self._usage.age_of(window) > self._usage_late - GATHERING_TIME * 2:
            return False
        return self._clock.monotonic() - self._taken_at < GATHERING_TIME

    def _newest_due_window(self) -> int:
        newest = self._usage.current_window() - 1
        if self._usage.age_of(newest) >= self._report_delay:
            return newest
        peers = self._fleet.others() - self._fleet.silent_others()
        if self._usage.is_complete(newest, peers):
            return newest
        return newest - 1

    async def _observe_lease(self) -> None:
        now = self._clock.monotonic()
        last = self._observed_at
        if last is None or now - last >= OBSERVE_INTERVAL:
            self._observed_at = now
            await self.lease.observe()

    async def release(self) -> None:
        """Release the lease before a planned stop."""
        try:
            await self.lease.release(self._usage.handover())
        except PlatformUnavailableError as error:
            log_event("lease_not_released", error=error.message)

    async def _report_window(self, window: int, workspaces: list[str]) -> bool:
        if not self._has_seen_traffic and not any(
            self._usage.total(window, workspaces).values()
        ):
            return True  # no traffic so far
        self._has_seen_traffic = True
        counts = await self._store_counts(window, workspaces)
        if counts is None:
            log_event("usage_forgotten", window=window)
            return True
        # The lease may have expired if the store answered late.
        fencing_token = self.lease.fencing_token()
        if fencing_token is None:
            return False
        try:
            is_accepted = await self._cloud.report_usage(window, counts, fencing_token)
        except BanyansailError as error:
            log_event("usage_unsent", window=window, error=error.message)
            return False
        log_decision("usage", "the window is over", window=window, taken=is_accepted)
        return is_accepted

    async def _store_counts(
        self, window: int, workspaces: list[str]
    ) -> dict[str, int] | None:
        """Store the counts of a window; return those that are stored in the end.

        Counts that this router stored before are stored again if the store lost them.
        ``None`` is returned if another router may have stored others and they are lost.
        """
        known = self._counts_by_window.get(window)
        if known is None and window <= self._last_inherited_window:
            stored = await self._store.get(KIND, str(window))
            if stored is not None:
                return self._remember(window, dict(stored.spec["counts"]))
            # Asked only now, as the answer may come from a store that was restored.
            if self._forgotten.may_be_forgotten(window):
                return None
        counts = known or self._usage.total(window, workspaces)
        try:
            await self._store.create(KIND, str(window), {"counts": counts})
        except StoreConflictError:
            stored = await self._store.get(KIND, str(window))
            if stored is not None and known is None:
                counts = dict(stored.spec["counts"])
        return self._remember(window, counts)

    def _remember(self, window: int, counts: dict[str, int]) -> dict[str, int]:
        """Remember and return the counts that are stored for a window."""
        self._counts_by_window[window] = counts
        for old in sorted(self._counts_by_window)[:-KEPT_WINDOWS]:
            del self._counts_by_window[old]
        return counts
