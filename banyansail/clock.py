"""Interface to the clock, so that tests can use a fake one."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of wall-clock time and of monotonic time."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary origin; it never decreases."""


class SystemClock:
    """Clock of the operating system; monotonic time includes system suspend."""

    __slots__ = ()

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary origin; it never decreases."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))
