"""Gateway process: builds its components and supervises their tasks."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from banyansail.clock import Clock, SystemClock
from banyansail.fleet.entries import Topic
from banyansail.gateway.callers.request_handler import RequestHandler
from banyansail.gateway.callers.servers import Servers
from banyansail.gateway.context import GatewayContext
from banyansail.gateway.decisions.crashes.crash_guard import CrashGuard
from banyansail.gateway.decisions.limits.quota import QuotaLimiter
from banyansail.gateway.decisions.queue.dispatch import Dispatcher
from banyansail.gateway.drain import Drain
from banyansail.gateway.duties.duty_work import DutyWork
from banyansail.gateway.fleet_duties import FleetDuties
from banyansail.gateway.metrics_page import MetricsPage
from banyansail.gateway.reach_check import ReachCheck
from banyansail.gateway.requests.crash_check import CrashCheck
from banyansail.gateway.sharing.cold_sharing import ColdSharing
from banyansail.gateway.sharing.fleet_link import ROUTERS_KIND, FleetLink
from banyansail.gateway.sharing.gossip_work import GossipWork
from banyansail.gateway.sharing.limit_sharing import LimitSharing
from banyansail.gateway.sharing.peer_messages import PeerMessages
from banyansail.gateway.sharing.quarantine_store import QuarantineStore
from banyansail.gateway.sharing.speed_sharing import SpeedSharing
from banyansail.gateway.sharing.traffic_report import (
    apply_fleet_traffic,
    make_report,
)
from banyansail.gateway.store.config_keeper import ConfigKeeper
from banyansail.gateway.store.config_sources import ConfigSources
from banyansail.gateway.store.evacuations import Evacuations
from banyansail.gateway.store.store_following import StoreFollowing
from banyansail.gateway.store.store_mirrors import MirrorListeners, StoreMirrors
from banyansail.gateway.store.store_probe import StoreProbe
from banyansail.gateway.store.store_work import StoreWork
from banyansail.gateway.store.upstream_sync import UpstreamSync
from banyansail.gateway.tasks import (
    add_duty_tasks,
    add_gossip_tasks,
    add_request_tasks,
    add_store_tasks,
)
from banyansail.log import log_event
from banyansail.platform.cloud import CloudClient
from banyansail.platform.evacuations import decode_evacuations
from banyansail.platform.store import StoreClient
from banyansail.router.supervisor import Supervisor
from banyansail.traffic.exchange import TrafficExchange
from banyansail.traffic.fleet_traffic import FleetTraffic

if TYPE_CHECKING:
    import socket

    from banyansail.config.gateway_settings import GatewaySettings
    from banyansail.gateway.site import SiteConfig
    from banyansail.traffic.report import TrafficReport


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
        self._build_platform()
        self._build_fleet()
        self._build_context()
        self._build_exchanges()
        self._build_servers()
        self._add_tasks()

    def _build_platform(self) -> None:
        settings = self.settings
        self.store = StoreClient(
            self.reactor,
            self.clock,
            settings.store,
            lambda record: self.context.metrics.count_store_call(record),
        )
        self.store_probe = StoreProbe(self.store, ROUTERS_KIND, settings.name)
        self.cloud = CloudClient(
            self.reactor, self.clock, settings.cloud, settings.name
        )
        self.mirrors = StoreMirrors(
            self.store,
            self.clock,
            self._make_mirror_listeners(),
            follows_evacuations=self.follows_evacuations,
        )

    def _make_mirror_listeners(self) -> MirrorListeners:
        return MirrorListeners(
            apply_config=self.config.apply_mirror,
            apply_upstreams=lambda mirror: self.upstream_sync.apply(),
            apply_evacuations=lambda mirror: self.evacuations.apply_store(
                decode_evacuations(mirror.object_by_name), mirror.revision
            ),
            apply_moves=lambda mirror: self.duties.moves.apply_orders(mirror),
            apply_routers=lambda mirror: self.link.apply_registered(
                mirror.object_by_name
            ),
        )

    def _build_fleet(self) -> None:
        settings, clock = self.settings, self.clock
        self.link = FleetLink(
            settings,
            self.reactor,
            clock,
            self.random,
            lambda entries: self.peer_messages.apply_entries(entries),
            lambda call: self.peer_messages.answer(call),
        )
        self.fleet = FleetTraffic(settings.name, clock)
        self.dispatcher = Dispatcher(
            settings.zone, clock, self.random, settings.fair_queue_min_routers
        )
        self.evacuations = Evacuations(self._apply_evacuations)
        self.quota = QuotaLimiter(
            clock, self.random, settings.quota_slack, known_routers=0
        )
        self.duties = FleetDuties(
            settings,
            clock,
            self.store,
            self.cloud,
            self.link,
            self.dispatcher,
            self.fleet,
        )

    def _build_context(self) -> None:
        settings, clock = self.settings, self.clock
        self.limits = LimitSharing(
            settings.name,
            clock,
            self.dispatcher,
            self.fleet,
            self.link.live_members,
            ColdSharing(
                settings, self.fleet, self.link.live_members, self.link.known_routers
            ),
            self.link.known_routers,
        )
        self.speeds = SpeedSharing(
            clock,
            self.dispatcher,
            self.fleet,
            is_active=settings.uneven_upstreams,
        )
        self.context = GatewayContext(
            reactor=self.reactor,
            clock=clock,
            random=self.random,
            settings=settings,
            dispatcher=self.dispatcher,
            quota=self.quota,
            usage=self.duties.usage,
            fleet=self.fleet,
            moves=self.duties.moves,
            crash_guard=CrashGuard(clock),
            publish_crashes=lambda value: self.link.publish(
                Topic.DEATHS, value, urgent=True
            ),
            check_crash=lambda upstream, call: self.crash_check.run(upstream, call),
            mark_leaving=lambda upstream: self.upstream_sync.mark_leaving(upstream),
            limits=self.limits,
            speeds=self.speeds,
            live_peers=self.link.live_peers,
            count_sharers=self.link.count_sharers,
            confirm_reach=lambda: self.reach_check.confirm(),
        )
        self.crash_check = CrashCheck(self.context, self.link)
        self.reach_check = ReachCheck(self.context, clock, self.publish_member)

    def _build_exchanges(self) -> None:
        settings, clock = self.settings, self.clock
        self.quarantine_store = QuarantineStore(
            self.store,
            clock,
            self.random,
            self.context.crash_guard,
            is_cleaner=lambda: self.duties.is_held,
        )
        self.upstream_sync = UpstreamSync(
            self.mirrors.upstreams, self.link, self.context, self._on_upstreams_applied
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
            self.reactor,
            clock,
            self.random,
            self.store,
            self.mirrors.followed(),
            self.link.live_members,
            self.link.call,
            lambda: self.context.metrics,
        )
        self.peer_messages = PeerMessages(
            self.context,
            self.config,
            self.mirrors.upstreams,
            self.upstream_sync,
            self.crash_check,
            self.store_following,
            self.duties.usage_exchange,
            self.traffic_exchange,
            self.evacuations if self.follows_evacuations else None,
        )

    def _build_servers(self) -> None:
        self.request_handler = RequestHandler(self.context)
        self.request_handler.awaits_evacuations = self.follows_evacuations
        self.metrics_page = MetricsPage(
            self.context, self.request_handler, self.evacuations, self.store_following
        )
        self.servers = Servers(
            self.reactor,
            self.settings,
            self.request_handler,
            is_ready=lambda: self.is_ready,
            render_metrics=self.metrics_page.render,
        )

    def _add_tasks(self) -> None:
        store_work = StoreWork(
            self.reactor,
            self.clock,
            self.store,
            self.store_probe,
            self.mirrors,
            self.store_following,
            self.upstream_sync,
            self.config,
            self.link,
            ConfigSources(self.settings.zone, self.clock, self.random),
        )
        gossip_work = GossipWork(
            self.context,
            self.link,
            self.mirrors.routers,
            self.publish_member,
            self.upstream_sync,
            self.store_following,
            self.traffic_exchange,
            self.duties.usage_exchange,
        )
        duty_work = DutyWork(
            self.duties.reporter,
            self.duties.scaler,
            site=lambda: self.site,
            is_unfit=lambda: self.is_unfit_for_duties,
            is_leaving=lambda: self.request_handler.is_leaving,
        )
        add_gossip_tasks(self, gossip_work)
        add_store_tasks(self, store_work, self.mirrors, self.duties.lease)
        add_request_tasks(self, self.context, self.reach_check)
        add_duty_tasks(self, duty_work, self.duties.moves, self.quarantine_store)

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
        self.publish_member()
        self.servers.start(self.link, self._listener)
        super().startService()

    async def stop_gracefully(self) -> None:
        """Let the load balancer remove this router, drain its requests, then stop."""
        drain = Drain(self.reactor, self.clock, self.request_handler, self.servers)
        self.request_handler.is_leaving = True
        self.publish_member()
        log_event("leaving", in_progress=self.request_handler.in_progress)
        # Lets other routers take over its duties at once.
        self.traffic_exchange.send_report(is_urgent=True)
        await self.duties.reporter.release()
        await drain.run(self.settings.grace)
        self.duties.usage_exchange.send_last()
        self.stop_listening()
        await drain.wait_for_last_answers()

    def stop_listening(self) -> None:
        """Close the listening sockets."""
        self.servers.stop()

    def _apply_config(self, site: SiteConfig) -> None:
        self.request_handler.site = site
        self.context.site = site
        self.quota.workspace_by_name = site.workspace_by_name
        self.dispatcher.fair.set_workspaces(site.workspace_by_name.values())
        self.servers.set_limits(site.limits)
        self.upstream_sync.site = site
        self.upstream_sync.apply()

    def _on_upstreams_applied(self) -> None:
        self.publish_member()
        self.context.migrations.update()

    def _apply_restore(self) -> None:
        """Take into account that the store was restored from a copy."""
        self.duties.record_restore()
        for mirror in self.mirrors.followed():
            mirror.reset()
        self.quarantine_store.forget()
        self.publish_member()

    def _apply_evacuations(self) -> None:
        """Send nothing more to evacuated data centres, and tell the other routers."""
        self.request_handler.awaits_evacuations = not self.evacuations.is_known
        self.dispatcher.evacuated_zones = self.evacuations.zones
        self.publish_member()

    def _make_report(self) -> TrafficReport:
        return make_report(
            self.context,
            is_unfit_for_duties=self.is_unfit_for_duties,
            holds_duties=self.duties.is_held,
        )

    def publish_member(self) -> None:
        """Publish the state of this router to the others."""
        self.link.publish_member(
            self.site.version,
            self.config.active_since,
            is_ready=self.is_ready,
            is_leaving=self.request_handler.is_leaving,
            store_era=self.store.era,
            is_cut_off=self.context.reach.is_cut_off,
            evacuations=self.evacuations.marks(),
        )
