"""What the exchanges of a router share."""

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
    from banyansail.router.handoff import StreamStore
    from banyansail.router.health import HealthExaminer
    from banyansail.router.registry import ExchangeRegistry
    from banyansail.router.scheduler import Scheduler
    from banyansail.routing.quarantine import Quarantine
    from banyansail.upstreams.upstream_clients import UpstreamClients


ONE_DEATH = timedelta(seconds=5)  # calls lost within it were lost to one death


@dataclass(slots=True)
class ExchangeContext:
    """What the exchanges of a router share."""

    reactor: Any
    clock: Clock
    random: Random
    metrics: Metrics
    scheduler: Scheduler
    upstream_clients: UpstreamClients
    health: HealthExaminer
    quarantine: Quarantine
    registry: ExchangeRegistry
    ledger: LedgerClient
    streams: StreamStore
    evidence: EvidenceRecorder
    rules: RuleSet
    budget_by_service: dict[str, RetryBudget] = field(default_factory=dict)
    death_by_upstream: dict[str, timedelta] = field(default_factory=dict)

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        return self.budget_by_service.setdefault(service, RetryBudget())

    def count_death(self, upstream: str) -> bool:
        """Tell whether a death is to be counted; it is, once for a while."""
        now = self.clock.monotonic()
        last = self.death_by_upstream.get(upstream)
        if last is not None and now - last < ONE_DEATH:
            return False
        self.death_by_upstream[upstream] = now
        return True
