"""Crashes of upstreams as several routers report them, each kept once."""

from __future__ import annotations

import secrets
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable

    from banyansail.clock import Clock

SUSPECT_LIFETIME = timedelta(minutes=2)
CRASH_LIFETIME = timedelta(minutes=10)  # what crashes upstreams may be rare
CORRELATED_CRASH_WINDOW = timedelta(seconds=5)
REPORT_LIFETIME = 2 * SUSPECT_LIFETIME  # longer than a report is published
MAX_CRASHES = 1_000  # kept at a time
CRASH_ID_BITS = 64


@dataclass(slots=True, frozen=True)
class UpstreamCrash:
    """Crash of an upstream: its end without a preemption notice.

    Parameters
    ----------
    upstream, zone : str
        Name and zone of the upstream.
    fingerprints : frozenset of int
        Fingerprints of the requests that were in flight on it.
    parts : frozenset of int
        Hashes of the parts of their prompts that other requests may contain.
    id : int
        Unique id of this report; a router publishes a report several times.
    age : timedelta
        Time since the crash was detected.
    """

    upstream: str
    zone: str
    fingerprints: frozenset[int]
    parts: frozenset[int] = frozenset()
    id: int = field(default_factory=lambda: secrets.randbits(CRASH_ID_BITS))
    age: timedelta = timedelta(0)


@dataclass(slots=True, eq=False)
class RecordedCrash:
    """Crash of an upstream as known so far.

    Parameters
    ----------
    at : timedelta
        Time of the crash on this router's monotonic clock.
    subjects : set of hashable
        What was in flight, according to all reports of the crash.
    """

    upstream: str
    at: timedelta
    subjects: set[Hashable]


@dataclass(slots=True, frozen=True)
class Recorded:
    """Effect of a report.

    Parameters
    ----------
    crash : RecordedCrash
        Crash that it is about.
    is_new : bool
        Whether the crash was not known before.
    fresh : frozenset of hashable
        Subjects of the crash that were not known before.
    """

    crash: RecordedCrash
    is_new: bool
    fresh: frozenset[Hashable]


class CrashHistory:
    """Recent crashes, and those during which each subject was in flight.

    A subject stands for a request, or for another thing that crashes may be due to.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_crashes", "_crashes_by_subject", "_known_until_by_id")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._crashes: deque[RecordedCrash] = deque()
        self._crashes_by_subject: dict[Hashable, list[RecordedCrash]] = {}
        self._known_until_by_id: dict[int, timedelta] = {}

    @property
    def subjects(self) -> set[Hashable]:
        """Subjects with a crash that is not cleared."""
        return set(self._crashes_by_subject)

    def record(
        self, report: UpstreamCrash, subjects: frozenset[Hashable]
    ) -> Recorded | None:
        """Record a report; return ``None`` if it is known already or too old.

        Several routers may report one crash, each with its own requests, and each
        report may arrive several times.
        """
        now = self._clock.monotonic()
        self.expire()
        if report.id in self._known_until_by_id or report.age >= SUSPECT_LIFETIME:
            return None
        self._known_until_by_id[report.id] = now + REPORT_LIFETIME
        at = now - report.age
        crash = self._find(report.upstream, at)
        is_new = crash is None
        if crash is None:
            crash = RecordedCrash(report.upstream, at, set())
            self._add(crash)
        fresh = subjects - crash.subjects
        crash.subjects |= fresh
        for subject in fresh:
            self._crashes_by_subject.setdefault(subject, []).append(crash)
        return Recorded(crash, is_new, fresh)

    def crashes_of(self, subject: Hashable) -> list[RecordedCrash]:
        """Return the crashes of a subject that are not cleared, in order of report."""
        return self._crashes_by_subject.get(subject, [])

    def clear(self, subject: Hashable, until: timedelta | None = None) -> None:
        """Clear the crashes of a subject, or those up to a time."""
        remaining = [
            crash
            for crash in self.crashes_of(subject)
            if until is not None and crash.at > until
        ]
        if remaining:
            self._crashes_by_subject[subject] = remaining
        else:
            self._crashes_by_subject.pop(subject, None)

    def count_near(self, crash: RecordedCrash) -> int:
        """Return the number of crashes at about the time of one, with that one."""
        return count_near(crash, self._crashes)

    def expire(self) -> None:
        """Forget old crashes and old reports."""
        now = self._clock.monotonic()
        while self._crashes and now - self._crashes[0].at >= CRASH_LIFETIME:
            self._forget(self._crashes.popleft())
        while self._known_until_by_id:
            oldest_id = next(iter(self._known_until_by_id))
            if self._known_until_by_id[oldest_id] > now:
                return
            del self._known_until_by_id[oldest_id]

    def _find(self, upstream: str, at: timedelta) -> RecordedCrash | None:
        for crash in self._crashes:
            is_near = abs(crash.at - at) <= CORRELATED_CRASH_WINDOW
            if crash.upstream == upstream and is_near:
                return crash
        return None

    def _add(self, crash: RecordedCrash) -> None:
        self._crashes.append(crash)
        if len(self._crashes) > MAX_CRASHES:
            self._forget(self._crashes.popleft())

    def _forget(self, crash: RecordedCrash) -> None:
        for subject in crash.subjects:
            crashes = self.crashes_of(subject)
            if crash in crashes:  # false after it was cleared
                crashes.remove(crash)
            if not crashes:
                self._crashes_by_subject.pop(subject, None)


def count_near(crash: RecordedCrash, crashes: Iterable[RecordedCrash]) -> int:
    """Return how many of some crashes happened at about the time of another."""
    return sum(abs(crash.at - other.at) <= CORRELATED_CRASH_WINDOW for other in crashes)
