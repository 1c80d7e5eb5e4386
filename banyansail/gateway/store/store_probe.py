"""Detection of an unresponsive store, so that its watches can be cancelled.

A watch may wait for long without a response, which looks the same as an unresponsive
store or a stalled connection. A cheap periodic read tells them apart.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import defer

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
        self._lock = defer.DeferredLock()  # a second check would open a connection

    @property
    def is_unreachable(self) -> bool:
        """Whether the last read failed."""
        return self._is_unreachable

    async def probe(self) -> None:
        """Read the object; cancel the watches on failure and again on recovery."""
        await self._lock.run(self._probe)

    async def _probe(self) -> None:
        try:
            await self._store.check(self._kind, self._name)
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
