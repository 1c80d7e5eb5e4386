"""A gateway: the supervisor tree over its parts."""

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
from banyansail.gateway.move_keeper import MoveKeeper
from banyansail.gateway.peers import PeerTable
from banyansail.gateway.quota import QuotaBook
from banyansail.gateway.request_handler import RequestHandler
from banyansail.gateway.scaler import Scaler
from banyansail.gateway.store_probe import StoreProbe
from banyansail.gateway.tasks import add_tasks
from banyansail.gateway.traffic import own_traffic, take_traffic
from banyansail.gateway.upstream_table import DOCUMENT as UPSTREAMS_DOCUMENT
from banyansail.gateway.upstream_table import UpstreamTable
from banyansail.gateway.usage import SteadyTime, UsageCounter
from banyansail.gateway.usage_reporter import UsageReporter
from banyansail.log import log_event
from banyansail.platform.cloud import Cloud
from banyansail.platform.moves import KIND as MOVES_KIND
from banyansail.platform.store import Store
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

GATHER_TIME = timedelta(milliseconds=400)  # in which changes of upstreams come together
GATHER_TIME_PER_ROUTER = timedelta(milliseconds=13)  # each router's watch is a call
LONGEST_GATHER_TIME = timedelta(seconds=1)  # half of what a leaving upstream is owed
STOP_CHECK = timedelta(milliseconds=50)
STOP_MARGIN = timedelta(milliseconds=400)  # before the process is killed
BALANCER_NOTICE = timedelta(seconds=2.6)  # until it sends no new connections
BACKLOG = 512
CONFIG_DOCUMENT = "config"


