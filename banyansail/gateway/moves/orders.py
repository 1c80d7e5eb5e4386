"""Orders to move traffic as the store holds them, and the states published for them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from banyansail.gateway.moves.move import Move, MoveState

if TYPE_CHECKING:
    from datetime import timedelta

    from banyansail.platform.store_objects import Revision


@dataclass(slots=True, frozen=True)
class PublishedState:
    """State that was published for an order.

    Parameters
    ----------
    target : str
        Target of the order.
    state : MoveState
        State; that of a newer build is taken for `RUNNING`.
    text : str
        State as published.
    number : int or None
        Number of the order; ``None`` if an older build published the state.
    """

    target: str
    state: MoveState
    text: str
    number: int | None


@dataclass(slots=True, frozen=True)
class MoveOrder:
    """Order of an operator, and the last state published for the service.

    Parameters
    ----------
    target : str
        Version that will get all traffic.
    duration : timedelta
        Time from the order to its deadline.
    revision : Revision
        Revision of the last change of the order or of the state.
    created : int
        Revision of the first order for the service.
    published : PublishedState or None
        State; it may be of an order before.
    """

    service: str
    target: str
    duration: timedelta
    revision: Revision
    created: int
    published: PublishedState | None = None

    def is_same(self, other: MoveOrder) -> bool:
        """Return whether another order asks for the same."""
        return (self.target, self.duration) == (other.target, other.duration)

    def move(self, number: int) -> Move:
        """Return the move that the order asks for, given its number."""
        return Move(
            self.service, self.target, self.duration, number, self._state(number)
        )

    def _state(self, number: int) -> MoveState | None:
        """Return the published state if it is that of the order."""
        published = self.published
        if published is None or published.target != self.target:
            return None
        # An older build names all orders by the revision of the first one.
        known = self.created if published.number is None else published.number
        return published.state if known == number else None
