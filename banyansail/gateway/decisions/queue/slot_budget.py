"""Slots that a router may take while its requests wait or the fleet is loaded.

Reports of other routers' load are up to 0.8 s old. When slots become free in a loaded
fleet, all routers see the same ones; without a budget each gives them to its waiting
requests, several times over, and the order of the requests has no effect. So each
router uses an equal part of all slots, and what the reports show to be free besides.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from banyansail.clock import Clock

LOADED_SHARE = 0.9  # of the slots in use, from which on even new requests need a part
# Without a new report the budget does not apply, as others may have gone.
MAX_AGE = timedelta(seconds=1)
GAIN = 0.5  # of the reported free slots, as a sum shows earlier decisions late


class SlotBudget:
    """Part of a service's slots that this router may use.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : Random
        Source of the rounding of fractions.
    """

    __slots__ = (
        "_clock",
        "_is_loaded",
        "_left",
        "_own",
        "_part",
        "_random",
        "_renewed_at",
    )

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._renewed_at: timedelta | None = None
        self._left = 0  # slots beyond the equal part
        self._own = 0
        self._part = 0.0
        self._is_loaded = False

    def renew(self, slots: int, own: int, others: int, routers: int) -> None:
        """Take a new report into account.

        A router with more requests in flight gets more of the free slots, and one with
        none still gets some.

        Parameters
        ----------
        slots : int
            Slots of all upstreams that take work.
        own, others : int
            Slots in use by this router, and by the others as reported.
        """
        in_use = own + others
        free = max(0, slots - in_use)
        part = (own / in_use + 1 / routers) / 2 if in_use else 1 / routers
        wanted = free * part * GAIN
        self._left = int(wanted) + (self._random.random() < wanted % 1)
        self._own = own
        self._part = slots / routers
        self._is_loaded = in_use >= slots * LOADED_SHARE
        self._renewed_at = self._clock.monotonic()

    def allows(self, *, is_waiting: bool) -> bool:
        """Return whether a slot may be taken, for a waiting request or a new one."""
        if self._left > 0 or not (is_waiting or self._is_loaded):
            return True
        if self._renewed_at is None or self._own < self._part:
            return True
        return self._clock.monotonic() - self._renewed_at > MAX_AGE

    def record_assigned(self) -> None:
        """Count a slot that is taken."""
        self._own += 1
        if self._own > self._part and self._left > 0:
            self._left -= 1

    def record_released(self) -> None:
        """Count a slot that this router released.

        In a loaded fleet, one beyond the equal part is left to the others.
        """
        if self._own > self._part and not self._is_loaded:
            self._left += 1
        self._own -= 1
