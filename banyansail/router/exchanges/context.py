"""State that all exchanges of a router share."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from banyansail.routing.retry import RetryBudget

if TYPE_CHECKING:
    from random import Random

    from banyansail.clock import Clock
    from banyansail.config.rules import RuleSet
    from banyansail.ledger.client import LedgerClient
    from banyansail.metrics import Metrics
    from banyansail.rollout.evidence import EvidenceRecorder
    from banyansail.router.exchanges.handoff import StreamStore
    from banyansail.router.exchanges.scheduler import Scheduler
    from banyansail.router.upstreams.health import HealthChecker
    from banyansail.router.upstreams.registry import ExchangeRegistry
    from banyansail.routing.quarantine import Quarantine
    from banyansail.upstreams.upstream_clients import UpstreamClients


CRASH_WINDOW = timedelta(seconds=5)  # calls lost within it count as one failure


@dataclass(slots=True)
class ExchangeContext:
    """Shared state and dependencies of exchanges."""

    reactor: Any
    clock: Clock
    random: Random
    metrics: Metrics
    scheduler: Scheduler
    upstream_clients: UpstreamClients
    health: HealthChecker
    quarantine: Quarantine
    registry: ExchangeRegistry
    ledger: LedgerClient
    streams: StreamStore
    evidence: EvidenceRecorder
    rules: RuleSet
    retry_budget_by_service: dict[str, RetryBudget] = field(default_factory=dict)
    last_crash_by_upstream: dict[str, timedelta] = field(default_factory=dict)

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        return self.retry_budget_by_service.setdefault(service, RetryBudget())

    def record_crash(self, upstream: str) -> bool:
        """Record a crash as evidence; return whether it is the first in the window."""
        now = self.clock.monotonic()
        last = self.last_crash_by_upstream.get(upstream)
        if last is not None and now - last < CRASH_WINDOW:
            return False
        self.last_crash_by_upstream[upstream] = now
        return True
