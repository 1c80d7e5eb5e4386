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

    __slots__ = ("_last_index", "next_index")

    def __init__(self, next_index: int = 0) -> None:
        self.next_index = next_index
        self._last_index: int | None = None  # of the current attempt

    def start_attempt(self) -> None:
        """Expect the events of another attempt."""
        self._last_index = None

    def accept(self, index: int) -> EventAction:
        """Return what to do with the event at an index."""
        self._last_index = index
        if index == self.next_index:
            self.next_index += 1
            return DELIVER
        if index < self.next_index:
            return DROP
        return AbortAttempt(f"received event {index}, expected event {self.next_index}")

    def accept_end(self) -> AbortAttempt | None:
        """Return why the answer can't end here, or ``None`` if it can.

        An attempt that repeats events has to reach the last one that was delivered.
        """
        if self._last_index is None or self._last_index >= self.next_index - 1:
            return None
        return AbortAttempt(
            f"the answer ended with event {self._last_index}, "
            f"but event {self.next_index - 1} was delivered"
        )
