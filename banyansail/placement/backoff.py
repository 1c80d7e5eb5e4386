"""Places whose starts were refused are left out for a while."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from banyansail.clock import Clock
    from banyansail.placement.planner import Offer, Place

FIRST_PAUSE = timedelta(seconds=10)
LONGEST_PAUSE = timedelta(minutes=10)


class RefusedPlaces:
    """Remembers refusals; the pause doubles with each in a row.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_refusal_by_place")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._refusal_by_place: dict[Place, tuple[int, timedelta]] = {}

    def refuse(self, place: Place) -> None:
        """Account for a start that was refused."""
        count = self._refusal_by_place.get(place, (0, timedelta(0)))[0]
        pause = min(LONGEST_PAUSE, FIRST_PAUSE * 2**count)
        until = self._clock.monotonic() + pause
        self._refusal_by_place[place] = (min(count + 1, 16), until)

    def accept(self, place: Place) -> None:
        """Account for a start that was granted."""
        self._refusal_by_place.pop(place, None)

    def usable(self, offers: Iterable[Offer]) -> list[Offer]:
        """Return the offers whose places may be asked for now."""
        now = self._clock.monotonic()
        return [
            offer
            for offer in offers
            if now >= self._refusal_by_place.get(offer.place, (0, timedelta(0)))[1]
        ]
