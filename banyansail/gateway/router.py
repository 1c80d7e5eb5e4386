"""Gateway process: builds its components and supervises their tasks."""

from __future__ import annotations

from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, task

from banyansail.clock import Clock, SystemClock
from banyansail.exceptions import WireError
from banyansail.fleet.entries import Entry, Topic
from banyansail.gateway.caller_listener import (
    LISTEN_BACKLOG,
    CallerListener,
    open_listener,
)
from banyansail.gateway.cold_sharing import ColdSharing
from banyansail.gateway.config_keeper import ConfigKeeper
from banyansail.gateway.context import GatewayContext
from banyansail.gateway.crash_check import CrashCheck
from banyansail.gateway.decisions.crash_guard import CrashGuard
from banyansail.gateway.decisions.dispatch import Dispatcher
from banyansail.gateway.decisions.quota import QuotaLimiter
from banyansail.gateway.duties.move_controller import MoveController
from banyansail.gateway.duties.moves import ExposureBound
from banyansail.gateway.duties.scaler import Scaler
from banyansail.gateway.duties.usage import SteadyTime, UsageCounter
from banyansail.gateway.duties.usage_exchange import UsageExchange
from banyansail.gateway.duties.usage_reporter import UsageReporter
from banyansail.gateway.evacuations import Evacuations
from banyansail.gateway.fleet_link import ROUTERS_KIND, FleetLink
from banyansail.gateway.ingress import GatewayFactory, ReadyFactory
from banyansail.gateway.limit_sharing import LimitSharing
from banyansail.gateway.metrics import MetricsFactory
from banyansail.gateway.mirror import Mirror
from banyansail.gateway.quarantine_store import QuarantineStore
from banyansail.gateway.reach_check import ReachCheck
from banyansail.gateway.request_handler import RequestHandler
from banyansail.gateway.speed_sharing import SpeedSharing
from banyansail.gateway.store_following import StoreFollowing
from banyansail.gateway.store_probe import StoreProbe
from banyansail.gateway.tasks import add_tasks
from banyansail.gateway.traffic_report import (
    apply_fleet_traffic,
    apply_fleet_work,
    make_report,
)
from banyansail.gateway.upstream_sync import MAX_COALESCE_TIME, UpstreamSync
from banyansail.gateway.upstream_table import UPSTREAMS_DOCUMENT, UpstreamTable
from banyansail.log import log_event
from banyansail.platform.cloud import CloudClient
from banyansail.platform.evacuations import EVACUATIONS_KIND, decode_evacuations
from banyansail.platform.moves import MOVES_KIND
from banyansail.platform.site import differs_in_cold_time_only
from banyansail.platform.store import StoreClient
from banyansail.router.supervisor import Supervisor
from banyansail.traffic.exchange import TrafficExchange
from banyansail.traffic.fleet_traffic import FleetTraffic
from banyansail.wire.call_codec import (
    EmptyReply,
    FetchDocument,
    FollowStore,
    PeerCall,
    PeerReply,
    ReachIncarnation,
    ReachUpstream,
)
from banyansail.wire.gossip_codec import decode_member

if TYPE_CHECKING:
    import socket

    from banyansail.config.gateway_settings import GatewaySettings
    from banyansail.gateway.site import SiteConfig
    from banyansail.traffic.report import TrafficReport

