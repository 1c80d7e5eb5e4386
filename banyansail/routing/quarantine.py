"""Isolation and quarantine of requests that crash upstreams.

A request that was in flight when an upstream crashed is suspect and retried alone
on an upstream. After repeated crashes it is quarantined, that is, refused.
"""

from __future__ import annotations

import secrets
from collections import Counter, deque
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.log import log_event

if TYPE_CHECKING:
    from banyansail.clock import Clock

SUSPECT_LIFETIME = timedelta(minutes=2)
QUARANTINE_DURATION = timedelta(minutes=10)
CORRELATED_CRASH_WINDOW = timedelta(seconds=5)
MIN_CORRELATED_CRASHES = 3  # as many within the window imply an external cause
CRASHES_TO_QUARANTINE = 2  # of upstreams that ran the same request
REPORT_LIFETIME = 2 * SUSPECT_LIFETIME  # longer than a report is published
MAX_SUSPECTS = 10_000
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


@dataclass(slots=True)
class _Suspect:
    crash_count: int
    last_crash_at: timedelta


class Quarantine:
    """Counts crashes by request fingerprint and quarantines those with too many.

    Parameters
    ----------
    clock : Clock
        Source of time.
    crashes_to_quarantine : int
        Crashes with one fingerprint in flight after which it is quarantined.
    """

    __slots__ = (
        "_clock",
        "_crashes_to_quarantine",
        "_fingerprints_by_upstream",
        "_known_until_by_id",
        "_quarantine_end_by_fingerprint",
        "_recent_crashes",
        "_suspect_by_fingerprint",
    )

    def __init__(
        self, clock: Clock, crashes_to_quarantine: int = CRASHES_TO_QUARANTINE
    ) -> None:
        self._clock = clock
        self._crashes_to_quarantine = crashes_to_quarantine
        self._recent_crashes: deque[tuple[timedelta, str]] = deque()
        self._fingerprints_by_upstream: dict[str, frozenset[int]] = {}
        self._known_until_by_id: dict[int, timedelta] = {}
        self._suspect_by_fingerprint: dict[int, _Suspect] = {}
        self._quarantine_end_by_fingerprint: dict[int, timedelta] = {}

    def record_crash(self, crash: UpstreamCrash) -> bool:
        """Record a crash; return whether it contained new information.

        Several routers may report one crash, each with its own requests, and each
        report may arrive several times. Of correlated crashes, which have an external
        cause such as the loss of a zone, only requests that were in flight at several
        remain suspect.
        """
        now = self._clock.monotonic()
        self._expire_crashes(now)
        if crash.id in self._known_until_by_id or crash.age >= SUSPECT_LIFETIME:
            return False
        self._known_until_by_id[crash.id] = now + REPORT_LIFETIME
        known = self._fingerprints_by_upstream.get(crash.upstream)
        fresh = crash.fingerprints - (known or frozenset())
        if known is not None and not fresh:
            return False
        if known is None:
            self._recent_crashes.append((now, crash.upstream))
        self._fingerprints_by_upstream[crash.upstream] = fresh | (known or frozenset())
        for fingerprint in fresh:
            self._record_suspect(fingerprint, now)
        if len(self._recent_crashes) >= MIN_CORRELATED_CRASHES:
            self._clear_correlated_suspects()
        return True

    def record_success(self, fingerprint: int) -> None:
        """Clear the suspicion of a request that completed."""
        self._suspect_by_fingerprint.pop(fingerprint, None)

    def is_suspect(self, fingerprint: int) -> bool:
        """Return whether a request must run alone on its upstream."""
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            return False
        if self._clock.monotonic() - suspect.last_crash_at > SUSPECT_LIFETIME:
            del self._suspect_by_fingerprint[fingerprint]
            return False
        return True

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

    def _record_suspect(self, fingerprint: int, now: timedelta) -> None:
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None or now - suspect.last_crash_at > SUSPECT_LIFETIME:
            if len(self._suspect_by_fingerprint) >= MAX_SUSPECTS:
                oldest = next(iter(self._suspect_by_fingerprint))
                del self._suspect_by_fingerprint[oldest]
            suspect = _Suspect(0, now)
            self._suspect_by_fingerprint[fingerprint] = suspect
        suspect.crash_count += 1
        suspect.last_crash_at = now
        if suspect.crash_count >= self._crashes_to_quarantine:
            self._quarantine_end_by_fingerprint[fingerprint] = now + QUARANTINE_DURATION
            log_event("request_quarantined", fingerprint=f"{fingerprint:016x}")

    def _clear_correlated_suspects(self) -> None:
        counts = Counter(
            fingerprint
            for fingerprints in self._fingerprints_by_upstream.values()
            for fingerprint in fingerprints
        )
        for fingerprint, count in counts.items():
            if count < self._crashes_to_quarantine:
                suspect = self._suspect_by_fingerprint.pop(fingerprint, None)
                end = self._quarantine_end_by_fingerprint.pop(fingerprint, None)
                if suspect is not None or end is not None:
                    log_event(
                        "suspicion_cleared",
                        fingerprint=f"{fingerprint:016x}",
                        crashes=0 if suspect is None else suspect.crash_count,
                        was_quarantined=end is not None,
                    )

    def _expire_crashes(self, now: timedelta) -> None:
        while (
            self._recent_crashes
            and now - self._recent_crashes[0][0] > CORRELATED_CRASH_WINDOW
        ):
            _, upstream = self._recent_crashes.popleft()
            del self._fingerprints_by_upstream[upstream]
        while self._known_until_by_id:
            oldest_id = next(iter(self._known_until_by_id))
            if self._known_until_by_id[oldest_id] > now:
                return
            del self._known_until_by_id[oldest_id]
