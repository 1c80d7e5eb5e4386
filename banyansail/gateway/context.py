"""State that all requests of a gateway share."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from banyansail.gateway.decisions.limits.quota import cost_of
from banyansail.gateway.decisions.upstreams.upstream_reach import UpstreamReach
from banyansail.gateway.log_rate_limit import LogRateLimit
from banyansail.gateway.metrics import GatewayMetrics
from banyansail.gateway.migration.scheduler import MigrationScheduler
from banyansail.gateway.requests.byte_budget import ByteBudget
from banyansail.gateway.requests.relay import Relays
from banyansail.gateway.sharing.retry_sharing import RetrySharing
from banyansail.gateway.site import SiteConfig
from banyansail.log import log_event
from banyansail.upstreams.pool import ConnectionPool

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from random import Random

    from banyansail.clock import Clock
    from banyansail.config.fields import Address
    from banyansail.config.gateway_settings import GatewaySettings
    from banyansail.fleet.entries import Member
    from banyansail.gateway.decisions.crashes.crash_guard import CrashGuard
    from banyansail.gateway.decisions.limits.quota import QuotaLimiter
    from banyansail.gateway.decisions.queue.dispatch import Dispatcher
    from banyansail.gateway.decisions.upstreams.upstream_load import UpstreamLoad
    from banyansail.gateway.duties.usage import UsageCounter
    from banyansail.gateway.moves.controller import MoveController
    from banyansail.gateway.request_types import CallerCall, ReplyHead
    from banyansail.gateway.sharing.limit_sharing import LimitSharing
    from banyansail.gateway.sharing.speed_sharing import SpeedSharing
    from banyansail.gateway.site import Workspace
    from banyansail.gateway.upstream import Upstream
    from banyansail.traffic.fleet_traffic import FleetTraffic

MAX_UPSTREAM_SILENCE = timedelta(seconds=3)  # a sound one may be silent for a second
MAX_BUFFERED_BYTES = 64 * 1024**2  # of answers, a part of the memory of an instance


@dataclass(slots=True, kw_only=True)
class GatewayContext:
    """Shared state and dependencies of request handling.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    clock : Clock
        Source of time.
    random : Random
        Source of jitter.
    settings : GatewaySettings
        Settings, such as those of the retry budget.
    publish_crashes : callable
        Publishes the encoded crashes of upstreams to other routers.
    check_crash : callable
        Coroutine function that examines an upstream after its connection broke during
        a request, and records its crash.
    mark_leaving : callable
        Called with an upstream that said in an answer that it is draining.
    limits : LimitSharing
        Limits that upstreams name in their answers.
    speeds : SpeedSharing
        Measured speeds of upstreams.
    live_peers : callable
        Returns the other live routers by name.
    count_sharers : callable
        Returns how many routers share the retry budget, or ``None`` if unknown.
    site : SiteConfig
        Configuration in force.
    confirm_reach : callable
        Coroutine function that checks whether this router is cut off from all upstreams
        if a connection failed since the last one was accepted.
    """

    reactor: Any
    clock: Clock
    random: Random
    settings: GatewaySettings
    dispatcher: Dispatcher
    quota: QuotaLimiter
    usage: UsageCounter
    fleet: FleetTraffic
    moves: MoveController
    crash_guard: CrashGuard
    publish_crashes: Callable[[bytes], None]
    check_crash: Callable[[Upstream, CallerCall], Coroutine[Any, Any, None]]
    mark_leaving: Callable[[Upstream], None]
    limits: LimitSharing
    speeds: SpeedSharing
    live_peers: Callable[[], dict[str, Member]]
    count_sharers: Callable[[], int | None]
    confirm_reach: Callable[[], Coroutine[Any, Any, None]]
    answer_budget: ByteBudget = field(
        default_factory=lambda: ByteBudget(MAX_BUFFERED_BYTES)
    )
    route_log_limit: LogRateLimit = field(init=False)
    reach: UpstreamReach = field(init=False)
    migrations: MigrationScheduler = field(init=False)
    site: SiteConfig = field(default_factory=SiteConfig)
    relays: Relays = field(init=False)
    retries: RetrySharing = field(init=False)
    metrics: GatewayMetrics = field(default_factory=GatewayMetrics)
    _pool_by_address: dict[Address, ConnectionPool] = field(default_factory=dict)
    _pool_by_router: dict[Address, ConnectionPool] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.reach = UpstreamReach(self.clock)
        self.migrations = MigrationScheduler(self)
        self.relays = Relays(self, self.live_peers)
        self.retries = RetrySharing(
            self.clock, self.settings, self.metrics, self.count_sharers
        )
        self.route_log_limit = LogRateLimit(self.clock)

    def stride(self, service: str) -> int:
        """Return the tokens of one event of a stream."""
        spec = self.site.service_by_name.get(service)
        return spec.engine.stride if spec is not None and spec.engine else 1

    def pool_of(self, address: Address) -> ConnectionPool:
        """Return the connection pool of an upstream's address."""
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = ConnectionPool(
                self.reactor,
                self.clock,
                address,
                self._record_connect,
                MAX_UPSTREAM_SILENCE,
            )
            self._pool_by_address[address] = pool
        return pool

    def pool_of_router(self, address: Address) -> ConnectionPool:
        """Return the connection pool of a router that relays requests."""
        pool = self._pool_by_router.get(address)
        if pool is None:
            pool = ConnectionPool(self.reactor, self.clock, address)
            self._pool_by_router[address] = pool
        return pool

    def _record_connect(self, is_connected: bool) -> None:
        if is_connected:
            self.reach.record_contact()
        else:
            self.reach.record_failure()

    def close_unused_pools(self, used_addresses: set[Address]) -> None:
        """Close the pools whose address no upstream uses any more."""
        for address in self._pool_by_address.keys() - used_addresses:
            self._pool_by_address.pop(address).close()

    def apply_reply_head(self, load: UpstreamLoad, head: ReplyHead) -> None:
        """Apply what an upstream says about itself in the head of an answer."""
        self.reach.record_bytes()
        if head.is_leaving:
            self.mark_leaving(load.upstream)
        self.limits.record_answer(load, head)
        if head.pause is not None:
            load.pause(head.pause, self.clock.monotonic())
            log_event(
                "upstream_pauses",
                upstream=load.upstream.id,
                seconds=head.pause.total_seconds(),
            )


def quota_cost(workspace: Workspace, call: CallerCall) -> float:
    """Return the cost of a call against its workspace's quota."""
    prompt = call.prompt
    tokens = None if prompt is None else prompt.tokens + prompt.max_output
    return cost_of(workspace, tokens)
