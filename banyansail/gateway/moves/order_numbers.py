"""Numbers that tell the orders of a service's moves apart.

An order may be written over the one before: the object of the store stays, with the
status of the order before, and its revision also rises with each status. The number of
an order is the revision at which it was written. Each published state names it, so that
a router that starts later or missed changes comes to the same number.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from datetime import datetime

    from banyansail.gateway.moves.orders import MoveOrder


@dataclass(slots=True, frozen=True)
class OrderRecord:
    """What the store held when a state had just been published for an order.

    Parameters
    ----------
    number : int
        Number of the order.
    revision : int
        Revision of the object with that state.
    state : str
        State as published.
    ordered_at : datetime or None
        Wall time at which the writer of the record received the order.
    """

    number: int
    revision: int
    state: str
    ordered_at: datetime | None = None


@dataclass(slots=True, frozen=True)
class _KnownOrder:
    order: MoveOrder
    number: int


class OrderNumbers:
    """Numbers of the present orders, as one router derives them.

    Attributes
    ----------
    unseen : set of str
        Services of whose order this router has seen no earlier state, so that the
        published state may be of an order before.
    unconfirmed : set of str
        These, and services that got a state since their order was last seen: others
        may have been written over it.
    """

    __slots__ = ("_known_by_service", "unconfirmed", "unseen")

    def __init__(self) -> None:
        self._known_by_service: dict[str, _KnownOrder] = {}
        self.unseen: set[str] = set()
        self.unconfirmed: set[str] = set()

    def forget(self) -> None:
        """Forget all orders, as the store was restored and gives out numbers again."""
        self._known_by_service.clear()
        self.unseen.clear()
        self.unconfirmed.clear()

    def confirm(self, record_by_service: Mapping[str, OrderRecord | None]) -> None:
        """Use the records of some services; apply their orders again after it."""
        for service, record in record_by_service.items():
            known = self._known_by_service.get(service)
            if known is not None and service in self.unconfirmed:
                self.learn(known.order, _confirmed_number(known, record))

    def learn(self, order: MoveOrder, number: int) -> None:
        """Take note of the number of an order, which is certain."""
        self._known_by_service[order.service] = _KnownOrder(order, number)
        self.unseen.discard(order.service)
        self.unconfirmed.discard(order.service)

    def number(self, order: MoveOrder) -> int:
        """Return the number of an order and remember it."""
        known = self._known_by_service.get(order.service)
        if known is not None and order.revision <= known.order.revision:
            return known.number
        published = order.published
        if published is None or published.target != order.target:
            number = order.revision.number  # nothing was published for it so far
        elif known is not None and published == known.order.published:
            number = order.revision.number  # written over, and nothing published since
        else:
            return self._presume(order, known)
        self.learn(order, number)
        return number

    def _presume(self, order: MoveOrder, known: _KnownOrder | None) -> int:
        """Return the number of an order if the last change was that of its state."""
        if order.published.number is not None:
            number = order.published.number
        elif known is None:
            number = order.created  # as the older build that published the state
        else:
            is_same = order.is_same(known.order)
            number = known.number if is_same else order.revision.number
        self.learn(order, number)
        self.unconfirmed.add(order.service)
        if known is None:
            self.unseen.add(order.service)
        return number


def _confirmed_number(known: _KnownOrder, record: OrderRecord | None) -> int:
    """Return the number of an order, given the record of the last published state."""
    order, published = known.order, known.order.published
    if record is None or record.revision >= order.revision.number:
        return known.number
    is_unchanged = (record.number, record.state) == (known.number, published.text)
    return order.revision.number if is_unchanged else known.number
