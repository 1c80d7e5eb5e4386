"""Orders to engines: the version that each should load.

An order is idempotent: it names the desired version and can be sent again. An engine
whose report differs from the desired version receives another order.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.clock import Clock

MAX_ORDER_DELAY = timedelta(seconds=3)  # an order may arrive this late
LOADS_PER_MINUTE = 12.0
LOAD_BURST = 2.0


@dataclass(slots=True, frozen=True)
class EngineReport:
    """State reported by an engine.

    Parameters
    ----------
    version : str
        Version that it was ordered to load, or else the one that it runs.
    fencing_token : int
        Fencing token of the last order that it accepted.
    checks_fencing : bool
        Whether it rejects orders with an older fencing token.
    """

    name: str
    version: str
    fencing_token: int
    checks_fencing: bool


@dataclass(slots=True, frozen=True)
class LoadVersion:
    """Order to an engine to load a version."""

    engine: str
    version: str
    fencing_token: int


def plan_versions(
    reports: Iterable[EngineReport],
    old_version: str,
    new_version: str,
    new_share: float,
) -> dict[str, str]:
    """Return the version that each engine should have.

    The new version gets enough engines for its share, rounded up, and those that have
    it already come first. Below a share of 1 at least one engine keeps the old
    version, if there are several.
    """
    reports = sorted(reports, key=lambda report: report.name)
    count = len(reports)
    new_count = math.ceil(new_share * count)
    if new_share < 1 and count > 1:
        new_count = min(new_count, count - 1)
    ranked = sorted(
        reports, key=lambda report: (report.version != new_version, report.name)
    )
    version_by_engine = {report.name: old_version for report in reports}
    for report in ranked[:new_count]:
        version_by_engine[report.name] = new_version
    return version_by_engine


def due_orders(
    reports: Iterable[EngineReport],
    version_by_engine: dict[str, str],
    fencing_token: int,
    lease_age: timedelta,
    lease_time: timedelta,
) -> list[LoadVersion]:
    """Return the orders for engines that do not have the desired version.

    Parameters
    ----------
    lease_age : timedelta
        Time since this router acquired the lease. Engines that ignore fencing tokens
        receive orders only once the previous lease has expired and no order of its
        holder can arrive any more.
    """
    is_previous_holder_expired = lease_age >= lease_time + MAX_ORDER_DELAY
    return [
        LoadVersion(report.name, version_by_engine[report.name], fencing_token)
        for report in reports
        if version_by_engine.get(report.name, report.version) != report.version
        and (report.checks_fencing or is_previous_holder_expired)
    ]


class LoadRateLimit:
    """Token bucket that limits version loads to the rate of the weight store.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_refilled_at", "_tokens")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tokens = LOAD_BURST
        self._refilled_at = clock.monotonic()

    def try_acquire(self) -> bool:
        """Take a token for one more load, if there is one."""
        now = self._clock.monotonic()
        refill = (now - self._refilled_at) / timedelta(minutes=1) * LOADS_PER_MINUTE
        self._tokens = min(LOAD_BURST, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
