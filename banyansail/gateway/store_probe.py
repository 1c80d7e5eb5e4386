"""Finds out that the store has gone silent, so that no watch waits in vain.

A watch may wait for long without an answer, and a store that has gone silent looks the
same. A cheap read tells them apart.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.exceptions import PlatformUnavailableError
from banyansail.log import log_event

if TYPE_CHECKING:
    from banyansail.platform.store import Store


class StoreProbe:
    """Reads one small object again and again.

    Parameters
    ----------
    store : Store
        The store.
    kind, name : str
        The object; it need not exist.
    """

    def __init__(self, store: Store, kind: str, name: str) -> None:
        self._store = store
        self._kind = kind
        self._name = name
        self._is_lost = False

    @property
    def is_lost(self) -> bool:
        """Whether the store did not serve this router when it was last asked."""
        return self._is_lost

    async def probe(self) -> None:
        """Read the object; drop the watches on failure, and once more after it."""
        try:
            await self._store.get(self._kind, self._name, serializable=True)
        except PlatformUnavailableError as error:
            if not self._is_lost:
                log_event("store_silent", error=error.message)
            self._is_lost = True
            self._store.drop_watches()
            return
        if self._is_lost:
            # What was sent while the store was silent stays without an answer.
            self._is_lost = False
            self._store.drop_watches()
            log_event("store_answers")
