"""What one router knows of one upstream."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.routing.limits import AdaptiveLimit

if TYPE_CHECKING:
    from banyansail.config.rules import UpstreamRule

SUSPECT_TIME = timedelta(seconds=1)
MAX_SUSPECT_TIME = timedelta(seconds=30)
REPORT_LIFETIME = timedelta(seconds=5)


class UpstreamState:
    """Load, limit and condition of an upstream, as seen by one router.

    Parameters
    ----------
    rule : UpstreamRule
        Where the upstream is and what it runs.
    target : timedelta
        Latency target of the service.
    """

    __slots__ = (
        "_changes_since_report",
        "_report",
        "_reported_at",
        "in_flight",
        "is_exclusive",
        "is_leaving",
        "limit",
        "rule",
        "suspect_until",
        "suspicions",
    )

    def __init__(self, rule: UpstreamRule, target: timedelta) -> None:
        self.rule = rule
        self.limit = AdaptiveLimit(target)
        self.in_flight = 0
        self.is_exclusive = False
        self.is_leaving = False
        self.suspect_until = timedelta(0)
        self.suspicions = 0
        self._report = 0
        self._reported_at: timedelta | None = None
        self._changes_since_report = 0

    def is_eligible(self, now: timedelta) -> bool:
        """Tell whether new work may go to the upstream."""
        return not self.is_leaving and now >= self.suspect_until

    def has_room(self, now: timedelta) -> bool:
        """Tell whether another call fits under the limit."""
        if self.is_exclusive or not self.is_eligible(now):
            return False
        return self.in_flight < self.limit.value

    def suspect(self, now: timedelta) -> None:
        """Take the upstream out for a while, longer each time in a row."""
        if now < self.suspect_until:
            return
        duration = min(MAX_SUSPECT_TIME, SUSPECT_TIME * 2**self.suspicions)
        self.suspicions = min(self.suspicions + 1, 8)
        self.suspect_until = now + duration

    def trust(self) -> None:
        """Let the upstream take work again: it has answered."""
        self.suspect_until = timedelta(0)

    def start(self) -> None:
        """Account for a call that was sent."""
        self.in_flight += 1
        self._changes_since_report += 1

    def finish(self) -> None:
        """Account for a call that ended."""
        self.in_flight -= 1
        self._changes_since_report -= 1

    def report_load(self, in_flight: int, now: timedelta) -> None:
        """Take in the load that the upstream reported, calls of all routers."""
        self._report = in_flight
        self._reported_at = now
        self._changes_since_report = 0

    def load(self, now: timedelta) -> int:
        """Estimate the calls in flight: the report, corrected by own calls since."""
        fresh = (
            self._reported_at is not None and now - self._reported_at < REPORT_LIFETIME
        )
        if not fresh:
            return self.in_flight
        return max(self.in_flight, self._report + self._changes_since_report)
