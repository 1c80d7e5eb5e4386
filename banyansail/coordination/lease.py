"""Lease on a duty, by conditional updates; its version is the fencing token.

A lease doesn't exclude that two holders act: one that was paused may still act after
its lease has expired. Its orders then carry an old fencing token, or are corrected by
the next holder, which first waits until the old lease has expired.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from banyansail.exceptions import ConflictError, PlatformUnavailableError

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.coordination.budget import CallKind
    from banyansail.coordination.client import PlatformClient

LEASE_TIME = timedelta(seconds=6)
RENEW_INTERVAL = timedelta(seconds=2)


@dataclass(slots=True, frozen=True)
class HeldLease:
    """Lease that this router holds.

    Parameters
    ----------
    fencing_token : int
        Number that orders carry; larger than that of every earlier holder.
    acquired_at : timedelta
        Monotonic time when this holder acquired the lease; renewals keep it.
    """

    fencing_token: int
    acquired_at: timedelta


@dataclass(slots=True, frozen=True)
class HeldByOther:
    """Another router holds the lease, or may still hold it.

    Parameters
    ----------
    holder : str
        Identity of its process; empty if unknown.
    """

    holder: str


LeaseState = HeldLease | HeldByOther


class Lease:
    """One lease, as one router observes it.

    Another holder's lease has expired once its object has not changed for `LEASE_TIME`
    by this router's monotonic clock, so that clocks of routers are never compared.

    Parameters
    ----------
    platform : PlatformClient
        Store of the lease's object.
    key : str
        Key of the object.
    holder : str
        Identity of this process, written to the object.
    clock : Clock
        Source of time.
    kind : CallKind
        Kind of the platform calls, for the budget.
    """

    __slots__ = (
        "_clock",
        "_holder",
        "_key",
        "_kind",
        "_platform",
        "_renewed_at",
        "_seen_version",
        "_state",
        "_version_seen_at",
    )

    def __init__(
        self,
        platform: PlatformClient,
        key: str,
        holder: str,
        clock: Clock,
        kind: CallKind,
    ) -> None:
        self._platform = platform
        self._key = key
        self._holder = holder
        self._clock = clock
        self._kind = kind
        self._state: LeaseState = HeldByOther("")
        self._renewed_at: timedelta | None = None
        self._seen_version = -1
        self._version_seen_at = clock.monotonic()

    def held_lease(self) -> HeldLease | None:
        """Return the lease if it has not expired, by the monotonic clock."""
        if not isinstance(self._state, HeldLease) or self._renewed_at is None:
            return None
        if self._clock.monotonic() - self._renewed_at >= LEASE_TIME:
            return None
        return self._state

    async def acquire(self) -> HeldLease | None:
        """Acquire or renew the lease; return it, or ``None`` if it is not held.

        Raises
        ------
        PlatformUnavailableError
            If the platform can't be reached; a held lease stays valid until it expires.
        """
        held = self.held_lease()
        if held and self._clock.monotonic() - self._renewed_at < RENEW_INTERVAL:
            return held
        stored = await self._platform.get(self._key, self._kind)
        if stored.version != self._seen_version:
            self._seen_version = stored.version
            self._version_seen_at = self._clock.monotonic()
        holder = _decode_holder(stored.body)
        is_own = holder == self._holder
        if not is_own and holder and not self._has_expired():
            self._state = HeldByOther(holder)
            return None
        return await self._write(stored.version, is_renewal=is_own and held is not None)

    async def release(self) -> None:
        """Release the lease, so that the next holder need not wait for its expiry."""
        if self.held_lease() is None:
            return
        self._state = HeldByOther("")
        try:
            await self._platform.put(
                self._key, {"holder": ""}, self._seen_version, self._kind
            )
        except (ConflictError, PlatformUnavailableError):
            return  # the lease expires by itself

    def _has_expired(self) -> bool:
        return self._clock.monotonic() - self._version_seen_at >= LEASE_TIME

    async def _write(
        self, expected_version: int, *, is_renewal: bool
    ) -> HeldLease | None:
        # The lease time starts before the call, as the response may arrive late.
        started_at = self._clock.monotonic()
        acquired_at = self._state.acquired_at if is_renewal else started_at
        body = {"holder": self._holder}
        try:
            version = await self._platform.put(
                self._key, body, expected_version, self._kind
            )
        except ConflictError:
            self._state = HeldByOther("")
            return None
        self._state = HeldLease(version, acquired_at)
        self._renewed_at = started_at
        self._seen_version = version
        self._version_seen_at = started_at
        return self.held_lease()


def _decode_holder(body: dict[str, Any] | None) -> str:
    return body["holder"] if body else ""
