"""Simulated fleet of traffic exchanges, without a network, with the true totals."""

from __future__ import annotations

from collections import Counter, deque
from datetime import UTC, datetime
from functools import cache
from random import Random

from banyansail.config.fields import Address
from banyansail.fleet.entries import Entry, Member
from banyansail.traffic.exchange import TrafficExchange
from banyansail.traffic.fleet_traffic import FleetTraffic
from banyansail.traffic.report import TrafficReport, UpstreamWork
from banyansail.traffic.tally import Tally, TallyKey
from tests.fakes import FakeClock

STEP_S = 0.1
MOVE = TallyKey("engines", 7, True)


@cache
def make_member(zone):
    """Return a live router of a data centre."""
    since = datetime.fromtimestamp(0, UTC)
    return Member(zone, "r", Address("10.0.0.1", 1), 1, since, True, False)


class Router:
    """One process of a router, with the traffic that a test gives it."""

    def __init__(self, fleet, name, zone, incarnation):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.incarnation = incarnation
        self.used = 0.0
        self.rejected = 0.0
        self.running = 0
        self.bad_answers = 0
        self.is_unfit = False
        self.is_frozen = False
        self.is_urgent = False
        self.holds_duties = False
        self.speeds = {}
        self.sequence = Counter()
        self.received = 0
        self.sent = 0
        self.known = FleetTraffic(name, fleet.clock)
        self.exchange = TrafficExchange(
            name, zone, fleet.clock, self, self.known, self._report, self._on_sum
        )
        self.heard_totals = []

    def _report(self):
        return TrafficReport(
            {"w": self.used},
            {"engines": self.used * 10},
            {"e1": UpstreamWork(self.running, 100 * self.running)},
            {MOVE: Tally(0, self.bad_answers)} if self.bad_answers else {},
            self.is_unfit,
            self.is_urgent,
            self.holds_duties,
            speeds=dict(self.speeds),
            assigned_by_name={"depot/w": self.used * 3},
            rejected_by_workspace={"w": self.rejected} if self.rejected else {},
        )

    def _on_sum(self):
        self.heard_totals.append(self.heard_use())

    def heard_use(self):
        return self.known.used_by_workspace().get("w", 0.0)

    # The part of a FleetLink that the exchange uses.

    def live_members(self):
        return self.fleet.members_seen_by(self)

    def zone_members(self):
        members = self.live_members()
        return [name for name in members if members[name].zone == self.zone]

    def send_value(self, names, topic, value):
        self.sequence[topic] += 1
        entry = Entry(self.name, self.incarnation, topic, self.sequence[topic], value)
        self.relay(names, entry)
        return entry

    def relay(self, names, entry):
        for name in names:
            self.sent += 1
            self.fleet.send(self, name, entry)


class SimulatedFleet:
    """Routers of several data centres that exchange their traffic."""

    def __init__(self, zones=3, per_zone=5, loss=0.0, seed=1, router_type=Router):
        self.router_type = router_type
        self.clock = FakeClock()
        self.random = Random(seed)
        self.loss = loss
        self.router_by_name: dict[str, Router] = {}
        self.ended_use = 0.0  # of processes that were killed
        self.is_cut = lambda sender, receiver: False
        self._newest: dict[tuple, tuple[int, int]] = {}
        self._in_transit: deque = deque()
        self._leaves_membership_at: dict[str, float] = {}
        for zone in range(zones):
            for number in range(per_zone):
                self.start(f"r{zone}-{number}", f"z{zone}")

    def start(self, name, zone, incarnation=1):
        self.router_by_name[name] = self.router_type(self, name, zone, incarnation)

    def kill(self, name):
        """Kill a router; the others see it as a member for some seconds more."""
        router = self.router_by_name.pop(name)
        self.ended_use += router.used
        self._leaves_membership_at[name] = (self.now() + 15, router.zone)

    def restart(self, name):
        """Kill a router and start it again at once."""
        router = self.router_by_name[name]
        self.ended_use += router.used
        self.start(name, router.zone, router.incarnation + 1)

    def now(self):
        return self.clock.monotonic().total_seconds()

    def true_use(self):
        return self.ended_use + sum(
            router.used for router in self.router_by_name.values()
        )

    def foreign_use(self, name):
        return self.true_use() - self.router_by_name[name].used

    def members_seen_by(self, router):
        members = {
            name: make_member(other.zone) for name, other in self.router_by_name.items()
        }
        for name, (until, zone) in self._leaves_membership_at.items():
            if self.now() < until and name not in members:
                members[name] = make_member(zone)
        return members

    def send(self, sender, name, entry):
        if self.random.random() >= self.loss:
            self._in_transit.append((sender.name, name, entry))

    def run(self, seconds, use=None):
        """Run the fleet; `use` is called with each router at each step."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for router in list(self.router_by_name.values()):
                if use is not None:
                    use(router)
            for router in list(self.router_by_name.values()):
                if not router.is_frozen:
                    router.exchange.send_report(is_urgent=router.is_urgent)
                    router.exchange.send_sums()
            while self._in_transit:
                self._deliver(*self._in_transit.popleft())

    def _deliver(self, sender_name, name, entry):
        receiver = self.router_by_name.get(name)
        sender = self.router_by_name.get(sender_name)
        if receiver is None or receiver.is_frozen or sender is None:
            return
        if self.is_cut(sender, receiver):
            return
        receiver.received += 1
        key = (receiver.name, receiver.incarnation, entry.origin, entry.topic)
        order = (entry.incarnation, entry.sequence)
        if self._newest.get(key, (0, 0)) >= order:
            return
        self._newest[key] = order
        receiver.exchange.apply_entry(entry)


def spend(amount):
    """Return a use of the quota by each router at each step."""

    def use(router):
        router.used += amount

    return use
