"""Router process: a supervisor tree that wires its components together."""

from __future__ import annotations

from contextlib import ExitStack
from random import Random
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from banyansail.clock import Clock, SystemClock
from banyansail.coordination.budget import CallBudget
from banyansail.coordination.client import PlatformClient
from banyansail.exceptions import WireError
from banyansail.fleet.datagrams import GossipProtocol
from banyansail.fleet.duties import Duties
from banyansail.fleet.gossiper import Gossiper
from banyansail.fleet.peer_calls import PeerCaller
from banyansail.fleet.view import FleetView
from banyansail.ledger.client import LedgerClient
from banyansail.metrics import Metrics
from banyansail.rollout.evidence import EvidenceRecorder
from banyansail.router.callers.caller_resource import CallerResource
from banyansail.router.callers.http_server import BoundedSite
from banyansail.router.callers.listeners import Listeners
from banyansail.router.control.evidence_exchange import EvidenceExchange
from banyansail.router.control.peer_service import PeerService
from banyansail.router.control.placements import PlacementController
from banyansail.router.control.rollouts import RolloutController
from banyansail.router.control.rules_keeper import RulesKeeper
from banyansail.router.exchanges.context import ExchangeContext
from banyansail.router.exchanges.handoff import StreamStore
from banyansail.router.exchanges.scheduler import Scheduler
from banyansail.router.lifecycle import Lifecycle, RouterState
from banyansail.router.report import (
    report_gossip,
    report_members,
    report_rules,
    report_upstreams,
)
from banyansail.router.supervisor import Supervisor
from banyansail.router.tasks import add_tasks
from banyansail.router.upstreams.catalog import Catalog
from banyansail.router.upstreams.health import HealthChecker
from banyansail.router.upstreams.load_prober import LoadProber
from banyansail.router.upstreams.registry import ExchangeRegistry
from banyansail.router.upstreams.upstream_signals import UpstreamSignals
from banyansail.router.upstreams.zone_latency import RegionZoneLatency
from banyansail.router.work import RouterWork
from banyansail.routing.dispatch import Dispatcher
from banyansail.routing.quarantine import Quarantine
from banyansail.upstreams.tls import UpstreamTlsPolicy
from banyansail.upstreams.upstream_clients import UpstreamClients
from banyansail.wire.message_auth import MessageAuthenticator

if TYPE_CHECKING:
    from banyansail.config.rules import RuleSet
    from banyansail.config.settings import Settings
    from banyansail.fleet.entries import Entry

PLATFORM_CALLS_PER_S = 60.0
PLATFORM_BURST = 120.0  # calls


