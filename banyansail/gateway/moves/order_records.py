"""Records of the orders to move traffic, for routers that start later.

A state that was published for an order stays in the store when another order is written
over it. The record tells at which revision the state was published, so that a router
which sees the object at another revision knows that it was written over.
"""

from __future__ import annotations

from dataclasses import replace
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any

from banyansail.exceptions import StoreConflictError
from banyansail.gateway.moves.order_numbers import OrderRecord
from banyansail.log import log_event

if TYPE_CHECKING:
    from banyansail.platform.store import StoreClient
    from banyansail.platform.store_objects import StoredObject

RECORDS_KIND = "move-orders"


class OrderRecords:
    """Records in the store, by service; the holder of the duties writes them.

    Parameters
    ----------
    store : StoreClient
        Store of the records.
    """

    __slots__ = ("_store", "_stored_by_service")

    def __init__(self, store: StoreClient) -> None:
        self._store = store
        self._stored_by_service: dict[str, StoredObject | None] = {}

    def forget(self) -> None:
        """Read all records again, as the store was restored from a copy."""
        self._stored_by_service.clear()

    async def load(self, service: str) -> OrderRecord | None:
        """Return the record of a service; ``None`` if there is none.

        Raises
        ------
        PlatformUnavailableError
            If the store can't be reached.
        """
        stored = await self._store.get(RECORDS_KIND, service)
        self._stored_by_service[service] = stored
        return None if stored is None else _decode(stored)

    async def save(self, service: str, record: OrderRecord) -> None:
        """Write the record of a service if the store has another one.

        Raises
        ------
        PlatformUnavailableError
            If the store can't be reached.
        """
        if service not in self._stored_by_service:
            await self.load(service)
        stored = self._stored_by_service[service]
        if stored is not None and _is_same(_decode(stored), record):
            return
        spec = _encode(record)
        try:
            if stored is None:
                written = await self._store.create(RECORDS_KIND, service, spec)
            else:
                written = await self._store.replace(
                    RECORDS_KIND, service, spec, stored.revision
                )
        except StoreConflictError as error:
            self._stored_by_service.pop(service, None)
            log_event("order_record_conflict", service=service, error=error.message)
            return
        self._stored_by_service[service] = written


def _is_same(known: OrderRecord | None, record: OrderRecord) -> bool:
    """Return whether two records tell the same, but for the clocks of their writers."""
    if known is None:
        return False
    return replace(known, ordered_at=None) == replace(record, ordered_at=None)


def _encode(record: OrderRecord) -> dict[str, Any]:
    spec = {
        "number": record.number,
        "revision": record.revision,
        "state": record.state,
    }
    if record.ordered_at is not None:
        spec["orderedMs"] = int(record.ordered_at.timestamp() * 1000)
    return spec


def _decode(stored: StoredObject) -> OrderRecord | None:
    """Return a stored record; one that can't be read counts as none."""
    try:
        spec = stored.spec
        ordered_ms = spec.get("orderedMs")
        return OrderRecord(
            int(spec["number"]),
            int(spec["revision"]),
            str(spec["state"]),
            None
            if ordered_ms is None
            else datetime.fromtimestamp(ordered_ms / 1000, UTC),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        log_event("order_record_unreadable", name=stored.name, error=repr(error))
        return None