DRAIN_POLL_INTERVAL = timedelta(milliseconds=50)
STOP_MARGIN = timedelta(milliseconds=400)  # left before the platform kills the process
# The load balancer sends no new connections this long after readiness ends.
BALANCER_REMOVAL_TIME = timedelta(seconds=2.6)
CONFIRM_DELAY = timedelta(milliseconds=100)  # from the end of a pause; a watch is sent
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
    listener : socket.socket or None
        Socket that callers connect to; ``None`` to open one at the start.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        reactor: Any,
        clock: Clock | None = None,
        random: Random | None = None,
        listener: socket.socket | None = None,
    ) -> None:
        super().__init__(reactor, random or Random())
        self.settings = settings
        self._listener = listener
        self.clock = clock or SystemClock()
        self.config = ConfigKeeper(self.clock, self._apply_config)
        self._ports: list[Any] = []
        self._build_platform()
        self._build_state()
        self._build_servers()
        add_tasks(self)

    def _build_platform(self) -> None:
        settings = self.settings
        self.store = StoreClient(
            self._reactor,
            self.clock,
            settings.store,
            lambda record: self.context.metrics.count_store_call(record),
        )
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
                lambda mirror: self.upstream_sync.apply(),
                keeps_lapsed=True,
                is_minor_change=differs_in_cold_time_only,
            )
        )
        self.evacuation_mirror = Mirror(
            EVACUATIONS_KIND,
            self.store,
            self.clock,
            lambda mirror: self.evacuations.apply_store(
                decode_evacuations(mirror.object_by_name), mirror.revision
            ),
            remembers_deleted=False,
        )
        self.move_mirror = Mirror(
            MOVES_KIND,
            self.store,
            self.clock,
            lambda mirror: self.moves.apply_orders(mirror),
        )

    def _build_state(self) -> None:
        settings, clock = self.settings, self.clock
        self.link = FleetLink(
            settings,
            self._reactor,
            clock,
            self._random,
            self._apply_entries,
            self._handle_peer_call,
        )
        self.fleet = FleetTraffic(settings.name, clock)
        self.dispatcher = Dispatcher(
            settings.zone, clock, self._random, settings.fair_queue_min_routers
        )
        self.evacuations = Evacuations(self._apply_evacuations)
        self.quota = QuotaLimiter(clock, settings.quota_slack)
        usage = UsageCounter(SteadyTime(clock), settings.usage_window)
        self.reporter = UsageReporter(
            settings, clock, self.store, self.cloud, usage, self.fleet
        )
        lease = self.reporter.lease
        self.moves = MoveController(
            clock,
            self.store,
            lease,
            self.dispatcher,
            ExposureBound(settings.expose_share, settings.expose_slack),
        )
        self.scaler = Scaler(clock, self.cloud, lease, self.dispatcher, self.fleet)
        self.limits = LimitSharing(
            settings.name,
            clock,
            self.dispatcher,
            self.fleet,
            self.link.live_members,
            ColdSharing(
                settings, self.fleet, self.link.live_members, self.link.known_routers
            ),
        )
        self.speeds = SpeedSharing(
            clock,
            self.dispatcher,
            self.fleet,
            is_active=settings.uneven_upstreams,
        )
        self.context = GatewayContext(
            reactor=self._reactor,
            clock=clock,
            random=self._random,
            settings=settings,
            dispatcher=self.dispatcher,
            quota=self.quota,
            usage=usage,
            fleet=self.fleet,
            moves=self.moves,
            crash_guard=CrashGuard(clock),
            publish_crashes=lambda value: self.link.publish(
                Topic.DEATHS, value, urgent=True
            ),
            check_crash=lambda upstream, call: self.crash_check.run(upstream, call),
            mark_leaving=lambda upstream: self.upstream_sync.mark_leaving(upstream),
            limits=self.limits,
            speeds=self.speeds,
            live_peers=self.link.live_peers,
            confirm_reach=lambda: self.reach_check.confirm(),
        )
        self.crash_check = CrashCheck(self.context, self.link)
        self.reach_check = ReachCheck(self.context, clock, self._publish_member)
        self.quarantine_store = QuarantineStore(
            self.store,
            clock,
            self._random,
            self.context.crash_guard,
            is_cleaner=lambda: lease.fencing_token() is not None,
        )
        self.upstream_sync = UpstreamSync(
            self.upstream_table, self.link, self.context, self._on_upstreams_applied
        )
        self.usage_exchange = UsageExchange(
            settings.name, clock, self.link, usage, self.fleet, self.reporter
        )
        self.traffic_exchange = TrafficExchange(
            settings.name,
            settings.zone,
            clock,
            self.link,
            self.fleet,
            self._make_report,
            lambda: apply_fleet_traffic(self.context),
        )

        self.store.add_restore_listener(self._apply_restore)
        self.store_following = StoreFollowing(
            settings,
            self._reactor,
            clock,
            self._random,
            self.store,
            self._mirrors,
            self.link.live_members,
            self.link.call,
            lambda: self.context.metrics,
        )

    def _build_servers(self) -> None:
        self.request_handler = RequestHandler(self.context)
        self.request_handler.awaits_evacuations = self.follows_evacuations
        self._caller_factory = GatewayFactory(
            self._reactor, self.request_handler.handle
        )
        self._relay_factory = GatewayFactory(
            self._reactor, self.request_handler.handle_relayed
        )
        self._metrics_factory = MetricsFactory(self._reactor, self._render_metrics)
        self._readiness_factory = ReadyFactory(self._reactor, lambda: self.is_ready)

    @property
    def _mirrors(self) -> tuple[Mirror, ...]:
        mirrors = (self.config_mirror, self.upstream_table.mirror, self.move_mirror)
        if self.follows_evacuations:
            mirrors += (self.evacuation_mirror,)
        return mirrors

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
            and not self.request_handler.awaits_evacuations
            and bool(self.dispatcher.service_by_name)
        )

    @property
    def follows_evacuations(self) -> bool:
        """Whether data centres of this deployment may be evacuated."""
        return self.settings.evacuate is not None

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
            self._reactor.listenUDP(peer.port, self.link.protocol, peer.host)
        ]
        for address, factory in (
            (peer, self.link.server),
            (settings.relay, self._relay_factory),
            (settings.ready, self._readiness_factory),
            (settings.metrics, self._metrics_factory),
        ):
            port = self._reactor.listenTCP(
                address.port, factory, LISTEN_BACKLOG, address.host
            )
            self._ports.append(port)
        self._ports.append(self._start_caller_listener())
        super().startService()

    def _start_caller_listener(self) -> CallerListener:
        listener = CallerListener(
            self._reactor,
            self._listener or open_listener(self.settings.listen),
            self._caller_factory,
            lambda: self.is_ready,
        )
        listener.start()
        return listener

    async def stop_gracefully(self) -> None:
        """Let the load balancer remove this router, drain its requests, then stop."""
        stop_started_at = self.clock.monotonic()
        self.request_handler.is_leaving = True
        self._publish_member()
        log_event("leaving", in_progress=self.request_handler.in_progress)
        # Lets other routers take over its duties at once.
        self.traffic_exchange.send_report(is_urgent=True)
        await self.reporter.release()
        await self._sleep(BALANCER_REMOVAL_TIME)
        self.request_handler.is_accepting = False
        drain_timeout = self.settings.grace - STOP_MARGIN
        while self.clock.monotonic() - stop_started_at < drain_timeout:
            self._caller_factory.close_idle_connections()
            self._relay_factory.close_idle_connections()
            if not (
                self.request_handler.in_progress
                or self._caller_factory.channels
                or self._relay_factory.channels
            ):
                break
            await self._sleep(DRAIN_POLL_INTERVAL)
        self.usage_exchange.send(is_urgent=True)
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
        metrics.set_evacuated_zones(len(self.evacuations.zones))
        now = self.clock.monotonic()
        for name, state in self.dispatcher.service_by_name.items():
            cold = [load for load in state.load_by_id.values() if load.cold.left(now)]
            metrics.set_cold_upstreams(name, len(cold))
            if state.is_fair:
                metrics.set_shares(name, state.shares.share_uses())
        metrics.set_upstreams(self.dispatcher.loads())
        return metrics.render()

    def _apply_config(self, site: SiteConfig) -> None:
        self.request_handler.site = site
        self.context.site = site
        self.quota.workspace_by_name = site.workspace_by_name
        self.dispatcher.fair.set_workspaces(site.workspace_by_name.values())
        self._caller_factory.set_limits(site.limits)
        self._relay_factory.set_limits(site.limits)
        self.upstream_sync.site = site
        self.upstream_sync.apply()

    def _on_upstreams_applied(self) -> None:
        self._publish_member()
        self.context.migrations.update()

    def _apply_restore(self) -> None:
        """Take into account that the store was restored from a copy."""
        self.reporter.record_restore()
        self.moves.record_restore()
        self.link.forget_registration()
        for mirror in self._mirrors:
            mirror.reset()
        self.quarantine_store.forget()
        self._publish_member()

    def _apply_evacuations(self) -> None:
        """Send nothing more to evacuated data centres, and tell the other routers."""
        self.request_handler.awaits_evacuations = not self.evacuations.is_known
        self.dispatcher.evacuated_zones = self.evacuations.zones
        self._publish_member()

    def _merge_evacuations(self, entry: Entry) -> None:
        if not self.follows_evacuations:
            return
        try:
            self.evacuations.merge(decode_member(entry.value), entry.origin)
        except WireError as error:
            log_event("member_unreadable", origin=entry.origin, error=error.message)

    async def follow_upstreams(self) -> None:
        """Wait for upstream changes, then pause so that further changes coalesce."""
        mirror = self.upstream_table.mirror
        if not await self.store_following.follow(mirror):
            return
        if mirror.has_minor_changes_only and self.store_following.role.is_shared:
            await self._sleep(MAX_COALESCE_TIME)
            # Followers rely on the age of the last contact, which the pause delays.
            self._reactor.callLater(CONFIRM_DELAY.total_seconds(), self._confirm_store)
        else:
            await self._sleep(self.upstream_sync.coalesce_time)

    async def follow_config(self) -> None:
        """Wait for changes of the configuration."""
        await self.store_following.follow(self.config_mirror)

    async def follow_moves(self) -> None:
        """Wait for changes of the orders to move traffic."""
        await self.store_following.follow(self.move_mirror)

    async def follow_evacuations(self) -> None:
        """Wait for changes of the evacuations."""
        await self.store_following.follow(self.evacuation_mirror)

    async def follow_first_watcher(self) -> None:
        """Learn of changes in the store from the first router that is followed."""
        await self.store_following.follow_watcher(0)

    async def follow_second_watcher(self) -> None:
        """Learn of changes in the store from the second router that is followed."""
        await self.store_following.follow_watcher(1)

    async def probe_store(self) -> None:
        """Check whether the store answers."""
        sent_at = self.clock.monotonic()
        await self.store_probe.probe()
        is_reached = not self.store_probe.is_unreachable
        self.store_following.record_probe(sent_at, is_reached=is_reached)

    def _confirm_store(self) -> None:
        defer.Deferred.fromCoroutine(self.probe_store())

    async def expire_upstreams(self) -> None:
        """Remove lapsed upstreams that did not reappear in the store in time."""
        self.upstream_table.mirror.expire_lapsed()

    async def catch_up(self) -> None:
        """Fetch newer configurations and missing upstreams from other routers."""
        for name, member in self.link.live_peers().items():
            self.store.observe_era(member.store_era)
            if member.rules_version > self.site.version:
                document = await self.link.fetch(member, CONFIG_DOCUMENT)
                if document is not None:
                    self.config.apply_document(document, name)
            if self.upstream_table.needs_seed and member.is_ready:
                document = await self.link.fetch(member, UPSTREAMS_DOCUMENT)
                if document is not None:
                    self.upstream_table.seed(document, name)

    async def _handle_peer_call(self, call: PeerCall) -> PeerReply:
        match call:
            case FetchDocument(name) if name == CONFIG_DOCUMENT:
                return self.config.document() or EmptyReply()
            case FetchDocument(name) if name == UPSTREAMS_DOCUMENT:
                return self.upstream_table.document() or EmptyReply()
            case ReachUpstream() | ReachIncarnation():
                return await self.crash_check.answer(call)
            case FollowStore():
                return await self.store_following.answer(call)
        return EmptyReply()

    async def join(self) -> None:
        """Register this router in the store, once, so that others can find it."""
        await self.link.join(self.store)

    async def push_gossip(self) -> None:
        """Push new gossip entries to other routers."""
        self.link.push()

    async def exchange_digests(self) -> None:
        """Exchange digests with other routers to repair missed entries."""
        self.link.exchange_digests()

    async def publish_state(self) -> None:
        """Publish this router's state, and leaving marks that no other published."""
        self._publish_member()
        self.upstream_sync.publish_due_marks()
        self.link.publish(Topic.STATEMENTS, self.moves.encode_bad_moves(), urgent=True)
        self.store_following.update()
        self.limits.update()
        self.speeds.update()
        self.context.migrations.update()

    async def report_cleared(self) -> None:
        """Tell other routers of suspected parts of prompts that were answered here."""
        value = self.context.crash_guard.draw_report(
            self._random, self.fleet.fleet_size()
        )
        if value is not None:
            self.context.publish_crashes(value)

    async def exchange_traffic(self) -> None:
        """Send this router's traffic report, sums and usage counts that are due."""
        is_urgent = self.quota.has_urgent_use
        if self.traffic_exchange.send_report(is_urgent=is_urgent):
            self.quota.has_urgent_use = False
        self.traffic_exchange.send_sums()
        if self.fleet.is_silent:
            apply_fleet_work(self.context)
            self.dispatcher.record_fleet(self.fleet.fleet_size())
        self.usage_exchange.send()

    def _make_report(self) -> TrafficReport:
        return make_report(
            self.context,
            is_unfit_for_duties=self.is_unfit_for_duties,
            holds_duties=self.reporter.lease.fencing_token() is not None,
        )

    def _apply_entries(self, entries: list[Entry]) -> None:
        for entry in entries:
            match entry.topic:
                case Topic.MEMBER:
                    self._merge_evacuations(entry)
                case Topic.LEAVING:
                    self.upstream_sync.merge_marks(entry)
                case Topic.DEATHS:
                    self.context.crash_guard.merge_peer_crashes(entry.value)
                case Topic.STATEMENTS:
                    self.moves.merge_bad_moves(entry)
                case Topic.USAGE:
                    self.usage_exchange.apply_entry(entry)
                case Topic.TRAFFIC | Topic.ZONE_TRAFFIC | Topic.FLEET_TRAFFIC:
                    self.traffic_exchange.apply_entry(entry)

    def _publish_member(self) -> None:
        self.link.publish_member(
            self.site.version,
            self.config.active_since,
            is_ready=self.is_ready,
            is_leaving=self.request_handler.is_leaving,
            store_era=self.store.era,
            is_cut_off=self.context.reach.is_cut_off,
            evacuations=self.evacuations.marks(),
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
