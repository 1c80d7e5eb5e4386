"""Gateway process: builds its components and supervises their tasks."""

from __future__ import annotations

from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, task

from banyansail.clock import Clock, SystemClock
from banyansail.fleet.entries import Entry, Topic
from banyansail.gateway.config_keeper import ConfigKeeper
from banyansail.gateway.context import GatewayContext
from banyansail.gateway.crash_guard import CrashGuard
from banyansail.gateway.dispatch import Dispatcher
from banyansail.gateway.fleet_link import ROUTERS_KIND, FleetLink
from banyansail.gateway.ingress import GatewayFactory, ReadyFactory
from banyansail.gateway.metrics import MetricsFactory
from banyansail.gateway.mirror import Mirror
from banyansail.gateway.move_controller import MoveController
from banyansail.gateway.peers import PeerTable
from banyansail.gateway.quota import QuotaLimiter
from banyansail.gateway.request_handler import RequestHandler
from banyansail.gateway.scaler import Scaler
from banyansail.gateway.store_probe import StoreProbe
from banyansail.gateway.tasks import add_tasks
from banyansail.gateway.traffic import encode_own_traffic, merge_traffic
from banyansail.gateway.upstream_table import UPSTREAMS_DOCUMENT, UpstreamTable
from banyansail.gateway.usage import SteadyTime, UsageCounter
from banyansail.gateway.usage_reporter import UsageReporter
from banyansail.log import log_event
from banyansail.platform.cloud import CloudClient
from banyansail.platform.moves import MOVES_KIND
from banyansail.platform.store import StoreClient
from banyansail.router.supervisor import Supervisor
from banyansail.wire.call_codec import (
    EmptyReply,
    FetchDocument,
    PeerCall,
    PeerReply,
)

if TYPE_CHECKING:
    from banyansail.config.gateway_settings import GatewaySettings
    from banyansail.gateway.site import SiteConfig

MIN_COALESCE_TIME = timedelta(milliseconds=400)  # of consecutive upstream changes
# Each change costs the store one call per router, as every router watches.
COALESCE_TIME_PER_ROUTER = timedelta(milliseconds=13)
# Half of the 2 s within which a draining upstream must receive no new work.
MAX_COALESCE_TIME = timedelta(seconds=1)
DRAIN_POLL_INTERVAL = timedelta(milliseconds=50)
STOP_MARGIN = timedelta(milliseconds=400)  # left before the platform kills the process
# The load balancer sends no new connections this long after readiness ends.
BALANCER_REMOVAL_TIME = timedelta(seconds=2.6)
LISTEN_BACKLOG = 512
CONFIG_DOCUMENT = "config"


