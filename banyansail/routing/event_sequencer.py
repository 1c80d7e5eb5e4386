"""Ordering of a streamed answer's events over all attempts of one request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Deliver:
    """Forward the event to the caller."""


@dataclass(slots=True, frozen=True)
class Drop:
    """Ignore a duplicate of an event that the caller has received."""


@dataclass(slots=True, frozen=True)
class AbortAttempt:
    """Abort the attempt because events are missing."""

    reason: str


EventAction = Deliver | Drop | AbortAttempt

DELIVER = Deliver()
DROP = Drop()


class EventSequencer:
    """Filter that accepts each event of an answer once and in order.

    Parameters
    ----------
    next_index : int
        Index of the next event to deliver.
    """

    __slots__ = ("next_index",)

    def __init__(self, next_index: int = 0) -> None:
        self.next_index = next_index

    def accept(self, index: int) -> EventAction:
        """Return what to do with the event at an index."""
        if index == self.next_index:
            self.next_index += 1
            return DELIVER
        if index < self.next_index:
            return DROP
        return AbortAttempt(f"received event {index}, expected event {self.next_index}")
