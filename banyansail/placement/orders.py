"""Orders to engines: which version each should load.

An order states the wanted result, so that it can be sent again; an engine whose
report differs from what is wanted is ordered again.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.clock import Clock

ORDER_FLIGHT = timedelta(seconds=3)  # an old order may arrive this late
LOADS_PER_MINUTE = 12.0
LOAD_BURST = 2.0


@dataclass(slots=True, frozen=True)
class EngineReport:
    """What an engine says of itself.

    Parameters
    ----------
    version : str
        Version that it was told to have, or else that it runs.
    fencing : int
        Fencing number of the last order that it took.
    checks_fencing : bool
        Whether it refuses orders with an old fencing number.
    """

    name: str
    version: str
    fencing: int
    checks_fencing: bool


@dataclass(slots=True, frozen=True)
class LoadVersion:
    """Order an engine to have a version."""

    engine: str
    version: str
    fencing: int


def plan_versions(
    reports: Iterable[EngineReport],
    old_version: str,
    new_version: str,
    new_share: float,
) -> dict[str, str]:
    """Return the version that each engine should have.

    Enough engines for the share are to have the new version, with one at least
    while the share is above zero; those that have it already are kept.
    """
    reports = sorted(reports, key=lambda item: item.name)
    count = len(reports)
    new_count = math.ceil(new_share * count)
    if new_share < 1 and count > 1:
        new_count = min(new_count, count - 1)
    ranked = sorted(reports, key=lambda item: (item.version != new_version, item.name))
    wanted = {item.name: old_version for item in reports}
    for item in ranked[:new_count]:
        wanted[item.name] = new_version
    return wanted


def due_orders(
    reports: Iterable[EngineReport],
    wanted: dict[str, str],
    fencing: int,
    held_for: timedelta,
    lease_time: timedelta,
) -> list[LoadVersion]:
    """Return the orders for engines that do not have what is wanted.

    Parameters
    ----------
    held_for : timedelta
        How long this holder has had the duty. Engines that ignore fencing numbers
        are ordered only after the old lease and its orders have run out.
    """
    is_old_holder_gone = held_for >= lease_time + ORDER_FLIGHT
    return [
        LoadVersion(item.name, wanted[item.name], fencing)
        for item in reports
        if wanted.get(item.name, item.version) != item.version
        and (item.checks_fencing or is_old_holder_gone)
    ]


class LoadSchedule:
    """Keeps loads of versions under the rate of the weight store.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_at", "_clock", "_tokens")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tokens = LOAD_BURST
        self._at = clock.monotonic()

    def take(self) -> bool:
        """Return whether one more load may begin now."""
        now = self._clock.monotonic()
        gained = (now - self._at) / timedelta(minutes=1) * LOADS_PER_MINUTE
        self._tokens = min(LOAD_BURST, self._tokens + gained)
        self._at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
