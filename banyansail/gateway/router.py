"""A gateway: the supervisor tree over its parts."""

from __future__ import annotations

import json
from dataclasses import replace
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, task

from banyansail.clock import Clock, SystemClock
from banyansail.config.fields import Address
from banyansail.exceptions import CallError, WireError
from banyansail.fleet.datagrams import GossipProtocol
from banyansail.fleet.entries import Entry, Member, Topic
from banyansail.fleet.gossiper import Gossiper
from banyansail.fleet.peer_calls import PeerCaller, PeerServerFactory
from banyansail.fleet.view import FleetView
from banyansail.gateway.context import GatewayContext, quota_cost
from banyansail.gateway.crash_guard import CrashGuard
from banyansail.gateway.dispatch import Dispatcher
from banyansail.gateway.exchange import Exchange
from banyansail.gateway.ingress import (
    NOT_CONFIGURED,
    STOPPING,
    GatewayFactory,
    GatewayRequest,
    HttpPort,
    ReadyFactory,
)
from banyansail.gateway.messages import CallerCall, Cause, Rejection
from banyansail.gateway.metrics import MetricsFactory
from banyansail.gateway.mirror import Mirror
from banyansail.gateway.move_keeper import MoveKeeper
from banyansail.gateway.peers import PeerTable
from banyansail.gateway.quota import QuotaBook
from banyansail.gateway.scaler import Scaler
from banyansail.gateway.site import Route, SiteConfig, Workspace
from banyansail.gateway.upstream import Upstream
from banyansail.gateway.usage import SteadyTime, UsageCounter
from banyansail.gateway.usage_reporter import UsageReporter
from banyansail.log import log_decision, log_event
from banyansail.metrics import Metrics
from banyansail.platform.calls import decode_call
from banyansail.platform.cloud import Cloud
from banyansail.platform.moves import KIND as MOVES_KIND
from banyansail.platform.site import decode_config, decode_upstream
from banyansail.platform.store import Store, StoredObject
from banyansail.router.supervisor import Supervisor
from banyansail.wire.call_codec import (
    Document,
    FetchDocument,
    Nothing,
    PeerCall,
    PeerReply,
)
from banyansail.wire.gossip_codec import (
    decode_leaving,
    encode_leaving,
    encode_member,
)
from banyansail.wire.seal import Seal
from banyansail.wire.traffic_codec import Traffic, UpstreamWork, encode_traffic

if TYPE_CHECKING:
    from banyansail.config.gateway_settings import GatewaySettings

