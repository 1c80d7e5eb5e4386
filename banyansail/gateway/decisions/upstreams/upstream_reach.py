"""Whether a router reaches any upstream, from what its connections show.

A router may lose its links to all upstreams while callers, the store and the other
routers still reach it. Its connections then hang, are reset, or live on while new ones
are refused. Only new connections prove anything: a few are tried once something
suggests a cut, and from then on until one succeeds.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.clock import Clock

CHECK_INTERVAL = timedelta(milliseconds=500)
SILENCE = timedelta(milliseconds=500)  # of all upstreams while a request waits


class UpstreamReach:
    """Evidence for and against a cut between a router and all upstreams.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_checked_at",
        "_clock",
        "_contact_at",
        "_failed_at",
        "_heard_at",
        "is_cut_off",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        start = clock.monotonic()
        self._contact_at = start
        self._failed_at = start
        self._heard_at = start
        self._checked_at = start
        self.is_cut_off = False

    def record_contact(self) -> None:
        """Record that an upstream accepted a connection."""
        self._contact_at = self._clock.monotonic()

    def record_bytes(self) -> None:
        """Record that an upstream sent a part of an answer."""
        self._heard_at = self._clock.monotonic()

    def record_failure(self) -> None:
        """Record that a connection was not accepted, or broke during a request."""
        self._failed_at = self._clock.monotonic()

    @property
    def is_in_doubt(self) -> bool:
        """Whether a connection failed since the last one that was accepted."""
        return self._failed_at > self._contact_at and not self.is_cut_off

    def needs_check(self, oldest_wait: timedelta) -> bool:
        """Return whether connections should be tried now.

        Parameters
        ----------
        oldest_wait : timedelta
            Longest time that a request has waited for its first byte.
        """
        now = self._clock.monotonic()
        if now - self._checked_at < CHECK_INTERVAL:
            return False
        if self.is_cut_off or self.is_in_doubt:
            return True
        return oldest_wait > SILENCE and now - self._last_sign_at > SILENCE

    @property
    def _last_sign_at(self) -> timedelta:
        return max(self._heard_at, self._contact_at)

    def record_check(self, *, has_contact: bool) -> bool:
        """Record the result of a check; return whether it changes `is_cut_off`."""
        self._checked_at = self._clock.monotonic()
        was_cut_off, self.is_cut_off = self.is_cut_off, not has_contact
        return was_cut_off is has_contact
