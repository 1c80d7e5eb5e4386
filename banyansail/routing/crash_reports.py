"""Crashes of upstreams that this router detected, as it reports them to others."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from banyansail.routing.quarantine import SUSPECT_LIFETIME

if TYPE_CHECKING:
    from datetime import timedelta

    from banyansail.clock import Clock
    from banyansail.routing.quarantine import UpstreamCrash

MAX_REPORTS = 20  # the most recent ones


class CrashReports:
    """Recent crashes that one router detected.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_detected")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._detected: list[tuple[timedelta, UpstreamCrash]] = []

    def add(self, crash: UpstreamCrash) -> list[UpstreamCrash]:
        """Add a crash detected now; return all to report, with their present ages."""
        now = self._clock.monotonic()
        self._detected = [
            (detected_at, earlier)
            for detected_at, earlier in [*self._detected, (now, crash)]
            if now - detected_at < SUSPECT_LIFETIME
        ][-MAX_REPORTS:]
        return [
            replace(earlier, age=now - detected_at)
            for detected_at, earlier in self._detected
        ]
