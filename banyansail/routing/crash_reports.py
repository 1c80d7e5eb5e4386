"""Crashes of upstreams that this router detected, as it reports them to others."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.routing.crash_history import SUSPECT_LIFETIME

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.routing.crash_history import UpstreamCrash

MAX_REPORTS = 8  # the most recent ones


@dataclass(slots=True, frozen=True)
class CrashReport:
    """What one router tells the others about crashes.

    Parameters
    ----------
    crashes : tuple of UpstreamCrash
        Recent crashes that it detected.
    age_by_cleared_subject : dict of int to timedelta
        Time since an upstream answered a request with a suspected subject.
    """

    crashes: tuple[UpstreamCrash, ...] = ()
    age_by_cleared_subject: dict[int, timedelta] = field(default_factory=dict)


class CrashReports:
    """Recent crashes that one router detected, and subjects that it cleared.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_cleared_at_by_subject", "_clock", "_detected")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._detected: list[tuple[timedelta, UpstreamCrash]] = []
        self._cleared_at_by_subject: dict[int, timedelta] = {}

    def add(self, crash: UpstreamCrash) -> None:
        """Add a crash that was detected now."""
        self._detected.append((self._clock.monotonic(), crash))

    def add_cleared(self, subject: int) -> None:
        """Add a subject that is cleared now."""
        self._cleared_at_by_subject.pop(subject, None)
        self._cleared_at_by_subject[subject] = self._clock.monotonic()

    def report(self) -> CrashReport:
        """Return what is recent, with the present ages."""
        now = self._clock.monotonic()
        oldest = now - SUSPECT_LIFETIME
        self._detected = [item for item in self._detected if item[0] > oldest]
        self._detected = self._detected[-MAX_REPORTS:]
        recent = [
            (subject, at)
            for subject, at in self._cleared_at_by_subject.items()
            if at > oldest
        ]
        self._cleared_at_by_subject = dict(recent[-MAX_REPORTS:])
        return CrashReport(
            tuple(replace(crash, age=now - at) for at, crash in self._detected),
            {subject: now - at for subject, at in self._cleared_at_by_subject.items()},
        )
