"""Fakes of the clock and the platform."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

from banyansail.coordination.client import StoredObject
from banyansail.exceptions import ConflictError, PlatformUnavailableError

START = datetime(2026, 12, 3, 12, tzinfo=UTC)


class FakeClock:
    """Clock that advances only on request."""

    def __init__(self) -> None:
        self.elapsed = timedelta(seconds=1000)
        self.wall_clock_offset = timedelta(0)

    def now(self) -> datetime:
        return START + self.elapsed + self.wall_clock_offset

    def monotonic(self) -> timedelta:
        return self.elapsed

    def advance(self, seconds: float) -> None:
        self.elapsed += timedelta(seconds=seconds)


class FakePlatform:
    """In-memory objects with conditional updates and injected faults.

    Attributes
    ----------
    lost_answers : list of bool
        For each of the next writes, whether its answer is lost after it took effect.
    failed_calls : list of bool
        For each of the next calls, whether it fails without effect.
    """

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.stored: dict[str, tuple[int, object]] = {}
        self.lost_answers: list[bool] = []
        self.failed_calls: list[bool] = []
        self.writes = 0
        self.reads = 0

    def time_until(self, kind, calls) -> timedelta:
        return timedelta(0)

    def server_time(self) -> datetime:
        return self.clock.now()

    async def get(self, key, kind=None) -> StoredObject:
        self.reads += 1
        if self.failed_calls and self.failed_calls.pop(0):
            raise PlatformUnavailableError("outage")
        return StoredObject(key, *self.stored.get(key, (0, None)))

    async def put(self, key, body, expected, kind=None) -> int:
        if self.failed_calls and self.failed_calls.pop(0):
            raise PlatformUnavailableError("outage")
        self.writes += 1
        found = self.stored.get(key, (0, None))[0]
        if found != expected:
            raise ConflictError(key, expected, found)
        self.stored[key] = (found + 1, body)
        if self.lost_answers and self.lost_answers.pop(0):
            raise PlatformUnavailableError("the answer was lost")
        return found + 1


def run_now(coroutine):
    """Run a coroutine that never suspends; return its result."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine suspended")
