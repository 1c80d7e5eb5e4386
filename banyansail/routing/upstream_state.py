"""State of one upstream as seen by one router."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.routing.limits import AdaptiveLimit

if TYPE_CHECKING:
    from banyansail.config.rules import UpstreamRule

BASE_SUSPECT_TIME = timedelta(seconds=1)  # doubles with each suspicion in a row
MAX_SUSPECT_TIME = timedelta(seconds=30)
LOAD_REPORT_LIFETIME = timedelta(seconds=5)


class UpstreamState:
    """Load, limit and availability of an upstream, as seen by one router.

    Parameters
    ----------
    rule : UpstreamRule
        Address, zone and version of the upstream.
    latency_target : timedelta
        Latency target of the service.
    """

    __slots__ = (
        "_in_flight_change_since_report",
        "_reported_at",
        "_reported_in_flight",
        "in_flight",
        "is_exclusive",
        "is_leaving",
        "limit",
        "rule",
        "suspect_until",
        "suspicions",
    )

    def __init__(self, rule: UpstreamRule, latency_target: timedelta) -> None:
        self.rule = rule
        self.limit = AdaptiveLimit(latency_target)
        self.in_flight = 0
        self.is_exclusive = False
        self.is_leaving = False
        self.suspect_until = timedelta(0)
        self.suspicions = 0
        self._reported_in_flight = 0
        self._reported_at: timedelta | None = None
        self._in_flight_change_since_report = 0

    def is_eligible(self, now: timedelta) -> bool:
        """Return whether the upstream may receive new calls."""
        return not self.is_leaving and now >= self.suspect_until

    def has_room(self, now: timedelta) -> bool:
        """Return whether another call fits under the limit."""
        if self.is_exclusive or not self.is_eligible(now):
            return False
        return self.in_flight < self.limit.value

    def mark_suspect(self, now: timedelta) -> None:
        """Stop new calls for a time that doubles with each suspicion in a row."""
        if now < self.suspect_until:
            return
        duration = min(MAX_SUSPECT_TIME, BASE_SUSPECT_TIME * 2**self.suspicions)
        self.suspicions = min(self.suspicions + 1, 8)
        self.suspect_until = now + duration

    def clear_suspect(self) -> None:
        """Allow new calls again."""
        self.suspect_until = timedelta(0)

    def record_call_start(self) -> None:
        """Count a call that was sent."""
        self.in_flight += 1
        self._in_flight_change_since_report += 1

    def record_call_end(self) -> None:
        """Count a call that ended."""
        self.in_flight -= 1
        self._in_flight_change_since_report -= 1

    def apply_load_report(self, in_flight: int, now: timedelta) -> None:
        """Apply the upstream's load report, which counts the calls of all routers."""
        self._reported_in_flight = in_flight
        self._reported_at = now
        self._in_flight_change_since_report = 0

    def estimated_in_flight(self, now: timedelta) -> int:
        """Estimate the calls in flight: the last report plus own changes since."""
        fresh = (
            self._reported_at is not None
            and now - self._reported_at < LOAD_REPORT_LIFETIME
        )
        if not fresh:
            return self.in_flight
        return max(
            self.in_flight,
            self._reported_in_flight + self._in_flight_change_since_report,
        )
