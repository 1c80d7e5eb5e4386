"""State of the stand-in for the platform."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from twisted.internet import defer

MAX_OBJECT_BYTES = 1024**2
LIST_DELAY_S = 2.0  # age of the instance list that callers receive


@dataclass(slots=True)
class PlatformFaults:
    """Fault switches, set by attribute name over HTTP.

    Parameters
    ----------
    outage : bool
        Every call is answered with 503.
    delay_s : float
        Time added to every call.
    lose_answers : int
        Number of writes that take effect but whose answers are lost.
    refuse_starts : int
        Number of instance starts that are refused.
    refuse_zone : str
        Zone in which every instance start is refused.
    stale_reads : int
        Number of reads that are answered with the previous version.
    writes_per_s, reads_per_s : float
        Rate limits; calls beyond them are answered with 429.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    refuse_starts: int = 0
    refuse_zone: str = ""
    stale_reads: int = 0
    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0


@dataclass(slots=True)
class StoredValue:
    """An object: its version, its body, and its previous version and body."""

    version: int
    body: Any
    previous: tuple[int, Any] | None = None


class RateLimit:
    """Token bucket with a capacity of one second's calls."""

    __slots__ = ("_refilled_at", "_tokens")

    def __init__(self) -> None:
        self._tokens: float | None = None
        self._refilled_at = time.monotonic()

    def try_acquire(self, rate: float) -> bool:
        """Take a token if there is one; `rate` is in calls a second."""
        now = time.monotonic()
        available = rate if self._tokens is None else self._tokens
        self._tokens = min(rate, available + (now - self._refilled_at) * rate)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass(slots=True)
class PlatformState:
    """Objects, instances, notices and offers of the platform."""

    faults: PlatformFaults = field(default_factory=PlatformFaults)
    object_by_key: dict[str, StoredValue] = field(default_factory=dict)
    waiters_by_key: dict[str, list[defer.Deferred[None]]] = field(default_factory=dict)
    instance_by_id: dict[str, dict[str, Any]] = field(default_factory=dict)
    notices: list[dict[str, Any]] = field(default_factory=list)
    offers: list[dict[str, Any]] = field(default_factory=list)
    calls: dict[str, int] = field(default_factory=dict)
    instance_history: deque[tuple[float, list[dict[str, Any]]]] = field(
        default_factory=deque
    )
    started_count: int = 0

    def count(self, kind: str) -> None:
        """Count one call."""
        self.calls[kind] = self.calls.get(kind, 0) + 1

    def wake_waiters(self, key: str) -> None:
        """Complete the pending watches of a key."""
        for waiter in self.waiters_by_key.pop(key, []):
            if not waiter.called:
                waiter.callback(None)

    def record_instances(self) -> None:
        """Record the list of instances, for delayed reads."""
        self.instance_history.append(
            (time.monotonic(), list(self.instance_by_id.values()))
        )

    def delayed_instances(self) -> list[dict[str, Any]]:
        """Return the list of instances as it was `LIST_DELAY_S` ago."""
        horizon = time.monotonic() - LIST_DELAY_S
        while len(self.instance_history) > 1 and self.instance_history[1][0] <= horizon:
            self.instance_history.popleft()
        if not self.instance_history or self.instance_history[0][0] > horizon:
            return []
        return self.instance_history[0][1]
