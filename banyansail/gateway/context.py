"""What the exchanges of a gateway share."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from banyansail.exceptions import ConnectFailedError
from banyansail.gateway.line_limit import LineLimit
from banyansail.gateway.metrics import GatewayMetrics
from banyansail.gateway.quota import cost_of
from banyansail.gateway.retry_budget import WindowedRetryBudget
from banyansail.upstreams.pool import ConnectionPool

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from banyansail.clock import Clock
    from banyansail.config.fields import Address
    from banyansail.config.gateway_settings import GatewaySettings
    from banyansail.gateway.crash_guard import CrashGuard
    from banyansail.gateway.dispatch import Dispatcher
    from banyansail.gateway.move_keeper import MoveKeeper
    from banyansail.gateway.peers import PeerTable
    from banyansail.gateway.quota import QuotaBook
    from banyansail.gateway.request_types import CallerCall
    from banyansail.gateway.site import Workspace
    from banyansail.gateway.upstream import Upstream
    from banyansail.gateway.usage import UsageCounter


@dataclass(slots=True, kw_only=True)
class GatewayContext:
    """State that requests meet.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    clock : Clock
        Source of time.
    random : Random
        Source of jitter.
    settings : GatewaySettings
        Bounds of retries.
    on_death : callable
        Tells other routers of the deaths of upstreams.
    """

    reactor: Any
    clock: Clock
    random: Random
    settings: GatewaySettings
    dispatcher: Dispatcher
    quota: QuotaBook
    usage: UsageCounter
    peers: PeerTable
    moves: MoveKeeper
    crashes: CrashGuard
    on_death: Callable[[bytes], None]
    route_lines: LineLimit = field(init=False)
    metrics: GatewayMetrics = field(default_factory=GatewayMetrics)
    _budget_by_service: dict[str, WindowedRetryBudget] = field(default_factory=dict)
    _pool_by_address: dict[Address, ConnectionPool] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.route_lines = LineLimit(self.clock)

    def budget(self, service: str) -> WindowedRetryBudget:
        """Return the retry budget of a service."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            settings = self.settings
            budget = WindowedRetryBudget(
                self.clock,
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window,
            )
            self._budget_by_service[service] = budget
        return budget

    def withdraw_retry(self, service: str) -> bool:
        """Take a retry out of a service's budget; return whether there was one."""
        return self.budget(service).withdraw(self.peers.fleet_size())

    def refund(self, workspace: Workspace | None, call: CallerCall) -> None:
        """Give back the quota of a request that did not run."""
        if workspace is not None:
            self.quota.refund(workspace, quota_cost(workspace, call))

    def pool_of(self, address: Address) -> ConnectionPool:
        """Return the connections to an upstream."""
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = ConnectionPool(self.reactor, self.clock, address)
            self._pool_by_address[address] = pool
        return pool

    def keep_pools(self, addresses: set[Address]) -> None:
        """Close the connections to addresses that no upstream has any more."""
        for address in self._pool_by_address.keys() - addresses:
            self._pool_by_address.pop(address).close()

    async def examine(self, upstream: Upstream, fingerprint: int) -> None:
        """Find out whether an upstream died under a request."""
        try:
            connection = await self.pool_of(upstream.address).connect()
        except ConnectFailedError:
            told = self.crashes.record_death(upstream, fingerprint)
            if told is not None:
                self.on_death(told)
            return
        connection.close()


def quota_cost(workspace: Workspace, call: CallerCall) -> float:
    """Return what a call counts against its workspace's quota."""
    prompt = call.prompt
    tokens = None if prompt is None else prompt.tokens + prompt.max_output
    return cost_of(workspace, tokens)