class Gateway(Supervisor):
    """A gateway; starting or stopping it starts or stops all its components.

    Parameters
    ----------
    settings : GatewaySettings
        Addresses, budgets and timeouts.
    reactor : object
        Twisted's reactor.
    clock : Clock
        Source of time.
    random : Random
        Source of jitter and random choices.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        reactor: Any,
        clock: Clock | None = None,
        random: Random | None = None,
    ) -> None:
        super().__init__(reactor, random or Random())
        self.settings = settings
        self.clock = clock or SystemClock()
        self.config = ConfigKeeper(self.clock, self._apply_config)
        self._ports: list[Any] = []
        self._build_platform()
        self._build_state()
        self._build_servers()
        add_tasks(self)

    def _build_platform(self) -> None:
        settings = self.settings
        self.store = StoreClient(self._reactor, self.clock, settings.store)
        self.store_probe = StoreProbe(self.store, ROUTERS_KIND, settings.name)
        self.cloud = CloudClient(
            self._reactor, self.clock, settings.cloud, settings.name
        )
        self.config_mirror = Mirror(
            "config", self.store, self.clock, self.config.apply_mirror
        )
        self.upstream_table = UpstreamTable(
            Mirror(
                "servers",
                self.store,
                self.clock,
                lambda mirror: self._apply_upstreams(),
                keeps_lapsed=True,
            )
        )
        self.move_mirror = Mirror(
            MOVES_KIND,
            self.store,
            self.clock,
            lambda mirror: self.moves.apply_orders(mirror),
        )

    def _build_state(self) -> None:
        settings, clock = self.settings, self.clock
        self.fleet = FleetLink(
            settings,
            self._reactor,
            clock,
            self._random,
            self._apply_entries,
            self._handle_peer_call,
        )
        self.peers = PeerTable(settings.name, clock)
        self.dispatcher = Dispatcher(settings.zone, clock, self._random)
        self.quota = QuotaLimiter(clock, settings.quota_slack)
        usage = UsageCounter(SteadyTime(clock), settings.usage_window)
        self.reporter = UsageReporter(
            settings, clock, self.store, self.cloud, usage, self.peers
        )
        lease = self.reporter.lease
        self.moves = MoveController(
            clock, self.store, lease, self.dispatcher, settings.expose_share
        )
        self.scaler = Scaler(clock, self.cloud, lease, self.dispatcher, self.peers)
        self.context = GatewayContext(
            reactor=self._reactor,
            clock=clock,
            random=self._random,
            settings=settings,
            dispatcher=self.dispatcher,
            quota=self.quota,
            usage=usage,
            peers=self.peers,
            moves=self.moves,
            crash_guard=CrashGuard(clock),
            publish_crashes=lambda value: self.fleet.publish(
                Topic.DEATHS, value, urgent=True
            ),
        )

    def _build_servers(self) -> None:
        self.request_handler = RequestHandler(self.context)
        self._caller_factory = GatewayFactory(
            self._reactor, self.request_handler.handle
        )
        self._metrics_factory = MetricsFactory(self._reactor, self._render_metrics)
        self._readiness_factory = ReadyFactory(self._reactor, lambda: self.is_ready)

    @property
    def site(self) -> SiteConfig:
        """Active configuration."""
        return self.config.site

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send new connections to this router."""
        return (
            not self.request_handler.is_leaving
            and self.site.version > 0
            and bool(self.dispatcher.service_by_name)
        )

    @property
    def is_unfit_for_duties(self) -> bool:
        """Whether this router is draining or cannot reach the store."""
        return self.request_handler.is_leaving or self.store_probe.is_unreachable

    def startService(self) -> None:
        """Open the listening sockets and start all tasks."""
        settings = self.settings
        self._publish_member()
        peer = settings.peer
        self._ports = [
            self._reactor.listenUDP(peer.port, self.fleet.protocol, peer.host)
        ]
        for address, factory in (
            (peer, self.fleet.server),
            (settings.listen, self._caller_factory),
            (settings.ready, self._readiness_factory),
            (settings.metrics, self._metrics_factory),
        ):
            port = self._reactor.listenTCP(
                address.port, factory, LISTEN_BACKLOG, address.host
            )
            self._ports.append(port)
        super().startService()

    async def stop_gracefully(self) -> None:
        """Let the load balancer remove this router, drain its requests, then stop."""
        stop_started_at = self.clock.monotonic()
        self.request_handler.is_leaving = True
        self._publish_member()
        log_event("leaving", in_progress=self.request_handler.in_progress)
        await self.publish_traffic()  # lets other routers take over its duties at once
        await self.reporter.release()
        await self._sleep(BALANCER_REMOVAL_TIME)
        self.request_handler.is_accepting = False
        drain_timeout = self.settings.grace - STOP_MARGIN
        while self.clock.monotonic() - stop_started_at < drain_timeout:
            self._caller_factory.close_idle_connections()
            if (
                not self.request_handler.in_progress
                and not self._caller_factory.channels
            ):
                break
            await self._sleep(DRAIN_POLL_INTERVAL)
        self.stop_listening()
        log_event("stopped", in_progress=self.request_handler.in_progress)

    def stop_listening(self) -> None:
        """Close the listening sockets."""
        ports, self._ports = self._ports, []
        for port in ports:
            port.stopListening()

    def _sleep(self, duration: timedelta) -> defer.Deferred[None]:
        return task.deferLater(self._reactor, duration.total_seconds())

    def _render_metrics(self) -> bytes:
        metrics = self.context.metrics
        metrics.set_config_version(self.site.version)
        metrics.set_in_progress(self.request_handler.in_progress)
        return metrics.render()

    def _apply_config(self, site: SiteConfig) -> None:
        self.request_handler.site = site
        self._caller_factory.set_idle_timeout(site.limits.idle_timeout)
        self._apply_upstreams()

    def _apply_upstreams(self) -> None:
        upstreams = self.upstream_table.upstreams()
        leaving_marks = self.upstream_table.encode_leaving_marks(upstreams)
        self.fleet.publish(Topic.LEAVING, leaving_marks, urgent=True)
        self.upstream_table.log_changes(upstreams)
        self.dispatcher.apply_upstreams(upstreams, self.site)
        self.context.close_unused_pools({upstream.address for upstream in upstreams})
        self._publish_member()

    async def follow_upstreams(self) -> None:
        """Wait for upstream changes, then pause so that further changes coalesce."""
        await self.upstream_table.mirror.follow()
        await self._sleep(coalesce_time(len(self.peers.live_names())))

    async def expire_upstreams(self) -> None:
        """Remove lapsed upstreams that did not reappear in the store in time."""
        self.upstream_table.mirror.expire_lapsed()

    async def catch_up(self) -> None:
        """Fetch newer configurations and missing upstreams from other routers."""
        for name, member in self.fleet.live_peers().items():
            if member.rules_version > self.site.version:
                document = await self.fleet.fetch(member, CONFIG_DOCUMENT)
                if document is not None:
                    self.config.apply_document(document, name)
            if self.upstream_table.mirror.revision is None and member.is_ready:
                document = await self.fleet.fetch(member, UPSTREAMS_DOCUMENT)
                if document is not None:
                    self.upstream_table.seed(document, name)

    async def _handle_peer_call(self, call: PeerCall) -> PeerReply:
        match call:
            case FetchDocument(name) if name == CONFIG_DOCUMENT:
                return self.config.document() or EmptyReply()
            case FetchDocument(name) if name == UPSTREAMS_DOCUMENT:
                return self.upstream_table.document() or EmptyReply()
        return EmptyReply()

    async def join(self) -> None:
        """Register this router in the store, once, so that others can find it."""
        await self.fleet.join(self.store)

    async def push_gossip(self) -> None:
        """Push new gossip entries to other routers."""
        self.fleet.push()

    async def exchange_digests(self) -> None:
        """Exchange digests with other routers to repair missed entries."""
        self.fleet.exchange_digests()

    async def publish_traffic(self) -> None:
        """Publish this router's membership entry and its traffic report."""
        self._publish_member()
        self.fleet.publish(Topic.TRAFFIC, self._encode_own_traffic())

    async def send_urgent_quota_use(self) -> None:
        """Send this router's quota use at once if a quota is nearly used up."""
        if self.quota.has_urgent_use:
            self.quota.has_urgent_use = False
            names = self.peers.live_names()
            self.fleet.send_to(names, Topic.TRAFFIC, self._encode_own_traffic())

    def _encode_own_traffic(self) -> bytes:
        is_unfit = self.is_unfit_for_duties
        return encode_own_traffic(self.context, is_unfit_for_duties=is_unfit)

    def _apply_entries(self, entries: list[Entry]) -> None:
        for entry in entries:
            match entry.topic:
                case Topic.LEAVING:
                    if self.upstream_table.merge_leaving_marks(entry):
                        self._apply_upstreams()
                case Topic.DEATHS:
                    self.context.crash_guard.merge_peer_crashes(entry.value)
        merge_traffic(self.context, entries)

    def _publish_member(self) -> None:
        self.fleet.publish_member(
            self.site.version,
            self.config.active_since,
            is_ready=self.is_ready,
            is_leaving=self.request_handler.is_leaving,
        )

    async def assign_waiting(self) -> None:
        """Assign queued requests to upstreams with a free slot."""
        self.dispatcher.assign_waiting()

    async def report_usage(self) -> None:
        """Report usage to the platform if this router is fit for duties."""
        if not self.is_unfit_for_duties:
            await self.reporter.report(list(self.site.workspace_by_name))

    async def scale(self) -> None:
        """Scale the replicas unless this router is draining."""
        if not self.request_handler.is_leaving:
            await self.scaler.scale(self.site)


def coalesce_time(router_count: int) -> timedelta:
    """Return how long to coalesce upstream changes before the next watch.

    Parameters
    ----------
    router_count : int
        Live routers; each one makes one store call per batch of changes.
    """
    return min(
        MAX_COALESCE_TIME,
        max(MIN_COALESCE_TIME, COALESCE_TIME_PER_ROUTER * router_count),
    )
