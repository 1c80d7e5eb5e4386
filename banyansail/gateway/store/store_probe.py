"""Detection of an unresponsive store, so that its watches can be cancelled.

A watch may wait for long without a response, which looks the same as an unresponsive
store. A cheap periodic read tells the two apart.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.exceptions import PlatformUnavailableError
from banyansail.log import log_event

if TYPE_CHECKING:
    from banyansail.platform.store import StoreClient


class StoreProbe:
    """Health check that reads one small object of the store.

    Parameters
    ----------
    store : StoreClient
        Store to check.
    kind, name : str
        Object to read; it need not exist.
    """

    def __init__(self, store: StoreClient, kind: str, name: str) -> None:
        self._store = store
        self._kind = kind
        self._name = name
        self._is_unreachable = False

    @property
    def is_unreachable(self) -> bool:
        """Whether the last read failed."""
        return self._is_unreachable

    async def probe(self) -> None:
        """Read the object; cancel the watches on failure and again on recovery."""
        try:
            await self._store.get(self._kind, self._name, serializable=True)
        except PlatformUnavailableError as error:
            if not self._is_unreachable:
                log_event("store_silent", error=error.message)
            self._is_unreachable = True
            self._store.cancel_watches()
            return
        if self._is_unreachable:
            # Watches sent while the store was unresponsive never get a response.
            self._is_unreachable = False
            self._store.cancel_watches()
            log_event("store_answers")
