"""Which routers may draw on an allowance that the whole fleet shares.

Each router takes an equal part, so a number that is too small lets the fleet exceed the
allowance, and one that is too large leaves a part of it unused. A router that is not
heard of may be at work behind a cut, so it counts until it is known to have ended.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from banyansail.clock import Clock

# After the start of this router. By then it has heard of all that run, unless it is cut
# off; entries of instances that are gone stay in the store.
REGISTERED_TIME = timedelta(minutes=2)


def has_majority(heard: int, known: int) -> bool:
    """Return whether the routers that are heard of are most of those there may be."""
    return heard * 2 > known


class Sharers:
    """Routers that may draw on an allowance, as one router knows them.

    Parameters
    ----------
    clock : Clock
        Source of time.
    window : timedelta
        Time over which the allowance is counted. What a router that left has used
        counts for as long.
    """

    __slots__ = ("_clock", "_registered", "_started_at", "_window")

    def __init__(self, clock: Clock, window: timedelta) -> None:
        self._clock = clock
        self._window = window
        self._started_at = clock.monotonic()
        self._registered: frozenset[str] | None = None

    def record_registered(self, names: Iterable[str]) -> None:
        """Add the names of all routers that are registered in the store."""
        self._registered = frozenset(names).union(self._registered or ())

    @property
    def is_complete(self) -> bool:
        """Whether the routers that are registered in the store are known."""
        return self._registered is not None

    def names(
        self, heard: Iterable[str], silence_by_leaving: Mapping[str, timedelta]
    ) -> frozenset[str]:
        """Return the names of all routers that may be at work.

        Parameters
        ----------
        heard : iterable of str
            Routers that were heard of, live or not.
        silence_by_leaving : mapping
            Time since the last sign of life of those that said that they stop.
        """
        left = {
            name
            for name, silence in silence_by_leaving.items()
            if silence > self._window
        }
        age = self._clock.monotonic() - self._started_at
        registered = self._registered if age < REGISTERED_TIME else None
        return frozenset(heard).union(registered or ()) - left
