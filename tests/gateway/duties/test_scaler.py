from __future__ import annotations

from datetime import timedelta
from random import Random

from banyansail.config.fields import Address
from banyansail.exceptions import PlatformUnavailableError
from banyansail.gateway.decisions.queue.dispatch import Dispatcher
from banyansail.gateway.duties.scaler import REFUSAL_BACKOFF, Scaler
from banyansail.traffic.fleet_traffic import FleetTraffic
from tests.fakes import FakeClock, run_now
from tests.gateway.builders import SCALING, site, upstream

ZONES = list(SCALING.price_by_zone)


class FakeCloud:
    """Records orders; answers with `status`, or fails if `is_down`."""

    def __init__(self) -> None:
        self.orders: list[tuple[str, bool, int]] = []
        self.status = 200
        self.is_down = False

    async def order_replicas(
        self, service, zone, wanted, fencing_token, *, reclaimable
    ):
        if self.is_down:
            raise PlatformUnavailableError("down")
        self.orders.append((zone, reclaimable, wanted))
        return self.status


class FakeLease:
    def __init__(self) -> None:
        self.is_held = True

    def fencing_token(self):
        return 1 if self.is_held else None


class Fleet:
    """A scaler and the engines that the test announces to it."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.cloud = FakeCloud()
        self.lease = FakeLease()
        self.dispatcher = Dispatcher("a", self.clock, Random(1))
        fleet = FleetTraffic("r", self.clock)
        self.scaler = Scaler(self.clock, self.cloud, self.lease, self.dispatcher, fleet)
        self.site = site()

    def announce(self, on_demand=0, reclaimable=0):
        engines = [
            upstream(
                f"{'s' if index < reclaimable else 'd'}{index}",
                "engines",
                zone=ZONES[index % len(ZONES)],
                address=Address("10.0.0.1", 2000 + index),
                is_reclaimable=index < reclaimable,
            )
            for index in range(reclaimable + on_demand)
        ]
        self.dispatcher.apply_upstreams(engines, self.site)

    def scale(self, seconds=1):
        for _ in range(seconds):
            self.clock.advance(1)
            run_now(self.scaler.scale(self.site))
        orders, self.cloud.orders = self.cloud.orders, []
        return orders


def on_demand_orders(orders):
    """Return the latest order of on-demand replicas for each data centre."""
    return {zone: wanted for zone, reclaimable, wanted in orders if not reclaimable}


def test_the_first_replicas_stay_while_the_load_is_not_known():
    fleet = Fleet()
    fleet.announce(on_demand=5)
    first = fleet.scale(3)
    assert [order for order in first if not order[1]] == []
    room = SCALING.maximum * len(ZONES) - 5
    assert sum(wanted for _, reclaimable, wanted in first if reclaimable) == room
    # Four reclaimable engines replace four of the five, and eight replace all.
    fleet.announce(on_demand=4, reclaimable=4)
    assert on_demand_orders(fleet.scale(3)) == {"a": 0, "c": 0, "d": 0}
    fleet.announce(on_demand=2, reclaimable=8)
    assert on_demand_orders(fleet.scale(3)) == {"b": 0}


def test_an_order_is_sent_once():
    fleet = Fleet()
    fleet.announce(on_demand=5)
    assert fleet.scale()
    assert fleet.scale() == []


def test_a_refused_order_waits():
    fleet = Fleet()
    fleet.announce(on_demand=5)
    fleet.cloud.status = 409
    refused = len(fleet.scale())
    assert refused
    assert not [order for order in fleet.scale(2) if order[1]]
    fleet.cloud.status = 200
    seconds = int(REFUSAL_BACKOFF / timedelta(seconds=1)) + 1
    assert [order for order in fleet.scale(seconds) if order[1]]


def test_only_the_lease_holder_orders():
    fleet = Fleet()
    fleet.announce(on_demand=5)
    fleet.lease.is_held = False
    assert fleet.scale(5) == []


def test_a_failed_order_is_sent_again():
    fleet = Fleet()
    fleet.announce(on_demand=5)
    fleet.cloud.is_down = True
    assert fleet.scale(2) == []
    fleet.cloud.is_down = False
    assert fleet.scale()


def test_an_evacuated_data_centre_counts_as_having_no_replica_that_serves():
    """Guards against a load that is left to replicas that get no requests."""
    fleet = Fleet()
    fleet.announce(on_demand=4, reclaimable=4)
    served = fleet.scaler._replicas_by_zone(fleet.site.service_by_name["engines"])
    assert set(served) == set(ZONES)
    fleet.dispatcher.evacuated_zones = frozenset({"b"})
    served = fleet.scaler._replicas_by_zone(fleet.site.service_by_name["engines"])
    assert set(served) == set(ZONES) - {"b"}


def test_replicas_that_were_measured_as_slow_raise_the_need():
    """Guards against orders by number alone, when replicas run at half of the speed."""
    needs = {}
    for is_uneven in (False, True):
        fleet = Fleet()
        fleet.dispatcher.is_uneven = is_uneven
        fleet.announce(reclaimable=8)
        for load in fleet.dispatcher.loads():
            load.in_flight = 7
            load.speed = 0.5
        fleet.scale(10)
        needs[is_uneven] = fleet.scaler._count_engines_needed(
            fleet.site.service_by_name["engines"]
        )
    assert 2 * needs[False] - 1 <= needs[True] <= 2 * needs[False]
