"""Whether the store fails, and which entries it may have lost by that."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.log import log_event

if TYPE_CHECKING:
    from banyansail.clock import Clock

RETURN_GRACE = timedelta(seconds=2.1)  # for entries that expired during an outage
MIN_OUTAGE = timedelta(seconds=1)  # no entry expires during a shorter failure


class Outage:
    """The present or last outage of the store, as the calls for one kind show it.

    Parameters
    ----------
    kind : str
        Kind of the objects, for the log.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_ended_at", "_failing_since", "_kind")

    def __init__(self, kind: str, clock: Clock) -> None:
        self._kind = kind
        self._clock = clock
        self._failing_since: timedelta | None = None
        self._ended_at: timedelta | None = None

    def record_failure(self, error: str, since: timedelta | None = None) -> None:
        """Record that the store can't be reached, now or since an earlier time."""
        if self._failing_since is not None:
            return
        self._failing_since = self._clock.monotonic() if since is None else since
        log_event("store_lost", kind=self._kind, error=error)

    def record_success(self) -> None:
        """Record that the store was reached."""
        if self._failing_since is None:
            return
        now = self._clock.monotonic()
        if now - self._failing_since >= MIN_OUTAGE:
            self._ended_at = now
        log_event("store_back", kind=self._kind)
        self._failing_since = None

    def record_state(self, as_of: timedelta) -> None:
        """Record that a state of the store is known that is current as of a time."""
        if self._failing_since is not None and as_of > self._failing_since:
            self.record_success()

    def record_restore(self) -> None:
        """Record that the store was restored, which ends an outage."""
        self._ended_at = self._clock.monotonic()

    def may_have_expired_entries(self) -> bool:
        """Return whether an outage ended recently, or with the call in progress."""
        now = self._clock.monotonic()
        if self._ended_at is not None and now - self._ended_at < RETURN_GRACE:
            return True
        return (
            self._failing_since is not None and now - self._failing_since >= MIN_OUTAGE
        )

    def lapse_start(self) -> timedelta:
        """Return the time from which a lapsed entry is kept for `RETURN_GRACE`."""
        now = self._clock.monotonic()
        # An outage that ends with the call in progress has not been recorded yet.
        if self._ended_at is None or now - self._ended_at >= RETURN_GRACE:
            return now
        return self._ended_at
