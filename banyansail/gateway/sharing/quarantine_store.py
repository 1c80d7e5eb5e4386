"""Quarantines in the platform's store, which outlive the routers."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING

from banyansail.exceptions import StoreConflictError
from banyansail.gateway.decisions.crashes.crash_quarantine import (
    PartSubject,
    RequestSubject,
    Subject,
)
from banyansail.log import log_event

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from banyansail.clock import Clock
    from banyansail.gateway.decisions.crashes.crash_guard import CrashGuard
    from banyansail.platform.store import StoreClient
    from banyansail.platform.store_objects import Revision, StoredObject

QUARANTINES_KIND = "quarantines"
REQUEST_PREFIX = "request-"
PART_PREFIX = "part-"
# The router that detected the last crash writes at once; another one, chosen by the
# shortest delay, writes if that router was killed first.
MIN_BACKUP_DELAY = timedelta(seconds=2)
MAX_BACKUP_DELAY = timedelta(seconds=6)
DELETION_DELAY = timedelta(minutes=1)  # after the end, as clocks differ


@dataclass(slots=True, frozen=True)
class _StoredQuarantine:
    subject: Subject | None  # ``None`` if only a newer build knows its kind
    end: datetime


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
        self._write_at_by_subject: dict[Subject, timedelta] = {}
        self._applied_revision_by_name: dict[str, Revision] = {}
        # As last listed; ``None`` if what the store holds is not known.
        self._stored_by_name: dict[str, StoredObject] | None = None

    def forget(self) -> None:
        """List the quarantines again, as the store was restored from a copy."""
        self._stored_by_name = None

    async def refresh(self) -> None:
        """List the stored quarantines and apply those that are new."""
        _, stored = await self._store.list(QUARANTINES_KIND, serializable=True)
        self._stored_by_name = {item.name: item for item in stored}
        self._apply(self._stored_by_name)

    async def synchronize(self) -> None:
        """Write the quarantines that the store lacks; delete those that are over."""
        stored_by_name = self._stored_by_name
        if stored_by_name is None:
            return
        for subject, remaining in self._due_writes(stored_by_name).items():
            await self._write(subject, remaining, stored_by_name)
        await self._delete_cleared(stored_by_name)
        if self._is_cleaner():
            await self._delete_expired(stored_by_name)

    def _due_writes(
        self, stored_by_name: dict[str, StoredObject]
    ) -> dict[Subject, timedelta]:
        now = self._clock.monotonic()
        remaining_by_subject = {
            subject: remaining
            for subject, remaining in self._guard.quarantines().items()
            if _name_of(subject) not in stored_by_name
        }
        self._write_at_by_subject = {
            subject: self._write_at_by_subject.get(subject)
            or now + self._draw_delay(subject)
            for subject in remaining_by_subject
        }
        return {
            subject: remaining_by_subject[subject]
            for subject, write_at in self._write_at_by_subject.items()
            if write_at <= now
        }

    def _draw_delay(self, subject: Subject) -> timedelta:
        if self._guard.has_detected(subject):
            return timedelta(0)
        spread = MAX_BACKUP_DELAY - MIN_BACKUP_DELAY
        return MIN_BACKUP_DELAY + spread * self._random.random()

    async def _write(
        self,
        subject: Subject,
        remaining: timedelta,
        stored_by_name: dict[str, StoredObject],
    ) -> None:
        name = _name_of(subject)
        until = self._clock.now() + remaining
        spec = {"untilMs": int(until.timestamp() * 1000)}
        try:
            stored = await self._store.create(QUARANTINES_KIND, name, spec)
        except StoreConflictError as error:
            log_event("quarantine_conflict", error=error.message)
            stored = await self._store.get(QUARANTINES_KIND, name)
        if stored is not None:
            stored_by_name[name] = stored

    async def _delete_cleared(self, stored_by_name: dict[str, StoredObject]) -> None:
        for subject in self._guard.take_cleared():
            name = _name_of(subject)
            if stored_by_name.pop(name, None) is not None:
                await self._store.delete(QUARANTINES_KIND, name)

    async def _delete_expired(self, stored_by_name: dict[str, StoredObject]) -> None:
        latest = self._clock.now() - DELETION_DELAY
        for stored in list(stored_by_name.values()):
            quarantine = _decode(stored)
            # Another build may know what this one can't read.
            if quarantine is not None and quarantine.end < latest:
                await self._store.delete(QUARANTINES_KIND, stored.name)
                stored_by_name.pop(stored.name, None)

    def _apply(self, stored_by_name: dict[str, StoredObject]) -> None:
        """Apply each quarantine once, as it may have been cleared here since."""
        now = self._clock.now()
        for stored in stored_by_name.values():
            if self._applied_revision_by_name.get(stored.name) == stored.revision:
                continue
            self._applied_revision_by_name[stored.name] = stored.revision
            quarantine = _decode(stored)
            if quarantine is None or quarantine.subject is None:
                log_event("quarantine_unreadable", name=stored.name)
                continue
            if quarantine.end > now:
                self._guard.restore(quarantine.subject, quarantine.end - now)
        for name in self._applied_revision_by_name.keys() - stored_by_name:
            del self._applied_revision_by_name[name]


def _name_of(subject: Subject) -> str:
    match subject:
        case RequestSubject(number):
            return f"{REQUEST_PREFIX}{number:016x}"
        case PartSubject(number):
            return f"{PART_PREFIX}{number:016x}"


def _decode_subject(name: str) -> Subject | None:
    if name.startswith(REQUEST_PREFIX):
        return RequestSubject(int(name.removeprefix(REQUEST_PREFIX), 16))
    if name.startswith(PART_PREFIX):
        return PartSubject(int(name.removeprefix(PART_PREFIX), 16))
    return None


def _decode(stored: StoredObject) -> _StoredQuarantine | None:
    """Return a stored quarantine; ``None`` if the object is malformed."""
    try:
        end = datetime.fromtimestamp(stored.spec["untilMs"] / 1000, UTC)
        return _StoredQuarantine(_decode_subject(stored.name), end)
    except (KeyError, TypeError, ValueError, OverflowError, OSError):
        return None
