"""Exponential backoff for instance pools that refused a start."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from banyansail.clock import Clock
    from banyansail.placement.planner import InstancePool, Offer

INITIAL_DELAY = timedelta(seconds=10)
MAX_DELAY = timedelta(minutes=10)


class StartBackoff:
    """Excludes pools after refused starts; the delay doubles with each in a row.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_refusal_by_pool")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._refusal_by_pool: dict[InstancePool, tuple[int, timedelta]] = {}

    def record_refusal(self, pool: InstancePool) -> None:
        """Record a refused start."""
        count = self._refusal_by_pool.get(pool, (0, timedelta(0)))[0]
        delay = min(MAX_DELAY, INITIAL_DELAY * 2**count)
        excluded_until = self._clock.monotonic() + delay
        self._refusal_by_pool[pool] = (min(count + 1, 16), excluded_until)

    def record_success(self, pool: InstancePool) -> None:
        """Record a granted start, which resets the delay."""
        self._refusal_by_pool.pop(pool, None)

    def available_offers(self, offers: Iterable[Offer]) -> list[Offer]:
        """Return the offers of the pools that are not excluded now."""
        now = self._clock.monotonic()
        return [
            offer
            for offer in offers
            if now >= self._refusal_by_pool.get(offer.pool, (0, timedelta(0)))[1]
        ]
