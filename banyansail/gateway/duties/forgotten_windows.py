"""Windows of usage whose stored counts a restored store may have lost.

A process that starts after a restore can not tell from the store alone that counts are
missing there. The first holder of the duties in an era therefore records which windows
had ended when it noticed the era.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.exceptions import StoreConflictError
from banyansail.log import log_event

if TYPE_CHECKING:
    from banyansail.gateway.duties.usage import UsageCounter
    from banyansail.platform.store import StoreClient
    from banyansail.platform.store_objects import StoredObject

RECORD_KIND = "usage"
RECORD_NAME = "restored"  # beside the objects of the windows, which are named by number
NO_WINDOW = -1


class ForgottenWindows:
    """Which windows may have been reported with counts that the store has lost.

    The store was restored before any process noticed its era, and counts are stored
    after their window has ended. So each process knows a bound by itself; that of a
    process which noticed the era early names the fewest windows.

    Parameters
    ----------
    store : StoreClient
        Store of the counts.
    usage : UsageCounter
        Tells the number of the present window.
    """

    __slots__ = ("_era", "_is_recorded", "_last_window", "_store", "_usage")

    def __init__(self, store: StoreClient, usage: UsageCounter) -> None:
        self._store = store
        self._usage = usage
        self._era: int | None = None
        self._last_window = NO_WINDOW
        self._is_recorded = False  # in the store, for this era

    def observe_era(self) -> None:
        """Take note of the store's era; to be called soon after it has changed."""
        if self._is_current():
            return
        self._era = self._store.era
        self._last_window = self._usage.current_window() - 1
        self._is_recorded = False

    def may_be_forgotten(self, window: int) -> bool:
        """Return whether lost counts of a window may have been reported."""
        return window <= self._last_window

    async def synchronize(self) -> bool:
        """Read the record of this era, or write it; return whether it is in the store.

        To be called by the holder of the duties only.

        Raises
        ------
        PlatformUnavailableError
            If the store can't be reached.
        """
        if not self._is_recorded:
            stored = await self._store.get(RECORD_KIND, RECORD_NAME)
            # A record that was read or written in a later era says nothing of this one.
            if self._is_current():
                await self._apply(stored)
        return self._is_recorded and self._is_current()

    def _is_current(self) -> bool:
        return self._store.era == self._era

    async def _apply(self, stored: StoredObject | None) -> None:
        if stored is not None and stored.spec["era"] == self._era:
            self._last_window = min(self._last_window, int(stored.spec["lastWindow"]))
            self._is_recorded = True
            return
        spec = {"era": self._era, "lastWindow": self._last_window}
        try:
            if stored is None:
                await self._store.create(RECORD_KIND, RECORD_NAME, spec)
            else:
                await self._store.replace(
                    RECORD_KIND, RECORD_NAME, spec, stored.revision
                )
        except StoreConflictError as error:
            log_event("era_record_conflict", error=error.message)
            return
        self._is_recorded = True
