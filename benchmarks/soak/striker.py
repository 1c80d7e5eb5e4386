"""Strikes planned faults at a fleet, each in a thread of its own."""

from __future__ import annotations

import threading
from collections import defaultdict
from concurrent.futures import Future, ThreadPoolExecutor
from datetime import timedelta
from typing import TYPE_CHECKING

from benchmarks.soak.plan import kind_of, scope_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.clock import Clock
    from benchmarks.soak.fleet import Fleet
    from benchmarks.soak.plan import Scope
    from benchmarks.soak.records import Fault

MAX_FAULTS_AT_A_TIME = 64


class Striker:
    """Strikes faults at their times.

    Parameters
    ----------
    fleet : Fleet
        What they are struck at.
    clock : Clock
        Source of time.
    report : callable
        Called with a fault when it begins or ends.
    """

    def __init__(
        self, fleet: Fleet, clock: Clock, report: Callable[[Fault], None]
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._report = report
        self._started_at = clock.monotonic()
        self._is_over = threading.Event()
        self._lock_by_target: dict[tuple[Scope, str], threading.Lock] = defaultdict(
            threading.Lock
        )

    def strike_all(self, faults: list[Fault]) -> None:
        """Strike faults, and return after the end of the last one."""
        futures: list[Future[None]] = []
        with ThreadPoolExecutor(MAX_FAULTS_AT_A_TIME) as pool:
            try:
                for fault in faults:
                    self._sleep_until(fault.start_s)
                    futures.append(pool.submit(self._strike, fault))
            finally:
                if len(futures) < len(faults):  # interrupted
                    self._is_over.set()
        for future in futures:
            future.result()

    def _strike(self, fault: Fault) -> None:
        kind = kind_of(fault)
        with self._lock_by_target[scope_of(fault), fault.target]:
            if self._is_over.is_set():
                return
            fault.began_at = self._now()
            kind.begin(self._fleet, fault)
            self._report(fault)
            self._sleep_until(fault.end_s)
            if self._is_over.is_set():
                return
            kind.end(self._fleet, fault)
            fault.ended_at = self._now()

    def _sleep_until(self, seconds: float) -> None:
        elapsed = self._clock.monotonic() - self._started_at
        left = timedelta(seconds=seconds) - elapsed
        self._is_over.wait(max(0.0, left.total_seconds()))

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()
