"""Requests that crash upstreams: suspects, their solitary retry, quarantine."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.clock import Clock

SUSPECT_LIFETIME = timedelta(minutes=2)
QUARANTINE_TIME = timedelta(minutes=10)
WAVE_WINDOW = timedelta(seconds=5)
WAVE_DEATHS = 3  # so many within the window have a common cause outside
CRASHES_TO_QUARANTINE = 2
MAX_FINGERPRINTS = 10_000


@dataclass(slots=True, frozen=True)
class Death:
    """An upstream that died without notice.

    Parameters
    ----------
    upstream, zone : str
        What died, and where.
    fingerprints : frozenset of int
        Requests that were in flight there.
    """

    upstream: str
    zone: str
    fingerprints: frozenset[int]


@dataclass(slots=True)
class _Suspect:
    deaths: int
    last: timedelta


class Quarantine:
    """Counts deaths by fingerprint and says which requests may run, and how.

    Parameters
    ----------
    clock : Clock
        Source of time.
    crashes : int
        Deaths under one fingerprint after which it is quarantined.
    """

    __slots__ = (
        "_clock",
        "_crashes",
        "_deaths",
        "_fingerprints_by_upstream",
        "_suspect_by_fingerprint",
        "_until",
    )

    def __init__(self, clock: Clock, crashes: int = CRASHES_TO_QUARANTINE) -> None:
        self._clock = clock
        self._crashes = crashes
        self._deaths: deque[tuple[timedelta, str]] = deque()
        self._fingerprints_by_upstream: dict[str, frozenset[int]] = {}
        self._suspect_by_fingerprint: dict[int, _Suspect] = {}
        self._until: dict[int, timedelta] = {}

    def record_death(self, death: Death) -> bool:
        """Account for a death; return whether something about it was new.

        Several routers may report one death, each with its own requests. In a wave
        of deaths only requests that were part of several stay under suspicion.
        """
        now = self._clock.monotonic()
        self._forget_old_deaths(now)
        known = self._fingerprints_by_upstream.get(death.upstream)
        fresh = death.fingerprints - (known or frozenset())
        if known is not None and not fresh:
            return False
        if known is None:
            self._deaths.append((now, death.upstream))
        self._fingerprints_by_upstream[death.upstream] = fresh | (known or frozenset())
        for fingerprint in fresh:
            self._accuse(fingerprint, now)
        if len(self._deaths) >= WAVE_DEATHS:
            self._clear_wave()
        return True

    def record_survival(self, fingerprint: int) -> None:
        """Clear a request that ran to its end."""
        self._suspect_by_fingerprint.pop(fingerprint, None)

    def is_suspect(self, fingerprint: int) -> bool:
        """Tell whether a request must run with no companion."""
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            return False
        if self._clock.monotonic() - suspect.last > SUSPECT_LIFETIME:
            del self._suspect_by_fingerprint[fingerprint]
            return False
        return True

    def quarantined_for(self, fingerprint: int) -> timedelta | None:
        """Return how long a request may not run yet, or ``None`` if it may."""
        until = self._until.get(fingerprint)
        if until is None:
            return None
        remaining = until - self._clock.monotonic()
        if remaining <= timedelta(0):
            del self._until[fingerprint]
            return None
        return remaining

    def _accuse(self, fingerprint: int, now: timedelta) -> None:
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None or now - suspect.last > SUSPECT_LIFETIME:
            if len(self._suspect_by_fingerprint) >= MAX_FINGERPRINTS:
                oldest = next(iter(self._suspect_by_fingerprint))
                del self._suspect_by_fingerprint[oldest]
            suspect = _Suspect(0, now)
            self._suspect_by_fingerprint[fingerprint] = suspect
        suspect.deaths += 1
        suspect.last = now
        if suspect.deaths >= self._crashes:
            self._until[fingerprint] = now + QUARANTINE_TIME

    def _clear_wave(self) -> None:
        counts = Counter(
            fingerprint
            for fingerprints in self._fingerprints_by_upstream.values()
            for fingerprint in fingerprints
        )
        for fingerprint, count in counts.items():
            if count < self._crashes:
                self._suspect_by_fingerprint.pop(fingerprint, None)
                self._until.pop(fingerprint, None)

    def _forget_old_deaths(self, now: timedelta) -> None:
        while self._deaths and now - self._deaths[0][0] > WAVE_WINDOW:
            _, upstream = self._deaths.popleft()
            del self._fingerprints_by_upstream[upstream]
