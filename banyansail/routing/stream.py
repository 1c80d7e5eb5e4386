"""Order of the events of a streamed answer, over all attempts of one request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Deliver:
    """Pass the event on to the caller."""


@dataclass(slots=True, frozen=True)
class Drop:
    """Ignore the event: the caller has it already."""


@dataclass(slots=True, frozen=True)
class Break:
    """Give the attempt up: its events cannot be a whole answer."""

    reason: str


Verdict = Deliver | Drop | Break

DELIVER = Deliver()
DROP = Drop()


class StreamOrder:
    """Accepts each event of an answer once and in order.

    Parameters
    ----------
    next_index : int
        Index of the first event that the caller lacks.
    """

    __slots__ = ("next_index",)

    def __init__(self, next_index: int = 0) -> None:
        self.next_index = next_index

    def accept(self, index: int) -> Verdict:
        """Decide about the event with an index."""
        if index == self.next_index:
            self.next_index += 1
            return DELIVER
        if index < self.next_index:
            return DROP
        return Break(f"event {index} came where {self.next_index} was due")
