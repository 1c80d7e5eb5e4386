"""Use of the fleet's retry budgets: this router's part, and what is logged."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.gateway.decisions.limits.retry_budget import WindowedRetryBudget
from banyansail.log import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.clock import Clock
    from banyansail.config.gateway_settings import GatewaySettings
    from banyansail.gateway.metrics import GatewayMetrics

LOG_INTERVAL = timedelta(seconds=1)
MAX_COUNT_AGE = timedelta(seconds=1)  # exceeded if the process was frozen


@dataclass(slots=True)
class _Withdrawals:
    """Answers to the requests for retries of one service since its last log line.

    Parameters
    ----------
    routers : set of int
        Numbers of routers among which the slack was divided, 0 where it was unknown.
    """

    granted: int = 0
    refused: int = 0
    routers: set[int] = field(default_factory=set)


class RetrySharing:
    """Keeps this router to its part of the retry budget of each service.

    Parameters
    ----------
    clock : Clock
        Source of time.
    settings : GatewaySettings
        Has the budget of the fleet.
    metrics : GatewayMetrics
        Counts what is granted and refused.
    count_routers : callable
        Returns the number of routers that share the slack, this one included, or
        ``None`` while this router may use nothing of it.
    """

    __slots__ = (
        "_budget_by_service",
        "_clock",
        "_count_routers",
        "_counted_at",
        "_logged_at",
        "_metrics",
        "_settings",
        "_started_at",
        "_withdrawals_by_service",
        "routers",
    )

    def __init__(
        self,
        clock: Clock,
        settings: GatewaySettings,
        metrics: GatewayMetrics,
        count_routers: Callable[[], int | None],
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._metrics = metrics
        self._count_routers = count_routers
        # That share the slack; ``None`` while this router may use nothing of it.
        self.routers = count_routers()
        self._started_at = self._logged_at = self._counted_at = clock.monotonic()
        self._budget_by_service: dict[str, WindowedRetryBudget] = {}
        self._withdrawals_by_service: dict[str, _Withdrawals] = {}

    def record_request(self, service: str) -> None:
        """Count a caller's request."""
        self._budget(service).record_request()

    def withdraw(self, service: str) -> bool:
        """Withdraw a retry from a service's budget; return whether it was available."""
        if self._clock.monotonic() - self._counted_at > MAX_COUNT_AGE:
            self._count()
        is_granted = self._budget(service).withdraw(self.routers)
        withdrawals = self._withdrawals_by_service.setdefault(service, _Withdrawals())
        withdrawals.granted += is_granted
        withdrawals.refused += not is_granted
        withdrawals.routers.add(self.routers or 0)
        self._metrics.count_retry_withdrawal(service, is_granted=is_granted)
        return is_granted

    def update(self) -> None:
        """Count the routers that share the slack anew, and log what is due."""
        self._count()
        self._write_log()

    def _count(self) -> None:
        self.routers = self._count_routers()
        self._counted_at = self._clock.monotonic()

    def _write_log(self) -> None:
        """Write a line for each service with withdrawals, once in `LOG_INTERVAL`."""
        now = self._clock.monotonic()
        if now - self._logged_at < LOG_INTERVAL or not self._withdrawals_by_service:
            return
        self._logged_at = now
        logged, self._withdrawals_by_service = self._withdrawals_by_service, {}
        for service, withdrawals in logged.items():
            budget = self._budget(service)
            log_event(
                "retry_budget",
                service=service,
                granted=withdrawals.granted,
                refused=withdrawals.refused,
                min_routers=min(withdrawals.routers),
                max_routers=max(withdrawals.routers),
                requests_in_window=budget.requests,
                retries_in_window=budget.retries,
                uptime_s=round((now - self._started_at).total_seconds(), 1),
            )

    def set_metrics(self) -> None:
        """Record among how many routers the slack is divided now."""
        self._metrics.set_retry_budget_routers(self.routers or 0)

    def _budget(self, service: str) -> WindowedRetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            settings = self._settings
            budget = self._budget_by_service[service] = WindowedRetryBudget(
                self._clock,
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window,
                self._started_at,
            )
        return budget