PUSH_INTERVAL = timedelta(milliseconds=200)
TRAFFIC_INTERVAL = timedelta(milliseconds=400)
SHORT_USE_INTERVAL = timedelta(milliseconds=100)
MOST_TOLD = 24  # routers that are told directly
EXCHANGE_INTERVAL = timedelta(seconds=1)
PUMP_INTERVAL = timedelta(milliseconds=50)
FOLLOW_PAUSE = timedelta(milliseconds=20)
FOLLOW_BACKOFF = timedelta(milliseconds=500)  # news is owed soon after an outage
CATCH_UP_INTERVAL = timedelta(milliseconds=200)
LAPSE_INTERVAL = timedelta(milliseconds=200)
DUTY_INTERVAL = timedelta(seconds=1)
MOVE_INTERVAL = timedelta(milliseconds=300)
JOIN_INTERVAL = timedelta(seconds=5)
STOP_CHECK = timedelta(milliseconds=50)
STOP_MARGIN = timedelta(milliseconds=400)  # before the process is killed
BALANCER_NOTICE = timedelta(seconds=2.6)  # until it sends no new connections
BACKLOG = 512
CONFIG_DOCUMENT = "config"
UPSTREAMS_DOCUMENT = "upstreams"
ROUTERS_KIND = "routers"


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
        self.site = SiteConfig()
        self.is_leaving = False
        self._takes_requests = True
        self._exchanges: set[Exchange] = set()
        self._ports: list[Any] = []
        self._config_text = ""
        self._leaving_marks: set[str] = set()
        self._build_fleet()
        self._build_platform()
        self._build_state()
        self._build_duties()
        self._add_tasks()

    def _build_fleet(self) -> None:
        settings = self.settings
        incarnation = int(self.clock.now().timestamp() * 1000)
        seal = Seal(settings.shared_key)
        self.view = FleetView(settings.name, incarnation, self.clock)
        seeds = [Address(host, settings.peer.port) for host in settings.seeds]
        self.gossiper = Gossiper(
            self.view, settings.zone, settings.peer, seeds, self._random
        )
        self.gossip = GossipProtocol(self.gossiper, seal, Metrics(None), self._on_news)
        self.peer_calls = PeerCaller(self._reactor, seal)
        self._peer_server = PeerServerFactory(seal, self._answer_peer)
        self.peers = PeerTable(settings.name, self.clock)

    def _build_state(self) -> None:
        settings = self.settings
        self.dispatcher = Dispatcher(settings.zone, self.clock, self._random)
        self.quota = QuotaBook(self.clock)
        self.crashes = CrashGuard(self.clock)
        self.usage = UsageCounter(SteadyTime(self.clock), settings.usage_window)
        self.reporter = UsageReporter(
            settings, self.clock, self.store, self.cloud, self.usage, self.peers
        )
        self.moves = MoveKeeper(
            self.clock, self.store, self.reporter.lease, self.dispatcher
        )
        self.context = GatewayContext(
            self._reactor,
            self.clock,
            self._random,
            settings,
            self.dispatcher,
            self.quota,
            self.usage,
            self.peers,
            self.moves,
            self.crashes,
            self._tell_deaths,
        )
        self._callers = GatewayFactory(self._reactor, self._handle)
        self._readers = MetricsFactory(self._reactor, self._metrics_text)
        self._balancer = ReadyFactory(self._reactor, lambda: self.is_ready)

    def _build_platform(self) -> None:
        settings = self.settings
        self.store = Store(self._reactor, self.clock, settings.store)
        self.cloud = Cloud(self._reactor, self.clock, settings.cloud, settings.name)
        self.config_mirror = Mirror(
            "config", self.store, self.clock, self._on_config_objects
        )
        self.upstream_mirror = Mirror(
            "servers",
            self.store,
            self.clock,
            self._on_upstream_objects,
            keeps_lapsed=True,
        )
        self.move_mirror = Mirror(
            MOVES_KIND,
            self.store,
            self.clock,
            lambda mirror: self.moves.take_orders(mirror),
        )

    def _build_duties(self) -> None:
        self.scaler = Scaler(
            self.clock, self.cloud, self.reporter.lease, self.dispatcher, self.peers
        )

    def _add_tasks(self) -> None:
        self.add_task("gossip.push", self._push, PUSH_INTERVAL)
        self.add_task("gossip.traffic", self._publish_traffic, TRAFFIC_INTERVAL)
        self.add_task("gossip.short", self._tell_short_use, SHORT_USE_INTERVAL)
        self.add_task("gossip.exchange", self._exchange_digests, EXCHANGE_INTERVAL)
        for mirror in (self.config_mirror, self.upstream_mirror, self.move_mirror):
            self.add_task(
                f"{mirror.kind}.follow", mirror.follow, FOLLOW_PAUSE, FOLLOW_BACKOFF
            )
        self.add_task("config.catch_up", self._catch_up, CATCH_UP_INTERVAL)
        self.add_task("upstreams.lapse", self._drop_lapsed, LAPSE_INTERVAL)
        self.add_task("pump", self._pump, PUMP_INTERVAL)
        self.add_task("duties.usage", self._report_usage, DUTY_INTERVAL)
        self.add_task("duties.replicas", self._scale, DUTY_INTERVAL)
        self.add_task("moves", self._settle_moves, MOVE_INTERVAL)
        self.add_task("join", self._join, JOIN_INTERVAL)

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send callers."""
        return (
            not self.is_leaving
            and self.site.version > 0
            and bool(self.dispatcher.service_by_name)
        )

    def startService(self) -> None:
        """Listen and start all tasks."""
        settings = self.settings
        listen = self._reactor.listenTCP
        self._publish_member()
        self._ports = [
            self._reactor.listenUDP(
                settings.peer.port, self.gossip, interface=settings.peer.host
            ),
            listen(settings.peer.port, self._peer_server, interface=settings.peer.host),
            listen(settings.listen.port, self._callers, BACKLOG, settings.listen.host),
            listen(settings.ready.port, self._balancer, BACKLOG, settings.ready.host),
            listen(
                settings.metrics.port, self._readers, BACKLOG, settings.metrics.host
            ),
        ]
        super().startService()

    async def stop_gracefully(self) -> None:
        """Leave the balancer, finish what is in progress, then stop."""
        self.is_leaving = True
        self._publish_member()
        began = self.clock.monotonic()
        log_event("leaving", in_progress=len(self._exchanges))
        await self.reporter.release()
        await self._pause(BALANCER_NOTICE)
        limit = self.settings.grace - STOP_MARGIN
        self._takes_requests = False
        while self.clock.monotonic() - began < limit:
            self._callers.close_idle()
            if not self._exchanges and not self._callers.channels:
                break
            await self._pause(STOP_CHECK)
        for port in self._ports:
            port.stopListening()
        log_event("stopped", in_progress=len(self._exchanges))

    def _metrics_text(self) -> bytes:
        metrics = self.context.metrics
        metrics.set_config(self.site.version)
        metrics.set_in_progress(len(self._exchanges))
        return metrics.text()

    def _pause(self, duration: timedelta) -> defer.Deferred[None]:
        return task.deferLater(self._reactor, duration.total_seconds())

    # Requests

    def _handle(self, request: GatewayRequest) -> None:
        port = HttpPort(request, lambda: self.is_leaving)
        gone = request.notifyFinish()
        gone.addErrback(lambda failure: None)
        headers = list(request.requestHeaders.getAllRawHeaders())
        flat = [(name, value) for name, values in headers for value in values]
        try:
            call = decode_call(
                request.method, request.uri, flat, request.content.getvalue()
            )
        except CallError as error:
            port.reject(Rejection(400, Cause.BAD_REQUEST, error.message))
            return
        admitted = self._admit(call)
        if isinstance(admitted, Rejection):
            self.context.metrics.count_answer("", admitted.cause.value)
            log_decision(
                "reject",
                admitted.detail,
                request=call.attempt_id,
                status=admitted.status,
                cause=admitted.cause.value,
                config=self.site.version,
            )
            port.reject(admitted)
            return
        route, workspace = admitted
        service = self._draw_service(route)
        exchange = Exchange(self.context, port, call, route, service, workspace)
        self._exchanges.add(exchange)
        gone.addCallbacks(lambda _: None, lambda _: None)
        request.notifyFinish().addErrback(lambda failure: exchange.abandon())
        exchange.start().addBoth(lambda _: self._exchanges.discard(exchange))

    def _admit(self, call: CallerCall) -> tuple[Route, Workspace | None] | Rejection:
        site = self.site
        if site.version == 0:
            return NOT_CONFIGURED
        if not self._takes_requests:
            return STOPPING
        route = site.match(call.host, call.path)
        if route is None:
            text = f"no route for {call.host}{call.path}"
            return Rejection(404, Cause.NO_ROUTE, text)
        pause = self.crashes.refused_for(call.fingerprint)
        if pause is not None:
            text = "the request has crashed several upstreams"
            return Rejection(500, Cause.CRASHES_UPSTREAMS, text)
        workspace = None
        if site.has_workspaces and not route.is_open:
            workspace = site.workspace_by_key.get(call.key)
            if workspace is None:
                return Rejection(401, Cause.UNKNOWN_KEY, "the key is not known")
            wait = self.quota.charge(workspace, quota_cost(workspace, call))
            if wait is not None:
                text = f"workspace {workspace.name} is over its quota"
                return Rejection(429, Cause.OVER_QUOTA, text, wait)
        return route, workspace

    def _draw_service(self, route: Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        return self._random.choices(route.targets, weights)[0].service

    # Configuration and upstreams

    def _on_config_objects(self, mirror: Mirror) -> None:
        stored = mirror.object_by_name.get("main")
        if stored is not None:
            self._take_config(stored.spec, "store")

    def _take_config(self, body: Any, source: str) -> None:
        try:
            site = decode_config(body)
        except WireError as error:
            log_event("config_unreadable", error=error.message, source=source)
            return
        if site.version <= self.site.version:
            return
        self.site = site
        self._config_text = json.dumps(body)
        log_event("config_in_force", version=site.version, source=source)
        self._callers.set_idle_time(site.limits.idle_time)
        self._apply_upstreams()
        self._publish_member()
        self._push_now()

    def _on_upstream_objects(self, mirror: Mirror) -> None:
        self._apply_upstreams()

    def _apply_upstreams(self) -> None:
        upstreams = []
        for stored in self.upstream_mirror.object_by_name.values():
            try:
                upstreams.append(decode_upstream(stored.name, stored.spec))
            except WireError as error:
                log_event("upstream_unreadable", error=error.message)
        upstreams = [self._with_marks(upstream) for upstream in upstreams]
        self._tell_leaving(upstreams)
        self.dispatcher.apply_upstreams(upstreams, self.site)
        self.context.keep_pools({upstream.address for upstream in upstreams})

    def _with_marks(self, upstream: Upstream) -> Upstream:
        """Take an upstream for leaving once any router has heard that it is."""
        if upstream.is_leaving or _mark_of(upstream) not in self._leaving_marks:
            return upstream
        return replace(upstream, is_leaving=True)

    def _tell_leaving(self, upstreams: list[Upstream]) -> None:
        marks = {
            _mark_of(upstream): timedelta(0)
            for upstream in upstreams
            if upstream.is_leaving
        }
        self._leaving_marks |= marks.keys()
        if self.gossiper.publish(Topic.LEAVING, encode_leaving(marks)):
            self._push_now()

    def _tell_deaths(self, value: bytes) -> None:
        self.gossiper.publish(Topic.DEATHS, value)
        self._push_now()

    def _take_leaving(self, entry: Entry) -> None:
        try:
            marks = decode_leaving(entry.value).keys()
        except WireError as error:
            log_event("marks_unreadable", origin=entry.origin, error=error.message)
            return
        if marks - self._leaving_marks:
            log_event("leaving_heard", origin=entry.origin, upstreams=sorted(marks))
            self._leaving_marks |= marks
            self._apply_upstreams()

    async def _drop_lapsed(self) -> None:
        self.upstream_mirror.drop_lapsed()

    async def _catch_up(self) -> None:
        """Fetch from other routers what the store did not tell."""
        for name, member in self.gossiper.live_members().items():
            if name == self.settings.name:
                continue
            if member.rules_version > self.site.version:
                reply = await self._fetch(member, CONFIG_DOCUMENT)
                if reply is not None:
                    self._take_config(json.loads(reply.text), name)
            if self.upstream_mirror.at is None and member.is_ready:
                reply = await self._fetch(member, UPSTREAMS_DOCUMENT)
                if reply is not None:
                    self._seed_upstreams(json.loads(reply.text), name)

    async def _fetch(self, member: Member, document: str) -> Document | None:
        call = FetchDocument(document, 0)
        try:
            reply = await self.peer_calls.call(member.peer, call)
        except WireError as error:
            log_event("peer_lost", peer=str(member.peer), error=error.message)
            return None
        return reply if isinstance(reply, Document) else None

    def _seed_upstreams(self, specs: dict[str, Any], source: str) -> None:
        objects = [StoredObject(name, 0, spec) for name, spec in specs.items()]
        if not self.upstream_mirror.object_by_name:
            log_event("upstreams_from_peer", peer=source, count=len(objects))
            self.upstream_mirror.seed(objects)

    async def _answer_peer(self, call: PeerCall) -> PeerReply:
        match call:
            case FetchDocument(name) if name == CONFIG_DOCUMENT and self._config_text:
                return Document(self.site.version, self._config_text)
            case FetchDocument(name) if name == UPSTREAMS_DOCUMENT:
                mirror = self.upstream_mirror
                if mirror.at is not None:
                    specs = {
                        stored.name: stored.spec
                        for stored in mirror.object_by_name.values()
                    }
                    return Document(mirror.at, json.dumps(specs))
        return Nothing()

    async def _join(self) -> None:
        """Make this router known in the store, and learn of the others there."""
        if self._is_joined:
            return
        found = {item.name: item for item in (await self.store.list(ROUTERS_KIND))[1]}
        peer = str(self.settings.peer)
        spec = {"peer": peer, "zone": self.settings.zone}
        own = found.pop(self.settings.name, None)
        if own is None:
            await self.store.create(ROUTERS_KIND, self.settings.name, spec)
        elif own.spec != spec:
            await self.store.replace(
                ROUTERS_KIND, self.settings.name, spec, own.revision
            )
        self._is_joined = True

    _is_joined = False

    # Gossip

    async def _push(self) -> None:
        self._push_now()

    def _push_now(self) -> None:
        self.gossip.send(self.gossiper.push())

    async def _exchange_digests(self) -> None:
        self.gossiper.forget_old()
        self.gossip.send(self.gossiper.exchange())

    async def _publish_traffic(self) -> None:
        self.gossiper.publish(Topic.TRAFFIC, self._encoded_traffic())

    async def _tell_short_use(self) -> None:
        """Tell others at once how a quota is used that is nearly used up."""
        if not self.quota.has_short_use:
            return
        self.quota.has_short_use = False
        names = [name for name in self.peers.live_names() if name != self.settings.name]
        if len(names) > MOST_TOLD:
            names = self._random.sample(names, MOST_TOLD)
        self.gossiper.send_to(names, Topic.TRAFFIC, self._encoded_traffic())
        self._push_now()

    def _encoded_traffic(self) -> bytes:
        work = {
            load.upstream.id: UpstreamWork(load.in_flight, max(0, load.reading))
            for state in self.dispatcher.service_by_name.values()
            for load in state.load_by_id.values()
            if load.in_flight
        }
        newest = sorted(self.usage.own)[-3:]
        traffic = Traffic(
            dict(self.quota.used_by_workspace),
            {window: self.usage.own[window] for window in newest},
            work,
            {
                name: state.read_total
                for name, state in self.dispatcher.service_by_name.items()
                if state.read_total
            },
            dict(self.moves.own),
        )
        return encode_traffic(traffic)

    def _on_news(self, entries: list[Entry]) -> None:
        for entry in entries:
            if entry.topic is Topic.LEAVING:
                self._take_leaving(entry)
            if entry.topic is Topic.DEATHS:
                self.crashes.hear(entry.value)
            traffic = self.peers.take(entry)
            if traffic is None:
                continue
            origin = f"{entry.origin}.{entry.incarnation}"
            self.quota.hear(entry.origin, entry.incarnation, traffic.used_by_workspace)
            self.usage.hear(origin, traffic.counts)
            self.moves.hear(origin, traffic.tallies)
        work = self.peers.work_by_upstream()
        for state in self.dispatcher.service_by_name.values():
            for load in state.load_by_id.values():
                load.peer_in_flight, load.peer_reading = work.get(
                    load.upstream.id, (0, 0)
                )

    def _publish_member(self) -> None:
        settings = self.settings
        member = Member(
            settings.zone,
            settings.region,
            settings.peer,
            self.site.version,
            self.clock.now(),
            self.is_ready,
            self.is_leaving,
        )
        self.gossiper.publish(Topic.MEMBER, encode_member(member))

    async def _pump(self) -> None:
        self.dispatcher.pump()

    async def _report_usage(self) -> None:
        if not self.is_leaving:
            await self.reporter.report(list(self.site.workspace_by_name))

    async def _settle_moves(self) -> None:
        await self.moves.settle()

    async def _scale(self) -> None:
        if not self.is_leaving:
            await self.scaler.scale(self.site)


def _mark_of(upstream: Upstream) -> str:
    """Return the name of one start of an upstream in leaving marks."""
    return f"{upstream.id}@{upstream.started_at}"