class Router(Supervisor):
    """A router; starting or stopping it starts or stops all its components.

    Parameters
    ----------
    settings : Settings
        Addresses, zone and limits.
    reactor : object
        Twisted's reactor.
    clock : Clock
        Source of time.
    random : Random
        Source of jitter and random choices.
    """

    def __init__(
        self,
        settings: Settings,
        reactor: Any,
        clock: Clock | None = None,
        random: Random | None = None,
    ) -> None:
        super().__init__(reactor, random or Random())
        self.settings = settings
        self.clock = clock or SystemClock()
        self._resources = ExitStack()
        self.metrics = Metrics(settings.statsd)
        self._build_fleet()
        self._listeners = Listeners(settings, reactor, self.authenticator)
        self._build_platform()
        self._build_routing()
        self._build_exchanges()
        add_tasks(
            self,
            self.work,
            self.rules_keeper,
            self.catalog,
            self.rollouts,
            self.placements,
            self.prober,
        )

    def _build_fleet(self) -> None:
        settings = self.settings
        incarnation = int(self.clock.now().timestamp() * 1000)
        self.router_id = f"{settings.name}.{incarnation}"
        self.authenticator = MessageAuthenticator(settings.shared_key)
        self.view = FleetView(settings.name, incarnation, self.clock)
        self.gossiper = Gossiper(
            self.view, settings.zone, settings.peer, settings.peers, self.random
        )
        self.gossip = GossipProtocol(
            self.gossiper, self.authenticator, self.metrics, self._on_new_entries
        )
        self.duties = Duties(settings.name, settings.zone, self.gossiper)
        self.peers = self._resources.enter_context(
            PeerCaller(self.reactor, self.authenticator)
        )
        self.zone_latency = RegionZoneLatency(settings.zone, settings.region)

    def _build_platform(self) -> None:
        budget = CallBudget(PLATFORM_CALLS_PER_S, PLATFORM_BURST, self.clock)
        self.platform = self._resources.enter_context(
            PlatformClient(self.reactor, self.settings.platform, budget)
        )
        self.rules_keeper = RulesKeeper(
            self.settings.name,
            self.clock,
            self.platform,
            self.gossiper,
            self.peers,
            self.duties,
            self._apply_rules,
        )
        self.catalog = Catalog(
            self.settings.zone,
            self.platform,
            self.gossiper,
            self.peers,
            self.duties,
            self._apply_upstreams,
            # `signals` is created after the catalog.
            lambda notices: self.signals.report_leaving(notices),
        )
        self.peer_service = PeerService()
        self.ledger = self._resources.enter_context(
            LedgerClient(self.reactor, self.platform, self.clock, self.duties, self)
        )

    def _build_routing(self) -> None:
        self.dispatcher = Dispatcher(
            self.settings.zone, self.zone_latency, self.clock, self.random
        )
        self.scheduler = Scheduler(self.dispatcher, self.metrics)
        self.upstream_clients = self._resources.enter_context(
            UpstreamClients(self.reactor, UpstreamTlsPolicy(self.settings.upstream_ca))
        )
        self.quarantine = Quarantine(self.clock)
        self.registry = ExchangeRegistry()
        self.evidence = EvidenceRecorder()
        self._build_controllers()
        self.signals = UpstreamSignals(
            self.clock,
            self.gossiper,
            lambda: self.work.push_entries(),
            self.dispatcher,
            self.quarantine,
            self.registry,
            self.prober,
            self.zone_latency,
        )

    def _build_controllers(self) -> None:
        evidence_exchange = EvidenceExchange(
            self.settings.name,
            self.settings.zone,
            self.clock,
            self.view,
            self.gossiper,
            self.duties,
            self.evidence,
        )
        self.rollouts = RolloutController(
            self.settings.name,
            self.clock,
            self.platform,
            self.view,
            self.gossiper,
            self.duties,
            self.dispatcher,
            evidence_exchange,
        )
        self.placements = PlacementController(
            self.router_id,
            self.clock,
            self.platform,
            self.duties,
            self.dispatcher,
            self.upstream_clients,
        )
        self.prober = LoadProber(
            self.settings.name,
            self.clock,
            self.gossiper,
            self.dispatcher,
            self.upstream_clients,
        )

    def _build_exchanges(self) -> None:
        health = HealthChecker(
            self.upstream_clients,
            self.dispatcher,
            self.quarantine,
            self.registry,
            self.signals.report_crash,
        )
        self.streams = StreamStore(self.gossiper, self.peers, self.duties)
        self.context = ExchangeContext(
            reactor=self.reactor,
            clock=self.clock,
            random=self.random,
            metrics=self.metrics,
            scheduler=self.scheduler,
            upstream_clients=self.upstream_clients,
            health=health,
            quarantine=self.quarantine,
            registry=self.registry,
            ledger=self.ledger,
            streams=self.streams,
            evidence=self.evidence,
            rules=self.rules_keeper.rules,
        )
        self.lifecycle = Lifecycle(
            self.reactor, self.clock, self.streams, self.settings.stop_notice
        )
        self.work = RouterWork(
            self.settings,
            self.clock,
            self.lifecycle,
            self.rules_keeper,
            self.gossiper,
            self.gossip,
            self.signals,
            self.rollouts,
            self.scheduler,
        )
        self.peer_service.connect(
            self.ledger, self.rules_keeper, self.catalog, self.streams
        )
        resource = CallerResource(self.context, self.lifecycle, self.router_id)
        self.site = BoundedSite(resource, self.settings.max_connections)

    def startService(self) -> None:
        """Open the listening sockets and start all tasks."""
        self.work.record_start()
        self.work.publish_member()
        self._listeners.listen_for_peers(self.gossip, self.peer_service.handle)
        self._listeners.listen_for_callers_and_operators(self.site, self.status)
        super().startService()

    def stopService(self) -> defer.Deferred[Any]:
        """Close all sockets and stop all tasks without draining."""
        stopped = [super().stopService(), self._listeners.close()]
        self._resources.close()
        return defer.DeferredList(stopped, consumeErrors=True)

    async def stop_gracefully(self) -> None:
        """Publish that this router is leaving, drain its exchanges, then stop."""
        self.lifecycle.state = RouterState.LEAVING
        self.work.publish_member()
        await self.lifecycle.drain()
        await self.stopService()

    async def forward_operation(self, router: str, operation: Any) -> Any:
        """Send a ledger operation to the router that owns its shard."""
        member = self.gossiper.members().get(router)
        if member is None:
            raise WireError(f"router {router!r} is unknown")
        reply = await self.peers.call(member.peer, operation)
        return self.peer_service.check_result(reply)

    def status(self) -> dict[str, Any]:
        """Return the status, for operators and tests."""
        return {
            "name": self.settings.name,
            "state": self.lifecycle.state.value,
            **report_rules(self.rules_keeper),
            "in_progress": self.lifecycle.in_progress,
            "platform_calls": self.platform.calls,
            "ledger_writes": self.ledger.writes,
            **report_gossip(self.gossip),
            "members": report_members(self.gossiper, self.view),
            "upstreams": report_upstreams(self.dispatcher, self.clock.monotonic()),
        }

    def _on_new_entries(self, entries: list[Entry]) -> None:
        self.signals.receive(entries)
        self.scheduler.assign_waiting()

    def _apply_rules(self, rules: RuleSet) -> None:
        self.context.rules = rules
        self.dispatcher.apply_rules(rules)
        self.catalog.apply_rules(rules)
        self.rollouts.apply_rules(rules)
        self.placements.apply_rules(rules)
        self.work.check_ready()
        self.work.publish_member()
        self.work.push_entries()
        self.scheduler.assign_waiting()

    def _apply_upstreams(self, rule_by_name: dict[str, Any]) -> None:
        self.dispatcher.apply_upstreams(rule_by_name)
        self.upstream_clients.apply(rule_by_name)
        self.scheduler.assign_waiting()
