"""Work that a gateway repeats to tell other routers of itself."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.fleet.entries import Topic
from banyansail.gateway.sharing.quota_log import QuotaLog
from banyansail.gateway.sharing.traffic_report import apply_fleet_work

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.gateway.context import GatewayContext
    from banyansail.gateway.duties.usage_exchange import UsageExchange
    from banyansail.gateway.sharing.fleet_link import FleetLink
    from banyansail.gateway.store.mirror import Mirror
    from banyansail.gateway.store.store_following import StoreFollowing
    from banyansail.gateway.store.upstream_sync import UpstreamSync
    from banyansail.traffic.exchange import TrafficExchange

# For the list of routers after the start; then those that were heard of count.
LIST_WAIT = timedelta(seconds=2)


class GossipWork:
    """Coroutines that publish what this router knows.

    Parameters
    ----------
    context : GatewayContext
        State that is published.
    link : FleetLink
        Other routers.
    routers : Mirror
        List of the routers in the store.
    publish_member : callable
        Publishes the address and state of this router.
    upstream_sync : UpstreamSync
        Publishes that upstreams leave.
    following : StoreFollowing
        Takes note of who else follows the store.
    traffic_exchange, usage_exchange : object
        Send reports of traffic, and counts of usage.
    """

    __slots__ = (
        "_context",
        "_following",
        "_link",
        "_publish_member",
        "_quota_log",
        "_routers",
        "_started_at",
        "_traffic_exchange",
        "_upstream_sync",
        "_usage_exchange",
    )

    def __init__(
        self,
        context: GatewayContext,
        link: FleetLink,
        routers: Mirror,
        publish_member: Callable[[], None],
        upstream_sync: UpstreamSync,
        following: StoreFollowing,
        traffic_exchange: TrafficExchange,
        usage_exchange: UsageExchange,
    ) -> None:
        self._context = context
        self._link = link
        self._routers = routers
        self._publish_member = publish_member
        self._upstream_sync = upstream_sync
        self._following = following
        self._traffic_exchange = traffic_exchange
        self._usage_exchange = usage_exchange
        self._quota_log = QuotaLog(context.clock, context.quota)
        self._started_at = context.clock.monotonic()

    async def push(self) -> None:
        """Push new gossip entries to other routers."""
        self._link.push()

    async def exchange_digests(self) -> None:
        """Exchange digests with other routers, and see which of them are known."""
        self._link.exchange_digests()
        self._link.update_sharers(self._routers.age)

    async def publish_state(self) -> None:
        """Publish this router's state, and leaving marks that no other published."""
        context = self._context
        self._publish_member()
        self._upstream_sync.publish_due_marks()
        bad_moves = context.moves.encode_bad_moves()
        self._link.publish(Topic.STATEMENTS, bad_moves, urgent=True)
        self._following.update()
        context.limits.update()
        context.speeds.update()
        context.migrations.update()
        context.retries.update()
        self._count_quota_routers()
        self._quota_log.update()

    def _count_quota_routers(self) -> None:
        """Tell the quotas how many routers there may be, once that is known."""
        context = self._context
        is_list_read = self._routers.age < timedelta.max
        if is_list_read or context.clock.monotonic() - self._started_at > LIST_WAIT:
            context.quota.known_routers = len(self._link.known_routers())

    async def report_cleared(self) -> None:
        """Tell other routers of suspected parts of prompts that were answered here."""
        context = self._context
        value = context.crash_guard.draw_report(
            context.random, context.fleet.fleet_size()
        )
        if value is not None:
            context.publish_crashes(value)

    async def exchange_traffic(self) -> None:
        """Send this router's traffic report, sums and usage counts that are due."""
        context = self._context
        is_urgent = context.quota.has_urgent_use
        if self._traffic_exchange.send_report(is_urgent=is_urgent):
            context.quota.has_urgent_use = False
        self._traffic_exchange.send_sums()
        if context.fleet.is_silent:
            apply_fleet_work(context)
            context.dispatcher.record_fleet(context.fleet.fleet_size())
        self._usage_exchange.send()
