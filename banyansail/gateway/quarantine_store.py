"""Quarantines of requests in the platform's store, which outlive the routers."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING

from banyansail.exceptions import StoreConflictError
from banyansail.gateway.mirror import Mirror
from banyansail.log import log_event

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from banyansail.clock import Clock
    from banyansail.gateway.decisions.crash_guard import CrashGuard
    from banyansail.platform.store import StoreClient, StoredObject

QUARANTINES_KIND = "quarantines"
# The router that detected the last crash writes at once; another one, chosen by the
# shortest delay, writes if that router was killed first.
MIN_BACKUP_DELAY = timedelta(seconds=2)
MAX_BACKUP_DELAY = timedelta(seconds=6)
DELETION_DELAY = timedelta(minutes=1)  # after the end, as clocks differ


class QuarantineStore:
    """Writes this router's quarantines to the store and applies those of the others.

    Parameters
    ----------
    store : StoreClient
        The platform's store.
    clock : Clock
        Source of time.
    random : Random
        Source of the delays.
    guard : CrashGuard
        Holder of the quarantines.
    is_cleaner : callable
        Returns whether this router deletes expired quarantines.
    """

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        random: Random,
        guard: CrashGuard,
        is_cleaner: Callable[[], bool],
    ) -> None:
        self._store = store
        self._clock = clock
        self._random = random
        self._guard = guard
        self._is_cleaner = is_cleaner
        self._write_at_by_fingerprint: dict[int, timedelta] = {}
        self.mirror = Mirror(QUARANTINES_KIND, store, clock, self._apply)

    async def synchronize(self) -> None:
        """Write the quarantines that the store lacks; delete expired ones."""
        if self.mirror.revision is None:
            return  # what the store holds is not known
        for fingerprint, remaining in self._due_writes().items():
            await self._write(fingerprint, remaining)
        if self._is_cleaner():
            await self._delete_expired()

    def _due_writes(self) -> dict[int, timedelta]:
        now = self._clock.monotonic()
        remaining_by_fingerprint = {
            fingerprint: remaining
            for fingerprint, remaining in self._guard.quarantines().items()
            if _name_of(fingerprint) not in self.mirror.object_by_name
        }
        self._write_at_by_fingerprint = {
            fingerprint: self._write_at_by_fingerprint.get(fingerprint)
            or now + self._draw_delay(fingerprint)
            for fingerprint in remaining_by_fingerprint
        }
        return {
            fingerprint: remaining_by_fingerprint[fingerprint]
            for fingerprint, write_at in self._write_at_by_fingerprint.items()
            if write_at <= now
        }

    def _draw_delay(self, fingerprint: int) -> timedelta:
        if self._guard.has_detected(fingerprint):
            return timedelta(0)
        spread = MAX_BACKUP_DELAY - MIN_BACKUP_DELAY
        return MIN_BACKUP_DELAY + spread * self._random.random()

    async def _write(self, fingerprint: int, remaining: timedelta) -> None:
        until = self._clock.now() + remaining
        spec = {"untilMs": int(until.timestamp() * 1000)}
        try:
            await self._store.create(QUARANTINES_KIND, _name_of(fingerprint), spec)
        except StoreConflictError as error:
            log_event("quarantine_conflict", error=error.message)

    async def _delete_expired(self) -> None:
        latest = self._clock.now() - DELETION_DELAY
        for stored in list(self.mirror.object_by_name.values()):
            end = _decode_end(stored)
            if end is None or end < latest:
                await self._store.delete(QUARANTINES_KIND, stored.name)

    def _apply(self, mirror: Mirror) -> None:
        now = self._clock.now()
        for stored in mirror.object_by_name.values():
            end = _decode_end(stored)
            if end is not None and end > now:
                self._guard.restore(int(stored.name, 16), end - now)


def _name_of(fingerprint: int) -> str:
    return f"{fingerprint:016x}"


def _decode_end(stored: StoredObject) -> datetime | None:
    """Return when a quarantine ends; ``None`` if the object is malformed."""
    try:
        int(stored.name, 16)
        return datetime.fromtimestamp(stored.spec["untilMs"] / 1000, UTC)
    except (KeyError, TypeError, ValueError, OverflowError, OSError) as error:
        log_event("quarantine_unreadable", name=stored.name, error=repr(error))
        return None
