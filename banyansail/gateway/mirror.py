"""Local copy of all objects of one kind in the store, by a list and then watches."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.exceptions import HistoryLostError, PlatformUnavailableError
from banyansail.log import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.clock import Clock
    from banyansail.platform.store import Revision, StoreClient, StoredObject

RETURN_GRACE = timedelta(seconds=2.1)  # for entries that expired during an outage
MIN_OUTAGE = timedelta(seconds=1)  # no entry expires during a shorter failure
MAX_DELETED_NAMES = 2000  # that are remembered; the oldest ones are forgotten


class Mirror:
    """Objects of one kind as last received from the store.

    Parameters
    ----------
    kind : str
        Kind of the objects.
    store : StoreClient
        Store that holds them.
    clock : Clock
        Source of time.
    on_change : callable
        Called with the mirror after each change.
    keeps_lapsed : bool
        Whether entries that may have expired because of an outage are kept, as lapsed
        ones, for `RETURN_GRACE`.
    remembers_deleted : bool
        Whether deleted objects stay so if a restored store has them again.
    """

    def __init__(
        self,
        kind: str,
        store: StoreClient,
        clock: Clock,
        on_change: Callable[[Mirror], None],
        *,
        keeps_lapsed: bool = False,
        remembers_deleted: bool = True,
    ) -> None:
        self.kind = kind
        self._store = store
        self._clock = clock
        self._on_change = on_change
        self._keeps_lapsed = keeps_lapsed
        self._remembers_deleted = remembers_deleted
        self._lapsed_at: dict[str, timedelta] = {}
        self._failing_since: timedelta | None = None
        self._recovered_at: timedelta | None = None
        self._is_restored = False  # since the last list
        self._deleted_names: dict[str, None] = {}  # in the order of deletion
        # Deleted objects that a restored store has again, until they are written again.
        self._stale_revision_by_name: dict[str, Revision] = {}
        self.revision: Revision | None = None  # of the last list or watch
        self.object_by_name: dict[str, StoredObject] = {}
        # Objects that a restored store does not have, and that may be written again.
        self.missing_names: set[str] = set()

    @property
    def lapsed_names(self) -> set[str]:
        """Names of entries that the store lost, perhaps only because of an outage."""
        return set(self._lapsed_at)

    def seed(self, objects: list[StoredObject]) -> None:
        """Use objects received from another router until the store can be reached."""
        if self.revision is not None:
            return
        self.object_by_name = {item.name: item for item in objects}
        self._on_change(self)

    def reset(self) -> None:
        """List the objects again, as the store was restored from a copy."""
        self.revision = None
        self._is_restored = True

    async def follow(self) -> None:
        """List the objects, or wait for their next changes."""
        try:
            if self.revision is None:
                await self._list()
            else:
                await self._watch()
        except HistoryLostError:
            self.revision = None
            return
        except PlatformUnavailableError as error:
            self._record_failure(error)
            raise
        self._record_success()

    def expire_lapsed(self) -> None:
        """Remove lapsed entries that did not return within `RETURN_GRACE`."""
        now = self._clock.monotonic()
        expired = [
            name
            for name, lapsed_at in self._lapsed_at.items()
            if now - lapsed_at >= RETURN_GRACE
        ]
        for name in expired:
            self._delete(name)
        if expired:
            log_event("entries_lapsed", kind=self.kind, names=expired)
            self._on_change(self)

    async def _list(self) -> None:
        revision, found = await self._store.list(self.kind)
        found_by_name = {item.name: item for item in found}
        removed = self.object_by_name.keys() - found_by_name.keys()
        if self._is_restored:
            self._is_restored = False
            self._recovered_at = self._clock.monotonic()
            self.missing_names |= removed
            self._stale_revision_by_name = {
                name: found_by_name[name].revision
                for name in self._deleted_names
                if name in found_by_name
            }
        for name, stale_revision in list(self._stale_revision_by_name.items()):
            if name in found_by_name and found_by_name[name].revision == stale_revision:
                del found_by_name[name]
            else:
                del self._stale_revision_by_name[name]
        for name in removed:
            self._remove(name)
        for stored in found_by_name.values():
            self._put(stored)
        self.revision = revision
        self._on_change(self)

    async def _watch(self) -> None:
        revision, changes = await self._store.watch(self.kind, self.revision)
        if self.revision is None:
            return  # the store was restored meanwhile
        for change in changes:
            name = change.stored.name
            if change.is_deleted:
                self._remove(name)
            else:
                self._put(change.stored)
        self.revision = max(revision, self.revision)
        if changes:
            self._on_change(
                self
            )  # also if entries lapsed, which changes `lapsed_names`

    def _put(self, stored: StoredObject) -> None:
        name = stored.name
        self._lapsed_at.pop(name, None)
        self._deleted_names.pop(name, None)
        self._stale_revision_by_name.pop(name, None)
        self.missing_names.discard(name)
        self.object_by_name[name] = stored

    def _delete(self, name: str) -> None:
        self._lapsed_at.pop(name, None)
        self.missing_names.discard(name)
        self.object_by_name.pop(name, None)
        if self._remembers_deleted:
            self._deleted_names[name] = None
        while len(self._deleted_names) > MAX_DELETED_NAMES:
            del self._deleted_names[next(iter(self._deleted_names))]

    def _remove(self, name: str) -> None:
        """Remove an entry, or keep it for a while if an outage may have expired it."""
        if not self._keeps_lapsed or not self._has_just_recovered():
            self._delete(name)
        elif name in self.object_by_name:
            self._lapsed_at.setdefault(
                name, self._recovered_at or self._clock.monotonic()
            )

    def _has_just_recovered(self) -> bool:
        """Return whether an outage ended recently, or with the call in progress."""
        now = self._clock.monotonic()
        if self._recovered_at is not None and now - self._recovered_at < RETURN_GRACE:
            return True
        return (
            self._failing_since is not None and now - self._failing_since >= MIN_OUTAGE
        )

    def _record_failure(self, error: PlatformUnavailableError) -> None:
        if self._failing_since is None:
            self._failing_since = self._clock.monotonic()
            log_event("store_lost", kind=self.kind, error=error.message)

    def _record_success(self) -> None:
        if self._failing_since is None:
            return
        now = self._clock.monotonic()
        if now - self._failing_since >= MIN_OUTAGE:
            self._recovered_at = now
        log_event("store_back", kind=self.kind)
        self._failing_since = None
