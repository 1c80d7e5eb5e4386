"""Lease on the duties of the fleet, settled by conditional updates of the store.

A lease only says who should act; each act carries its fencing number. Another
holder's lease lapses once its object has not changed for a lease time by this
router's own clock, so that no clocks are compared.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.exceptions import StoreConflictError
from banyansail.log import log_event

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.platform.store import Store, StoredObject

KIND = "leases"
RENEW_SHARE = 0.5  # of the lease time, after which it is renewed
RETURN_LEASES = 2  # lease times that a holder waits after it lost it to another


class DutyLease:
    """One lease, as seen by one process.

    Parameters
    ----------
    name : str
        Name of the lease.
    holder : str
        Identity of this process.
    lease_time : timedelta
        How long a lease lasts after its last renewal.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        name: str,
        holder: str,
        lease_time: timedelta,
    ) -> None:
        self._store = store
        self._clock = clock
        self._name = name
        self._holder = holder
        self._lease_time = lease_time
        self._renewed_at: timedelta | None = None
        self._held_at: timedelta | None = None  # lately, by this process
        self._fence = 0
        self._renewals = 0
        self._seen_revision = 0
        self._seen_at = clock.monotonic()

    def fence(self) -> int | None:
        """Return the fencing number while the lease is held, else ``None``."""
        if self._renewed_at is None:
            return None
        if self._clock.monotonic() - self._renewed_at >= self._lease_time:
            return None
        return self._fence

    async def acquire(self) -> int | None:
        """Take or renew the lease; return the fencing number if it is held then.

        Raises
        ------
        PlatformUnavailableError
            If the store can't be reached; a lease that is held runs on to its end.
        """
        fence = self.fence()
        now = self._clock.monotonic()
        if fence is not None and now - self._renewed_at < (
            self._lease_time * RENEW_SHARE
        ):
            return fence
        try:
            await self._renew(fence)
        except StoreConflictError:
            self._renewed_at = None
            log_event("lease_lost", lease=self._name)
        return self.fence()

    async def observe(self) -> None:
        """Note whether another holder renews the lease; a stale answer does."""
        stored = await self._store.get(KIND, self._name, serializable=True)
        if stored is not None:
            self._note(stored)

    async def release(self) -> None:
        """Give the lease back, so that the next holder need not wait."""
        if self.fence() is None:
            return
        self._renewed_at = None
        spec = {"holder": "", "fence": self._fence}
        try:
            await self._store.replace(KIND, self._name, spec, self._seen_revision)
        except StoreConflictError:
            log_event("lease_lost", lease=self._name)

    async def _renew(self, fence: int | None) -> None:
        if fence is not None:
            await self._write(fence, self._seen_revision)
            return
        stored = await self._store.get(KIND, self._name)
        if stored is None:
            await self._write(1, None)
            return
        if self._is_taken(stored):
            return
        await self._write(int(stored.spec["fence"]) + 1, stored.revision)
        log_event("lease_taken", lease=self._name, fence=self._fence)

    def _note(self, stored: StoredObject) -> None:
        if stored.revision > self._seen_revision:
            self._seen_revision = stored.revision
            self._seen_at = self._clock.monotonic()

    def _is_taken(self, stored: StoredObject) -> bool:
        self._note(stored)
        now = self._clock.monotonic()
        if self._has_just_lost_it(stored, now):
            return True
        holder = stored.spec["holder"]
        if not holder or holder == self._holder:
            return False
        return now - self._seen_at < self._lease_time

    def _has_just_lost_it(self, stored: StoredObject, now: timedelta) -> bool:
        """Tell whether another process acted after this one a moment ago."""
        was_taken = int(stored.spec["fence"]) > self._fence
        return (
            was_taken
            and self._held_at is not None
            and now - self._held_at < self._lease_time * RETURN_LEASES
        )

    async def _write(self, fence: int, expected: int | None) -> None:
        # The lease runs from before the call: the answer may come late.
        began = self._clock.monotonic()
        self._renewals += 1
        # The store ignores an update that changes nothing, so each one counts up.
        spec = {"holder": self._holder, "fence": fence, "renewals": self._renewals}
        if expected is None:
            stored = await self._store.create(KIND, self._name, spec)
        else:
            stored = await self._store.replace(KIND, self._name, spec, expected)
        self._fence = fence
        self._renewed_at = self._held_at = began
        self._seen_revision = stored.revision
        self._seen_at = began
