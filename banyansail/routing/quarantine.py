"""Requests that crash upstreams: suspects, their solitary retry, quarantine."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.clock import Clock

SUSPECT_LIFETIME = timedelta(minutes=2)
QUARANTINE_TIME = timedelta(minutes=10)
WAVE_WINDOW = timedelta(seconds=5)
WAVE_DEATHS = 3  # deaths in one zone within the window that are no request's fault
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
    """

    __slots__ = ("_clock", "_deaths", "_suspect_by_fingerprint", "_until")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._deaths: deque[tuple[timedelta, Death]] = deque()
        self._suspect_by_fingerprint: dict[int, _Suspect] = {}
        self._until: dict[int, timedelta] = {}

    def record_death(self, death: Death) -> bool:
        """Account for a death; return whether it was new.

        A wave of deaths in one zone clears what its members had brought up.
        """
        now = self._clock.monotonic()
        self._forget_old_deaths(now)
        if any(item.upstream == death.upstream for _, item in self._deaths):
            return False
        self._deaths.append((now, death))
        wave = [item for _, item in self._deaths if item.zone == death.zone]
        if len(wave) >= WAVE_DEATHS:
            for item in wave:
                self._clear(item)
            return True
        for fingerprint in death.fingerprints:
            self._accuse(fingerprint, now)
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
        if suspect.deaths >= CRASHES_TO_QUARANTINE:
            self._until[fingerprint] = now + QUARANTINE_TIME

    def _clear(self, death: Death) -> None:
        for fingerprint in death.fingerprints:
            suspect = self._suspect_by_fingerprint.get(fingerprint)
            if suspect is None:
                continue
            suspect.deaths -= 1
            if suspect.deaths < CRASHES_TO_QUARANTINE:
                self._until.pop(fingerprint, None)
            if suspect.deaths <= 0:
                del self._suspect_by_fingerprint[fingerprint]

    def _forget_old_deaths(self, now: timedelta) -> None:
        while self._deaths and now - self._deaths[0][0] > WAVE_WINDOW:
            self._deaths.popleft()
