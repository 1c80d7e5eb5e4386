"""Isolation and quarantine of requests that crash upstreams.

A request that was in flight when an upstream crashed is suspect and retried alone
on an upstream. After repeated crashes it is quarantined, that is, refused.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.log import log_event
from banyansail.routing.crash_history import (
    SUSPECT_LIFETIME,
    CrashHistory,
    RecordedCrash,
    UpstreamCrash,
    count_near,
)

if TYPE_CHECKING:
    from banyansail.clock import Clock

QUARANTINE_DURATION = timedelta(minutes=10)
MIN_CORRELATED_CRASHES = 3  # as many within the window imply an external cause
CRASHES_TO_QUARANTINE = 2  # of upstreams that ran the same request
CORRELATED_CRASHES_TO_QUARANTINE = 3  # the same, whatever else crashed meanwhile


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
        "_crashes_to_quarantine",
        "_history",
        "_quarantine_end_by_fingerprint",
    )

    def __init__(
        self, clock: Clock, crashes_to_quarantine: int = CRASHES_TO_QUARANTINE
    ) -> None:
        self._clock = clock
        self._crashes_to_quarantine = crashes_to_quarantine
        self._history = CrashHistory(clock)
        self._quarantine_end_by_fingerprint: dict[int, timedelta] = {}

    @property
    def crashed_fingerprints(self) -> set[int]:
        """Fingerprints with a crash since their last success."""
        return self._history.subjects

    def record_crash(self, crash: UpstreamCrash) -> bool:
        """Record a crash; return whether it contained new information."""
        recorded = self._history.record(crash, crash.fingerprints)
        if recorded is None:
            return False
        for fingerprint in recorded.fresh:
            self._check_crashes(fingerprint)
        return recorded.is_new or bool(recorded.fresh)

    def record_success(self, fingerprint: int) -> None:
        """Clear the suspicion of a request that completed."""
        self._history.clear(fingerprint)

    def is_suspect(self, fingerprint: int) -> bool:
        """Return whether a request must run alone on its upstream."""
        self._history.expire()
        now = self._clock.monotonic()
        crashes = self._history.crashes_of(fingerprint)
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

    def _check_crashes(self, fingerprint: int) -> None:
        crashes = self._history.crashes_of(fingerprint)
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
        crashes = self._history.crashes_of(fingerprint)
        return sum(not self._is_excused(crash, crashes) for crash in crashes)

    def _is_excused(self, crash: RecordedCrash, crashes: list[RecordedCrash]) -> bool:
        """Return whether other upstreams crashed without the request at that time."""
        if count_near(crash, crashes) >= self._crashes_to_quarantine:
            return False
        return self._history.count_near(crash) >= MIN_CORRELATED_CRASHES
