"""Isolation and quarantine of requests that crash upstreams.

A request that was in flight when an upstream crashed is suspect and retried alone
on an upstream. After repeated crashes it is quarantined, that is, refused.
"""

from __future__ import annotations

import secrets
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.log import log_event

if TYPE_CHECKING:
    from collections.abc import Iterable

    from banyansail.clock import Clock

SUSPECT_LIFETIME = timedelta(minutes=2)
CRASH_LIFETIME = timedelta(minutes=10)  # a request that crashes upstreams may be rare
QUARANTINE_DURATION = timedelta(minutes=10)
CORRELATED_CRASH_WINDOW = timedelta(seconds=5)
MIN_CORRELATED_CRASHES = 3  # as many within the window imply an external cause
CRASHES_TO_QUARANTINE = 2  # of upstreams that ran the same request
CORRELATED_CRASHES_TO_QUARANTINE = 3  # the same, whatever else crashed meanwhile
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
    id : int
        Unique id of this report; a router publishes a report several times.
    age : timedelta
        Time since the crash was detected.
    """

    upstream: str
    zone: str
    fingerprints: frozenset[int]
    id: int = field(default_factory=lambda: secrets.randbits(CRASH_ID_BITS))
    age: timedelta = timedelta(0)


@dataclass(slots=True, eq=False)
class _Crash:
    """Crash of an upstream as known so far.

    Parameters
    ----------
    at : timedelta
        Time of the crash on this router's monotonic clock.
    fingerprints : set of int
        Fingerprints that any report of the crash contains.
    """

    upstream: str
    at: timedelta
    fingerprints: set[int]


class Quarantine:
    """Counts crashes by request fingerprint and quarantines those with too many.

    Correlated crashes may have an external cause, such as the loss of a zone. They
    count less, see `CORRELATED_CRASHES_TO_QUARANTINE`, but crashes without a request
    neither remove its own from the count nor end its quarantine.

    Parameters
    ----------
    clock : Clock
        Source of time.
    crashes_to_quarantine : int
        Crashes with one fingerprint in flight after which it is quarantined.
    """

    __slots__ = (
        "_clock",
        "_crashes",
        "_crashes_by_fingerprint",
        "_crashes_to_quarantine",
        "_known_until_by_id",
        "_quarantine_end_by_fingerprint",
    )

    def __init__(
        self, clock: Clock, crashes_to_quarantine: int = CRASHES_TO_QUARANTINE
    ) -> None:
        self._clock = clock
        self._crashes_to_quarantine = crashes_to_quarantine
        self._crashes: deque[_Crash] = deque()
        self._crashes_by_fingerprint: dict[int, list[_Crash]] = {}
        self._known_until_by_id: dict[int, timedelta] = {}
        self._quarantine_end_by_fingerprint: dict[int, timedelta] = {}

    @property
    def crashed_fingerprints(self) -> set[int]:
        """Fingerprints with a crash since their last success."""
        return set(self._crashes_by_fingerprint)

    def record_crash(self, crash: UpstreamCrash) -> bool:
        """Record a crash; return whether it contained new information.

        Several routers may report one crash, each with its own requests, and each
        report may arrive several times.
        """
        now = self._clock.monotonic()
        self._expire(now)
        if crash.id in self._known_until_by_id or crash.age >= SUSPECT_LIFETIME:
            return False
        self._known_until_by_id[crash.id] = now + REPORT_LIFETIME
        at = now - crash.age
        recorded = self._find(crash.upstream, at)
        is_new = recorded is None
        if recorded is None:
            recorded = _Crash(crash.upstream, at, set())
            self._add(recorded)
        fresh = crash.fingerprints - recorded.fingerprints
        recorded.fingerprints |= fresh
        for fingerprint in fresh:
            self._add_suspicion(fingerprint, recorded)
        return is_new or bool(fresh)

    def record_success(self, fingerprint: int) -> None:
        """Clear the suspicion of a request that completed."""
        self._crashes_by_fingerprint.pop(fingerprint, None)

    def is_suspect(self, fingerprint: int) -> bool:
        """Return whether a request must run alone on its upstream."""
        now = self._clock.monotonic()
        self._expire(now)
        crashes = self._crashes_by_fingerprint.get(fingerprint, [])
        is_recent = any(now - crash.at <= SUSPECT_LIFETIME for crash in crashes)
        return is_recent and self._uncorrelated_count(fingerprint) > 0

    def quarantine_remaining(self, fingerprint: int) -> timedelta | None:
        """Return the remaining quarantine of a request, or ``None`` if it may run."""
        until = self._quarantine_end_by_fingerprint.get(fingerprint)
        if until is None:
            return None
        remaining = until - self._clock.monotonic()
        if remaining <= timedelta(0):
            del self._quarantine_end_by_fingerprint[fingerprint]
            return None
        return remaining

    def quarantines(self) -> dict[int, timedelta]:
        """Return the remaining quarantine by fingerprint."""
        remaining_by_fingerprint = {
            fingerprint: self.quarantine_remaining(fingerprint)
            for fingerprint in list(self._quarantine_end_by_fingerprint)
        }
        return {
            fingerprint: remaining
            for fingerprint, remaining in remaining_by_fingerprint.items()
            if remaining is not None
        }

    def restore(self, fingerprint: int, remaining: timedelta) -> None:
        """Continue a quarantine that another router began."""
        end = self._clock.monotonic() + min(remaining, QUARANTINE_DURATION)
        current = self._quarantine_end_by_fingerprint.get(fingerprint, end)
        self._quarantine_end_by_fingerprint[fingerprint] = max(current, end)

    def _find(self, upstream: str, at: timedelta) -> _Crash | None:
        for crash in self._crashes:
            is_near = abs(crash.at - at) <= CORRELATED_CRASH_WINDOW
            if crash.upstream == upstream and is_near:
                return crash
        return None

    def _add(self, crash: _Crash) -> None:
        self._crashes.append(crash)
        if len(self._crashes) > MAX_CRASHES:
            self._forget(self._crashes.popleft())

    def _add_suspicion(self, fingerprint: int, crash: _Crash) -> None:
        crashes = self._crashes_by_fingerprint.setdefault(fingerprint, [])
        crashes.append(crash)
        if (
            self._uncorrelated_count(fingerprint) < self._crashes_to_quarantine
            and len(crashes) < self._max_crashes
        ):
            return
        end = self._clock.monotonic() + QUARANTINE_DURATION
        self._quarantine_end_by_fingerprint[fingerprint] = end
        log_event(
            "request_quarantined",
            fingerprint=f"{fingerprint:016x}",
            upstreams=[crash.upstream for crash in crashes],
        )

    @property
    def _max_crashes(self) -> int:
        return max(self._crashes_to_quarantine, CORRELATED_CRASHES_TO_QUARANTINE)

    def _uncorrelated_count(self, fingerprint: int) -> int:
        """Return the crashes with a request in flight that speak against it."""
        crashes = self._crashes_by_fingerprint.get(fingerprint, [])
        return sum(not self._is_excused(crash, crashes) for crash in crashes)

    def _is_excused(self, crash: _Crash, crashes: list[_Crash]) -> bool:
        """Return whether other upstreams crashed without the request at that time."""
        if _count_near(crash, crashes) >= self._crashes_to_quarantine:
            return False
        return _count_near(crash, self._crashes) >= MIN_CORRELATED_CRASHES

    def _forget(self, crash: _Crash) -> None:
        for fingerprint in crash.fingerprints:
            crashes = self._crashes_by_fingerprint.get(fingerprint, [])
            if crash in crashes:  # false after a success
                crashes.remove(crash)
            if not crashes:
                self._crashes_by_fingerprint.pop(fingerprint, None)

    def _expire(self, now: timedelta) -> None:
        while self._crashes and now - self._crashes[0].at >= CRASH_LIFETIME:
            self._forget(self._crashes.popleft())
        while self._known_until_by_id:
            oldest_id = next(iter(self._known_until_by_id))
            if self._known_until_by_id[oldest_id] > now:
                return
            del self._known_until_by_id[oldest_id]


def _count_near(crash: _Crash, crashes: Iterable[_Crash]) -> int:
    return sum(abs(crash.at - other.at) <= CORRELATED_CRASH_WINDOW for other in crashes)