class Gateway(Supervisor):
    """One gateway; starting and stopping it starts and stops all its parts.

    Parameters
    ----------
    settings : GatewaySettings
        Addresses and bounds.
    reactor : object
        Twisted's reactor.
    clock : Clock
        Source of time.
    random : Random
        Source of jitter and of draws.
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
        self.config = ConfigKeeper(self.clock, self._on_config)
        self._ports: list[Any] = []
        self._build_platform()
        self._build_state()
        self._build_servers()
        add_tasks(self)

    def _build_platform(self) -> None:
        settings = self.settings
        self.store = Store(self._reactor, self.clock, settings.store)
        self.probe = StoreProbe(self.store, ROUTERS_KIND, settings.name)
        self.cloud = Cloud(self._reactor, self.clock, settings.cloud, settings.name)
        self.config_mirror = Mirror(
            "config", self.store, self.clock, self.config.follow
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
            lambda mirror: self.moves.take_orders(mirror),
        )

    def _build_state(self) -> None:
        settings, clock = self.settings, self.clock
        self.fleet = FleetLink(
            settings,
            self._reactor,
            clock,
            self._random,
            self._on_news,
            self._answer_peer,
        )
        self.peers = PeerTable(settings.name, clock)
        self.dispatcher = Dispatcher(settings.zone, clock, self._random)
        self.quota = QuotaBook(clock, settings.quota_slack)
        usage = UsageCounter(SteadyTime(clock), settings.usage_window)
        self.reporter = UsageReporter(
            settings, clock, self.store, self.cloud, usage, self.peers
        )
        lease = self.reporter.lease
        self.moves = MoveKeeper(
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
            crashes=CrashGuard(clock),
            on_death=lambda value: self.fleet.publish(Topic.DEATHS, value, urgent=True),
        )

    def _build_servers(self) -> None:
        self.requests = RequestHandler(self.context)
        self._callers = GatewayFactory(self._reactor, self.requests.handle)
        self._readers = MetricsFactory(self._reactor, self._metrics_text)
        self._balancer = ReadyFactory(self._reactor, lambda: self.is_ready)

    @property
    def site(self) -> SiteConfig:
        """Return the configuration in force."""
        return self.config.site

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send callers."""
        return (
            not self.requests.is_leaving
            and self.site.version > 0
            and bool(self.dispatcher.service_by_name)
        )

    @property
    def is_unfit_for_duties(self) -> bool:
        """Whether this router leaves or does not reach the store."""
        return self.requests.is_leaving or self.probe.is_lost

    def startService(self) -> None:
        """Listen and start all tasks."""
        settings = self.settings
        self._publish_member()
        peer = settings.peer
        self._ports = [
            self._reactor.listenUDP(peer.port, self.fleet.protocol, peer.host)
        ]
        for address, factory in (
            (peer, self.fleet.server),
            (settings.listen, self._callers),
            (settings.ready, self._balancer),
            (settings.metrics, self._readers),
        ):
            port = self._reactor.listenTCP(address.port, factory, BACKLOG, address.host)
            self._ports.append(port)
        super().startService()

    async def stop_gracefully(self) -> None:
        """Leave the balancer, finish what is in progress, then stop."""
        began = self.clock.monotonic()
        self.requests.is_leaving = True
        self._publish_member()
        log_event("leaving", in_progress=self.requests.in_progress)
        await self.publish_traffic()  # others need not wait for its duties
        await self.reporter.release()
        await self._pause(BALANCER_NOTICE)
        self.requests.is_accepting = False
        limit = self.settings.grace - STOP_MARGIN
        while self.clock.monotonic() - began < limit:
            self._callers.close_idle()
            if not self.requests.in_progress and not self._callers.channels:
                break
            await self._pause(STOP_CHECK)
        self.stop_listening()
        log_event("stopped", in_progress=self.requests.in_progress)

    def stop_listening(self) -> None:
        """Take no more connections."""
        ports, self._ports = self._ports, []
        for port in ports:
            port.stopListening()

    def _pause(self, duration: timedelta) -> defer.Deferred[None]:
        return task.deferLater(self._reactor, duration.total_seconds())

    def _metrics_text(self) -> bytes:
        metrics = self.context.metrics
        metrics.set_config(self.site.version)
        metrics.set_in_progress(self.requests.in_progress)
        return metrics.text()

    def _on_config(self, site: SiteConfig) -> None:
        self.requests.site = site
        self._callers.set_idle_time(site.limits.idle_time)
        self._apply_upstreams()

    def _apply_upstreams(self) -> None:
        upstreams = self.upstream_table.upstreams()
        marks = self.upstream_table.own_marks(upstreams)
        self.fleet.publish(Topic.LEAVING, marks, urgent=True)
        self.upstream_table.log_changes(upstreams)
        self.dispatcher.apply_upstreams(upstreams, self.site)
        self.context.keep_pools({upstream.address for upstream in upstreams})
        self._publish_member()

    async def follow_upstreams(self) -> None:
        """Wait for changes of upstreams, and let more of them come together."""
        await self.upstream_table.mirror.follow()
        await self._pause(gather_time(len(self.peers.live_names())))

    async def drop_lapsed(self) -> None:
        """Drop upstreams that did not come back after an outage."""
        self.upstream_table.mirror.drop_lapsed()

    async def catch_up(self) -> None:
        """Fetch from other routers what the store did not tell."""
        for name, member in self.fleet.others().items():
            if member.rules_version > self.site.version:
                found = await self.fleet.fetch(member, CONFIG_DOCUMENT)
                if found is not None:
                    self.config.take_document(found, name)
            if self.upstream_table.mirror.at is None and member.is_ready:
                found = await self.fleet.fetch(member, UPSTREAMS_DOCUMENT)
                if found is not None:
                    self.upstream_table.seed(found, name)

    async def _answer_peer(self, call: PeerCall) -> PeerReply:
        match call:
            case FetchDocument(name) if name == CONFIG_DOCUMENT:
                return self.config.document() or EmptyReply()
            case FetchDocument(name) if name == UPSTREAMS_DOCUMENT:
                return self.upstream_table.document() or EmptyReply()
        return EmptyReply()

    async def join(self) -> None:
        """Make this router known in the store."""
        await self.fleet.join(self.store)

    async def push(self) -> None:
        """Pass news on."""
        self.fleet.push()

    async def exchange_digests(self) -> None:
        """Compare with other routers what was heard."""
        self.fleet.exchange()

    async def publish_traffic(self) -> None:
        """Tell others of this router and its traffic."""
        self._publish_member()
        self.fleet.publish(Topic.TRAFFIC, self._own_traffic())

    async def tell_short_use(self) -> None:
        """Tell others at once how a quota is used that is nearly used up."""
        if self.quota.has_short_use:
            self.quota.has_short_use = False
            names = self.peers.live_names()
            self.fleet.tell(names, Topic.TRAFFIC, self._own_traffic())

    def _own_traffic(self) -> bytes:
        is_unfit = self.is_unfit_for_duties
        return own_traffic(self.context, is_unfit_for_duties=is_unfit)

    def _on_news(self, entries: list[Entry]) -> None:
        for entry in entries:
            match entry.topic:
                case Topic.LEAVING:
                    if self.upstream_table.take_marks(entry):
                        self._apply_upstreams()
                case Topic.DEATHS:
                    self.context.crashes.hear(entry.value)
        take_traffic(self.context, entries)

    def _publish_member(self) -> None:
        self.fleet.publish_member(
            self.site.version,
            self.config.since,
            is_ready=self.is_ready,
            is_leaving=self.requests.is_leaving,
        )

    async def pump(self) -> None:
        """Give free places to waiting requests."""
        self.dispatcher.assign_waiting()

    async def report_usage(self) -> None:
        """Report usage, if this router may hold the duty."""
        if not self.is_unfit_for_duties:
            await self.reporter.report(list(self.site.workspace_by_name))

    async def scale(self) -> None:
        """Order replicas, unless this router leaves."""
        if not self.requests.is_leaving:
            await self.scaler.scale(self.site)


def gather_time(routers: int) -> timedelta:
    """Return how long to let changes of upstreams come together.

    Parameters
    ----------
    routers : int
        Live routers, which all pay a call for each time that they are told.
    """
    return min(LONGEST_GATHER_TIME, max(GATHER_TIME, GATHER_TIME_PER_ROUTER * routers))
