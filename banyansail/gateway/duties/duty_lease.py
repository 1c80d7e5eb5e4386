"""Lease on the duties of the fleet, by conditional updates of the store.

A former holder that was paused may still act after its lease has expired, so each
action carries the fencing token. Another holder's lease is treated as expired once its
object has not changed for a lease time on this router's own clock, so that clocks of
routers are never compared.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from banyansail.exceptions import StoreConflictError
from banyansail.log import log_event

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.platform.store import StoreClient
    from banyansail.platform.store_objects import Revision, StoredObject

KIND = "leases"
RENEW_SHARE = 0.5  # of the lease time, after which the lease is renewed
REACQUIRE_DELAY_LEASES = 2  # lease times to wait after another process held it


TOKENS_PER_ERA = 1_000_000  # more than the changes of the holder in an era


def first_fencing_token(era: int) -> int:
    """Return the first token of an era, higher than all of the eras before it.

    A restored store may have forgotten the highest token; the era alone is enough.
    """
    return era * TOKENS_PER_ERA + 1


class DutyLease:
    """One lease, as one process observes it.

    Parameters
    ----------
    name : str
        Name of the lease.
    holder : str
        Identity of this process.
    lease_time : timedelta
        Time from the last renewal to the expiry.
    is_first_start : bool
        Whether the whole system starts for the first time, so that nobody held it.
    """

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        name: str,
        holder: str,
        lease_time: timedelta,
        *,
        is_first_start: bool = False,
    ) -> None:
        self._store = store
        self._clock = clock
        self._name = name
        self._holder = holder
        self._lease_time = lease_time
        self._renewed_at: timedelta | None = None
        self._last_held_at: timedelta | None = None  # kept when the lease is lost
        self._fencing_token = 0
        self._renewals = 0
        self._last_revision: Revision | None = None
        self._revision_seen_at = clock.monotonic()
        # An earlier holder may act until a lease time after the start, or after the
        # store lost the record of its lease.
        self._record_lost_at = clock.monotonic()
        if is_first_start:
            self._record_lost_at -= lease_time
        self.handover: Any = None  # what the holder before left with its lease
        self._was_holder = False  # when the record was lost
        self._was_restored = False

    def invalidate(self) -> None:
        """Stop holding the lease, as the store was restored and may have lost it."""
        self._was_holder = self.fencing_token() is not None
        self._renewed_at = None
        self._was_restored = True
        self._record_lost_at = self._clock.monotonic()

    def fencing_token(self) -> int | None:
        """Return the fencing token while the lease is held, else ``None``."""
        if self._renewed_at is None:
            return None
        if self._clock.monotonic() - self._renewed_at >= self._lease_time:
            return None
        return self._fencing_token

    async def acquire(self) -> int | None:
        """Acquire or renew the lease; return the fencing token if it is then held.

        Raises
        ------
        PlatformUnavailableError
            If the store can't be reached; a lease that is held stays valid until it
            expires.
        """
        fencing_token = self.fencing_token()
        now = self._clock.monotonic()
        if fencing_token is not None and now - self._renewed_at < (
            self._lease_time * RENEW_SHARE
        ):
            return fencing_token
        try:
            await self._acquire_or_renew(fencing_token)
        except StoreConflictError:
            self._renewed_at = None
            log_event("lease_lost", lease=self._name)
        return self.fencing_token()

    async def observe(self) -> None:
        """Record the last renewal by another holder; a stale read suffices."""
        stored = await self._store.get(KIND, self._name, serializable=True)
        if stored is not None:
            self._record_revision(stored)

    async def release(self, handover: Any = None) -> None:
        """Release the lease, so that the next holder need not wait for its expiry.

        Parameters
        ----------
        handover : object
            What the next holder shall know, as JSON.
        """
        if self.fencing_token() is None:
            return
        self._renewed_at = None
        spec = {
            "holder": "",
            "fence": self._fencing_token,
            "handover": handover,
        }
        try:
            await self._store.replace(KIND, self._name, spec, self._last_revision)
        except StoreConflictError:
            log_event("lease_lost", lease=self._name)

    async def _acquire_or_renew(self, fencing_token: int | None) -> None:
        if fencing_token is not None:
            await self._write(fencing_token, self._last_revision)
            return
        stored = await self._store.get(KIND, self._name)
        if self._may_be_held_without_record(stored):
            return
        if stored is None:
            await self._write(first_fencing_token(self._store.era), None)
            return
        if self._is_unavailable(stored):
            return
        next_token = max(
            int(stored.spec["fence"]) + 1, first_fencing_token(self._store.era)
        )
        await self._write(next_token, stored.revision)
        self.handover = stored.spec.get("handover")
        log_event("lease_taken", lease=self._name, fence=self._fencing_token)

    def _may_be_held_without_record(self, stored: StoredObject | None) -> bool:
        """Return whether another holder may act whose lease the store does not show."""
        is_recent = self._clock.monotonic() - self._record_lost_at < self._lease_time
        if self._was_holder or not is_recent:
            return False
        if stored is None or self._was_restored:
            return True
        # Nobody has held it since the store was restored, perhaps before this start.
        return int(stored.spec["fence"]) < first_fencing_token(self._store.era)

    def _record_revision(self, stored: StoredObject) -> None:
        if self._last_revision is None or stored.revision > self._last_revision:
            self._last_revision = stored.revision
            self._revision_seen_at = self._clock.monotonic()

    def _is_unavailable(self, stored: StoredObject) -> bool:
        self._record_revision(stored)
        now = self._clock.monotonic()
        if self._is_in_reacquire_delay(stored, now):
            return True
        holder = stored.spec["holder"]
        if not holder or holder == self._holder:
            return False
        return now - self._revision_seen_at < self._lease_time

    def _is_in_reacquire_delay(self, stored: StoredObject, now: timedelta) -> bool:
        """Return whether another process acquired the lease soon after this one."""
        was_lost = int(stored.spec["fence"]) > self._fencing_token
        return (
            was_lost
            and self._last_held_at is not None
            and now - self._last_held_at < self._lease_time * REACQUIRE_DELAY_LEASES
        )

    async def _write(
        self, fencing_token: int, expected_revision: Revision | None
    ) -> None:
        era = self._store.era
        # The lease time starts before the call, as the answer may arrive late.
        sent_at = self._clock.monotonic()
        self._renewals += 1
        # The store ignores an update without changes, so each one increments a counter.
        spec = {
            "holder": self._holder,
            "fence": fencing_token,
            "renewals": self._renewals,
        }
        if expected_revision is None:
            stored = await self._store.create(KIND, self._name, spec)
        else:
            stored = await self._store.replace(
                KIND, self._name, spec, expected_revision
            )
        if stored.revision.era != era:
            raise StoreConflictError(f"the store was restored from era {era} on")
        self._was_holder = False
        self._fencing_token = fencing_token
        self._renewed_at = self._last_held_at = sent_at
        self._last_revision = stored.revision
        self._revision_seen_at = sent_at
