"""Follows one kind of objects in the store: a list, then watches."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.exceptions import HistoryLostError, PlatformUnavailableError
from banyansail.log import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.clock import Clock
    from banyansail.platform.store import Store, StoredObject

RETURN_GRACE = timedelta(seconds=2.1)  # for entries that lapsed during an outage
OUTAGE = timedelta(seconds=1)  # a shorter silence makes no entry lapse


class Mirror:
    """Objects of one kind, as the store last told.

    Parameters
    ----------
    kind : str
        The kind.
    store : Store
        The store.
    clock : Clock
        Source of time.
    on_change : callable
        Called with the mirror after each change.
    """

    def __init__(
        self,
        kind: str,
        store: Store,
        clock: Clock,
        on_change: Callable[[Mirror], None],
        *,
        keeps_lapsed: bool = False,
    ) -> None:
        self.kind = kind
        self._store = store
        self._clock = clock
        self._on_change = on_change
        self._keeps_lapsed = keeps_lapsed
        self._lapsed_at: dict[str, timedelta] = {}
        self._failed_since: timedelta | None = None
        self._back_at: timedelta | None = None
        self.at: int | None = None
        self.object_by_name: dict[str, StoredObject] = {}

    @property
    def lapsed_names(self) -> set[str]:
        """Names of entries that are gone and may come back after an outage."""
        return set(self._lapsed_at)

    def seed(self, objects: list[StoredObject]) -> None:
        """Take objects that another router knows, until the store is reached."""
        if self.at is not None:
            return
        self.object_by_name = {item.name: item for item in objects}
        self._on_change(self)

    async def follow(self) -> None:
        """List the objects, or wait for their next changes."""
        try:
            if self.at is None:
                await self._list()
            else:
                await self._watch()
        except HistoryLostError:
            self.at = None
            return
        except PlatformUnavailableError as error:
            self._note_failure(error)
            raise
        self._note_answer()

    def drop_lapsed(self) -> None:
        """Drop entries that did not come back in time after an outage."""
        now = self._clock.monotonic()
        over = [
            name for name, at in self._lapsed_at.items() if now - at >= RETURN_GRACE
        ]
        for name in over:
            del self._lapsed_at[name]
            self.object_by_name.pop(name, None)
        if over:
            log_event("entries_lapsed", kind=self.kind, names=over)
            self._on_change(self)

    async def _list(self) -> None:
        at, found = await self._store.list(self.kind)
        new = {item.name: item for item in found}
        gone = self.object_by_name.keys() - new.keys()
        for name in gone:
            self._remove(name)
        for name in new:
            self._lapsed_at.pop(name, None)
        self.object_by_name.update(new)
        self.at = at
        self._on_change(self)

    async def _watch(self) -> None:
        at, changes = await self._store.watch(self.kind, self.at)
        for change in changes:
            name = change.stored.name
            if change.is_deleted:
                self._remove(name)
            else:
                self._lapsed_at.pop(name, None)
                self.object_by_name[name] = change.stored
        self.at = max(at, self.at)
        if changes:
            self._on_change(self)  # also if an entry is held, as it is doubtful then

    def _remove(self, name: str) -> None:
        """Drop an entry, or hold it for a while if an outage may have ended it."""
        if not self._keeps_lapsed or not self._is_just_back():
            self._lapsed_at.pop(name, None)
            self.object_by_name.pop(name, None)
        elif name in self.object_by_name:
            self._lapsed_at.setdefault(name, self._back_at or self._clock.monotonic())

    def _is_just_back(self) -> bool:
        now = self._clock.monotonic()
        if self._failed_since is not None:
            return now - self._failed_since >= OUTAGE
        return self._back_at is not None and now - self._back_at < RETURN_GRACE

    def _note_failure(self, error: PlatformUnavailableError) -> None:
        if self._failed_since is None:
            self._failed_since = self._clock.monotonic()
            log_event("store_lost", kind=self.kind, error=error.message)

    def _note_answer(self) -> None:
        if self._failed_since is None:
            return
        now = self._clock.monotonic()
        if now - self._failed_since >= OUTAGE:
            self._back_at = now
        log_event("store_back", kind=self.kind)
        self._failed_since = None
