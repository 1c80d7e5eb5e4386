"""Log of the quotas that are nearly used up, a line a second for each workspace."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.log import log_event

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.gateway.decisions.limits.quota import QuotaLimiter
    from banyansail.gateway.decisions.limits.quota_bucket import QuotaState

LOG_INTERVAL = timedelta(seconds=1)


class QuotaLog:
    """Writes the state of quotas that were low or rejected requests.

    Parameters
    ----------
    clock : Clock
        Source of time.
    quota : QuotaLimiter
        Quotas of all workspaces at this router.
    """

    __slots__ = ("_clock", "_logged_at", "_quota", "_started_at")

    def __init__(self, clock: Clock, quota: QuotaLimiter) -> None:
        self._clock = clock
        self._quota = quota
        self._started_at = self._logged_at = clock.monotonic()

    def update(self) -> None:
        """Write a line for each such workspace, once in `LOG_INTERVAL`."""
        now = self._clock.monotonic()
        if now - self._logged_at < LOG_INTERVAL:
            return
        self._logged_at = now
        for name, state in self._quota.pop_tight_states().items():
            self._write(name, state, now - self._started_at)

    def _write(self, workspace: str, state: QuotaState, uptime: timedelta) -> None:
        age = state.report_age
        log_event(
            "quota_low",
            workspace=workspace,
            level=round(state.level),
            unreported_use=round(state.unreported_use),
            report_age_s=None if age is None else round(age.total_seconds(), 3),
            own_use=round(state.own_use),
            admitted=state.admitted,
            rejected=state.rejected,
            routers=state.routers,
            suspects=state.suspects,
            known_routers=state.known_routers,
            uptime_s=round(uptime.total_seconds(), 1),
        )
