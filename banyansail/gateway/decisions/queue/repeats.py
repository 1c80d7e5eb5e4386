"""Memory of rejected requests that their callers were asked not to repeat yet."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

    from banyansail.clock import Clock

MAX_REMEMBERED = 2000  # rejected requests; bounds the memory in a flood of them


class Repeats:
    """Recognizes requests that are repeated before their Retry-After has passed.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_retry_at_by_fingerprint")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._retry_at_by_fingerprint: OrderedDict[int, timedelta] = OrderedDict()

    def record_rejection(self, fingerprint: int, retry_after: timedelta | None) -> None:
        """Remember until when the caller should not repeat a request."""
        if not fingerprint or retry_after is None:
            return
        retry_at = self._clock.monotonic() + retry_after
        self._retry_at_by_fingerprint[fingerprint] = retry_at
        self._retry_at_by_fingerprint.move_to_end(fingerprint)
        while len(self._retry_at_by_fingerprint) > MAX_REMEMBERED:
            self._retry_at_by_fingerprint.popitem(last=False)

    def is_too_early(self, fingerprint: int) -> bool:
        """Return whether a request is repeated before its Retry-After has passed."""
        retry_at = self._retry_at_by_fingerprint.get(fingerprint)
        if retry_at is None:
            return False
        if self._clock.monotonic() < retry_at:
            return True
        del self._retry_at_by_fingerprint[fingerprint]
        return False
