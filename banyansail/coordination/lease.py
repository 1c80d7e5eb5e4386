"""Lease on a duty, held by conditional updates; its version fences orders.

A lease only says who should act. A holder that was paused may act after its lease
has lapsed; what it orders then carries an old fencing number, or is put right by
the next holder, which waits out the old lease first.
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
RENEW_TIME = timedelta(seconds=2)


@dataclass(slots=True, frozen=True)
class Held:
    """The lease is held by this router.

    Parameters
    ----------
    fencing : int
        Number that orders carry; larger than that of every earlier holder.
    since : timedelta
        Monotonic time when this holder took the lease over.
    """

    fencing: int
    since: timedelta


@dataclass(slots=True, frozen=True)
class HeldByOther:
    """Another router holds the lease, or may hold it still."""

    holder: str


LeaseState = Held | HeldByOther


class Lease:
    """One lease, as seen by one router.

    Other holders' leases lapse when their object has not changed for
    `LEASE_TIME` by this router's own clock, so that no clocks are compared.

    Parameters
    ----------
    platform : PlatformClient
        Holds the lease's object.
    key : str
        Key of the object.
    holder : str
        Identity of this process.
    clock : Clock
        Source of time.
    kind : CallKind
        Kind of the platform calls.
    """

    __slots__ = (
        "_clock",
        "_holder",
        "_key",
        "_kind",
        "_platform",
        "_renewed_at",
        "_seen_at",
        "_seen_version",
        "_state",
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
        self._seen_at = clock.monotonic()

    def held(self) -> Held | None:
        """Return the lease if it is held now, by the monotonic clock."""
        if not isinstance(self._state, Held) or self._renewed_at is None:
            return None
        if self._clock.monotonic() - self._renewed_at >= LEASE_TIME:
            return None
        return self._state

    async def acquire(self) -> Held | None:
        """Take the lease, or renew it; return it if it is held then.

        Raises
        ------
        PlatformUnavailableError
            If the platform can't be reached; a lease held runs on to its end.
        """
        held = self.held()
        if held and self._clock.monotonic() - self._renewed_at < RENEW_TIME:
            return held
        stored = await self._platform.get(self._key, self._kind)
        if stored.version != self._seen_version:
            self._seen_version = stored.version
            self._seen_at = self._clock.monotonic()
        holder = _holder_of(stored.body)
        mine = holder == self._holder
        if not mine and holder and not self._has_lapsed():
            self._state = HeldByOther(holder)
            return None
        return await self._write(stored.version, continues=mine and held is not None)

    async def release(self) -> None:
        """Give the lease back, so that the next holder need not wait."""
        if self.held() is None:
            return
        self._state = HeldByOther("")
        try:
            await self._platform.put(
                self._key, {"holder": ""}, self._seen_version, self._kind
            )
        except (ConflictError, PlatformUnavailableError):
            return  # it lapses by itself

    def _has_lapsed(self) -> bool:
        return self._clock.monotonic() - self._seen_at >= LEASE_TIME

    async def _write(self, expected: int, *, continues: bool) -> Held | None:
        # The lease runs from before the call: the answer may come late.
        began = self._clock.monotonic()
        since = self._state.since if continues else began
        body = {"holder": self._holder}
        try:
            version = await self._platform.put(self._key, body, expected, self._kind)
        except ConflictError:
            self._state = HeldByOther("")
            return None
        self._state = Held(version, since)
        self._renewed_at = began
        self._seen_version = version
        self._seen_at = began
        return self.held()


def _holder_of(body: dict[str, Any] | None) -> str:
    return body["holder"] if body else ""
