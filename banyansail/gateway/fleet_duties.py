"""What one router at a time does for the fleet: usage reports, replicas and moves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.gateway.duties.scaler import Scaler
from banyansail.gateway.duties.usage import SteadyTime, UsageCounter
from banyansail.gateway.duties.usage_exchange import UsageExchange
from banyansail.gateway.duties.usage_reporter import UsageReporter
from banyansail.gateway.moves.controller import MoveController
from banyansail.gateway.moves.move import ExposureBound

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.config.gateway_settings import GatewaySettings
    from banyansail.gateway.decisions.queue.dispatch import Dispatcher
    from banyansail.gateway.duties.duty_lease import DutyLease
    from banyansail.gateway.sharing.fleet_link import FleetLink
    from banyansail.platform.cloud import CloudClient
    from banyansail.platform.store import StoreClient
    from banyansail.traffic.fleet_traffic import FleetTraffic


class FleetDuties:
    """The duties of the fleet, which share one lease.

    Parameters
    ----------
    settings : GatewaySettings
        Windows of usage, the lease and the bounds of moves.
    clock : Clock
        Source of time.
    store : StoreClient
        Holds the lease, the reports and the states of moves.
    cloud : CloudClient
        Takes the reports and the orders of replicas.
    link : FleetLink
        Other routers, whose usage is reported too.
    dispatcher : Dispatcher
        Upstreams and their load.
    fleet : FleetTraffic
        Traffic of all routers.
    """

    __slots__ = ("lease", "moves", "reporter", "scaler", "usage", "usage_exchange")

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        store: StoreClient,
        cloud: CloudClient,
        link: FleetLink,
        dispatcher: Dispatcher,
        fleet: FleetTraffic,
    ) -> None:
        self.usage = UsageCounter(SteadyTime(clock), settings.usage_window)
        self.reporter = UsageReporter(settings, clock, store, cloud, self.usage, fleet)
        self.usage_exchange = UsageExchange(
            settings.name, clock, link, self.usage, fleet, self.reporter
        )
        self.lease: DutyLease = self.reporter.lease
        exposure = ExposureBound(settings.expose_share, settings.expose_slack)
        self.moves = MoveController(clock, store, self.lease, dispatcher, exposure)
        self.scaler = Scaler(clock, cloud, self.lease, dispatcher, fleet)

    @property
    def is_held(self) -> bool:
        """Whether this router holds the lease."""
        return self.lease.fencing_token() is not None

    def record_restore(self) -> None:
        """Take into account that the store was restored from a copy."""
        self.reporter.record_restore()
        self.moves.record_restore()
