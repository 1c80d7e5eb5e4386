"""Local copy of all objects of one kind in the store.

It is kept by a list and then watches, or by the changes that a router that watches the
store passes on.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.exceptions import (
    HistoryLostError,
    PlatformUnavailableError,
    WatchRenewedError,
)
from banyansail.gateway.store.confirmation import Confirmation
from banyansail.gateway.store.deleted_objects import DeletedObjects
from banyansail.gateway.store.lapsed_entries import LapsedEntries
from banyansail.gateway.store.outage import MIN_OUTAGE, Outage
from banyansail.gateway.store.removal_history import RemovalHistory
from banyansail.log import log_event
from banyansail.wire.call_types import KindChanges

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from typing import Any

    from banyansail.clock import Clock
    from banyansail.platform.store import StoreClient
    from banyansail.platform.store_objects import Change, Revision, StoredObject


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
        ones, for a while.
    is_minor_change : callable
        Returns whether two contents of an object differ only in what may be learned
        late.
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
        is_minor_change: Callable[[Any, Any], bool] = lambda before, after: False,
        remembers_deleted: bool = True,
    ) -> None:
        self.kind = kind
        self._store = store
        self._clock = clock
        self._listeners = [on_change]
        self._is_minor_change = is_minor_change
        self.has_minor_changes_only = False  # in the last answer of the store
        self._keeps_lapsed = keeps_lapsed
        self._remembers_deleted = remembers_deleted
        self._is_restored = False  # since the last list
        self._outage = Outage(kind, clock)
        self._lapsed = LapsedEntries(clock, self._outage)
        self.confirmation = Confirmation(clock)
        self._removals = RemovalHistory()
        self._deleted = DeletedObjects()
        self.revision: Revision | None = None  # of the last list or watch
        self.object_by_name: dict[str, StoredObject] = {}
        # Objects that a restored store does not have, and that may be written again.
        self.missing_names: set[str] = set()

    @property
    def lapsed_names(self) -> set[str]:
        """Names of entries that the store lost, perhaps only because of an outage."""
        return set(self._lapsed.names)

    @property
    def age(self) -> timedelta:
        """Time since the state was last known to be current."""
        return timedelta.max if self.revision is None else self.confirmation.age

    def add_listener(self, listener: Callable[[Mirror], None]) -> None:
        """Call a function with the mirror after each change."""
        self._listeners.append(listener)

    def record_loss(self) -> None:
        """Record that no other router passes changes on any more.

        If that is so because of an outage of the store, entries may have expired.
        """
        if self.revision is not None and self.age >= MIN_OUTAGE:
            self._outage.record_failure("no router passes it on", self.confirmation.at)

    def changes_since(self, known: Revision | None) -> KindChanges | None:
        """Return what another router that has a revision lacks.

        Returns
        -------
        KindChanges or None
            ``None`` if this router has no list itself.
        """
        revision = self.revision
        if revision is None:
            return None
        is_complete = not self._removals.covers(known)
        present: Iterable[StoredObject] = ()
        deleted: list[str] = []
        if is_complete:
            present = self.object_by_name.values()
        elif known < revision:
            present = (
                stored
                for stored in self.object_by_name.values()
                if stored.revision > known
            )
            deleted = self._removals.names_since(known)
        return KindChanges(
            self.kind,
            revision,
            is_complete,
            tuple(stored for stored in present if stored.name not in self._lapsed),
            tuple(deleted),
            self._lapsed.names,
            self.age,
        )

    def apply_changes(self, changes: KindChanges, as_of: timedelta) -> None:
        """Apply what another router passed on.

        Parameters
        ----------
        as_of : timedelta
            Monotonic time of which the changes are known to be current.
        """
        revision = changes.revision
        if self.revision is not None and revision.era < self.revision.era:
            return
        if self.revision is None or revision > self.revision:
            if changes.is_complete:
                self._replace_all(revision, changes.objects, set(changes.lapsed))
                self._notify()
            elif self.revision is None or revision.era != self.revision.era:
                return
            else:
                self._apply_difference(changes)
        self.confirmation.confirm(as_of)
        self._outage.record_state(as_of)

    def _apply_difference(self, changes: KindChanges) -> None:
        self.revision = changes.revision
        for name in changes.deleted:
            self._remove(name, is_lapsed=name in changes.lapsed)
        for stored in changes.objects:
            self._put(stored)
        if changes.deleted or changes.objects:
            self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener(self)

    def seed(self, objects: list[StoredObject]) -> None:
        """Use objects received from another router until the store can be reached."""
        if self.revision is not None:
            return
        self.object_by_name = {item.name: item for item in objects}
        self._notify()

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
        except WatchRenewedError:
            self.has_minor_changes_only = False
            return
        except PlatformUnavailableError as error:
            self._outage.record_failure(error.message)
            raise
        self._outage.record_success()

    def expire_lapsed(self) -> None:
        """Remove lapsed entries that did not return in time."""
        expired = self._lapsed.expired_names()
        for name in expired:
            self._delete(name)
        if expired:
            log_event("entries_lapsed", kind=self.kind, names=expired)
            self._notify()

    async def _list(self) -> None:
        sent_at = self._clock.monotonic()
        revision, found = await self._store.list(self.kind)
        if self.revision is not None and self.revision >= revision:
            return  # another router passed on a newer list meanwhile
        self._replace_all(revision, found, set())
        self.confirmation.confirm(sent_at)
        self._notify()

    def _replace_all(
        self, revision: Revision, found: Iterable[StoredObject], lapsed: set[str]
    ) -> None:
        """Replace all objects; those without history in between are in the list."""
        self.has_minor_changes_only = False
        found_by_name = {item.name: item for item in found}
        removed = self.object_by_name.keys() - found_by_name.keys()
        if self._is_restored:
            self._is_restored = False
            self._outage.record_restore()
            self.missing_names |= removed
            self._deleted.record_restore(found_by_name)
        self.revision = revision
        for name in removed:
            self._remove(name, is_lapsed=name in lapsed)
        for stored in self._deleted.without_copies(found_by_name).values():
            self._put(stored)
        self._removals.restart(revision)

    async def _watch(self) -> None:
        since = self.revision
        self.confirmation.begin_watch()
        try:
            revision, changes = await self._store.watch(self.kind, since)
        finally:
            self.confirmation.end_watch()
        if self.revision is None:
            return  # the store was restored meanwhile
        self.confirmation.confirm_by_watch()
        if self.revision > since and self.revision >= revision:
            return  # another router passed on the same changes meanwhile
        self.has_minor_changes_only = bool(changes) and all(
            self._is_minor(change) for change in changes
        )
        self.revision = max(revision, self.revision)
        for change in changes:
            name = change.stored.name
            if change.is_deleted:
                self._remove(name)
            else:
                self._put(change.stored)
        if changes:
            self._notify()  # also if entries lapsed, which changes `lapsed_names`

    def _is_minor(self, change: Change) -> bool:
        known = self.object_by_name.get(change.stored.name)
        if known is None or change.is_deleted or known.name in self._lapsed:
            return False
        return self._is_minor_change(known.spec, change.stored.spec)

    def _put(self, stored: StoredObject) -> None:
        name = stored.name
        self._removals.forget(name)
        self._deleted.forget(name)
        self._lapsed.discard(name)
        self.missing_names.discard(name)
        self.object_by_name[name] = stored

    def _delete(self, name: str) -> None:
        self._lapsed.discard(name)
        self.missing_names.discard(name)
        self.object_by_name.pop(name, None)
        if self._remembers_deleted:
            self._deleted.record(name)

    def _remove(self, name: str, *, is_lapsed: bool = False) -> None:
        """Remove an entry, or keep it for a while if an outage may have expired it."""
        self._removals.record(name, self.revision)
        may_be_lapsed = is_lapsed or self._outage.may_have_expired_entries()
        if not self._keeps_lapsed or not may_be_lapsed:
            self._delete(name)
        elif name in self.object_by_name:
            self._lapsed.add(name)
