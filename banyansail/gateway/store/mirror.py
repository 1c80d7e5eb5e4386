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
from banyansail.log import log_event
from banyansail.wire.call_types import KindChanges

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from typing import Any

    from banyansail.clock import Clock
    from banyansail.platform.store import StoreClient
    from banyansail.platform.store_objects import Change, Revision, StoredObject

RETURN_GRACE = timedelta(seconds=2.1)  # for entries that expired during an outage
MIN_OUTAGE = timedelta(seconds=1)  # no entry expires during a shorter failure
MAX_DELETED_NAMES = 2000  # that are remembered; the oldest ones are forgotten
MIN_STALL = timedelta(milliseconds=400)  # between calls that are due each 200 ms
NEVER = timedelta.min


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
        self._lapsed_at: dict[str, timedelta] = {}
        self._failing_since: timedelta | None = None
        self._recovered_at: timedelta | None = None
        self._is_restored = False  # since the last list
        self._deleted_names: dict[str, None] = {}  # in the order of deletion
        # Of names that the store no longer has: the first revision of this mirror
        # without them. All removals after `_history_start` are known.
        self._removal_revision_by_name: dict[str, Revision] = {}
        self._history_start: Revision | None = None
        self._watch_sent_at: timedelta | None = None  # while its answer is awaited
        self._has_stalled = False  # since the watch was sent
        self._ran_at: timedelta | None = None
        self._confirmed_at = NEVER  # the state is that of this time or later
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

    @property
    def age(self) -> timedelta:
        """Time since the state was last known to be current."""
        if self.revision is None or self._confirmed_at == NEVER:
            return timedelta.max
        return self._clock.monotonic() - self._confirmed_at

    def add_listener(self, listener: Callable[[Mirror], None]) -> None:
        """Call a function with the mirror after each change."""
        self._listeners.append(listener)

    def record_contact(self, sent_at: timedelta) -> None:
        """Record that the store answered a check sent at a time.

        A watch that was not renewed by the check has missed nothing before it.
        """
        if self._watch_sent_at is not None and sent_at >= self._watch_sent_at:
            self._confirm(sent_at)

    def record_loss(self) -> None:
        """Record that no other router passes changes on any more.

        If that is so because of an outage of the store, entries may have expired.
        """
        if self.revision is None or self._failing_since is not None:
            return
        if self.age >= MIN_OUTAGE:
            self._failing_since = self._confirmed_at
            log_event("store_lost", kind=self.kind, error="no router passes it on")

    def record_running(self) -> None:
        """Record that this process runs; to be called often.

        If it did not run for a while, as when it was frozen, the answer to the present
        watch may have waited as long to be read.
        """
        self._has_stalled = self._has_stalled or self._is_stalled()
        self._ran_at = self._clock.monotonic()

    def _is_stalled(self) -> bool:
        now = self._clock.monotonic()
        return self._ran_at is not None and now - self._ran_at > MIN_STALL

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
        is_complete = known is None or known < (self._history_start or revision)
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
            deleted = [
                name
                for name, removed_at in self._removal_revision_by_name.items()
                if removed_at > known
            ]
        return KindChanges(
            self.kind,
            revision,
            is_complete,
            tuple(stored for stored in present if stored.name not in self._lapsed_at),
            tuple(deleted),
            tuple(self._lapsed_at),
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
        self._confirm(as_of)
        if self._failing_since is not None and as_of > self._failing_since:
            self._record_success()

    def _apply_difference(self, changes: KindChanges) -> None:
        self.revision = changes.revision
        for name in changes.deleted:
            self._remove(name, is_lapsed=name in changes.lapsed)
        for stored in changes.objects:
            self._put(stored)
        if changes.deleted or changes.objects:
            self._notify()

    def _confirm(self, at: timedelta) -> None:
        self._confirmed_at = max(self._confirmed_at, at)

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
            self._notify()

    async def _list(self) -> None:
        sent_at = self._clock.monotonic()
        revision, found = await self._store.list(self.kind)
        if self.revision is not None and self.revision >= revision:
            return  # another router passed on a newer list meanwhile
        self._replace_all(revision, found, set())
        self._confirm(sent_at)
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
        self.revision = revision
        for name in removed:
            self._remove(name, is_lapsed=name in lapsed)
        for stored in found_by_name.values():
            self._put(stored)
        self._history_start = revision
        self._removal_revision_by_name.clear()  # a list has no removals

    async def _watch(self) -> None:
        since = self.revision
        self._watch_sent_at = self._clock.monotonic()
        self._has_stalled = False
        try:
            revision, changes = await self._store.watch(self.kind, since)
        finally:
            self._watch_sent_at = None
        if self.revision is None:
            return  # the store was restored meanwhile
        if not (self._has_stalled or self._is_stalled()):
            self._confirm(self._clock.monotonic())
        if self.revision > since and self.revision >= revision:
            return  # another router passed on the same changes meanwhile
        self.has_minor_changes_only = self._are_minor(changes)
        self.revision = max(revision, self.revision)
        for change in changes:
            name = change.stored.name
            if change.is_deleted:
                self._remove(name)
            else:
                self._put(change.stored)
        if changes:
            self._notify()  # also if entries lapsed, which changes `lapsed_names`

    def _are_minor(self, changes: list[Change]) -> bool:
        return bool(changes) and all(map(self._is_minor, changes))

    def _is_minor(self, change: Change) -> bool:
        known = self.object_by_name.get(change.stored.name)
        if known is None or change.is_deleted or known.name in self._lapsed_at:
            return False
        return self._is_minor_change(known.spec, change.stored.spec)

    def _put(self, stored: StoredObject) -> None:
        name = stored.name
        self._removal_revision_by_name.pop(name, None)
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

    def _remove(self, name: str, *, is_lapsed: bool = False) -> None:
        """Remove an entry, or keep it for a while if an outage may have expired it."""
        self._record_removal(name)
        if not self._keeps_lapsed or not (is_lapsed or self._has_just_recovered()):
            self._delete(name)
        elif name in self.object_by_name:
            self._lapsed_at.setdefault(name, self._lapse_start())

    def _record_removal(self, name: str) -> None:
        removals = self._removal_revision_by_name
        removals.pop(name, None)
        removals[name] = self.revision
        while len(removals) > MAX_DELETED_NAMES:
            self._history_start = removals.pop(next(iter(removals)))

    def _lapse_start(self) -> timedelta:
        now = self._clock.monotonic()
        recovered_at = self._recovered_at
        # An outage that ends with the call in progress has not been recorded yet.
        if recovered_at is None or now - recovered_at >= RETURN_GRACE:
            return now
        return recovered_at

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
