"""Time as an interface, so that decisions can be driven by a fake clock."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """A source of wall time and of monotonic time."""

    def now(self) -> datetime:
        """Return the wall time in UTC."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary origin; it never goes back."""


class SystemClock:
    """The clock of the operating system; time in suspension counts as well."""

    __slots__ = ()

    def now(self) -> datetime:
        """Return the wall time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary origin; it never goes back."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))
