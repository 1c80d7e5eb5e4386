"""Cost at the latency target: replicas that follow a load, against fixed ones.

The load of a day rises and falls, with bursts. Zones and single instances are taken
back, and starts are refused, as in `benchmarks.placement_cost`. A call is late if it
finds all room of the serving replicas taken. Run with
``python -m benchmarks.placement_load [SEEDS]``.
"""

from __future__ import annotations

import math
import sys
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from banyansail.commands.table import format_table
from banyansail.config.rules import InstanceClass, PlacementRule
from banyansail.placement.demand import PeakDemand
from banyansail.placement.planner import (
    InstancePool,
    Offer,
    plan_actions,
    replicas_needed,
)
from benchmarks.points import save_points
from benchmarks.rented import RentedInstances

DAYS = 3
STEP = timedelta(minutes=1)
STEP_H = STEP / timedelta(hours=1)
STEPS = DAYS * 24 * 60
START_STEPS = 3  # an instance is paid for this long before it serves
ROOM = 8.0  # calls that a replica takes at the latency target
LEAST = 3
FLOOR = 2
ZONE_SHARE = 0.34
ON_DEMAND_PRICE = 3.0
PRICE_BY_ZONE = {"glasgow": 0.8, "edinburgh": 1.0, "aberdeen": 1.1, "inverness": 1.3}
RISK_BY_ZONE = {"glasgow": 0.3, "edinburgh": 0.05, "aberdeen": 0.1, "inverness": 0.02}
ZONE_LOSS_PER_STEP = 1 / (2 * 24 * 60)
OFFERS = [
    *(
        Offer(zone, InstanceClass.RECLAIMABLE, price, RISK_BY_ZONE[zone])
        for zone, price in PRICE_BY_ZONE.items()
    ),
    *(
        Offer(zone, InstanceClass.ON_DEMAND, ON_DEMAND_PRICE, 0.0)
        for zone in PRICE_BY_ZONE
    ),
]


class StepClock:
    """Clock of a drive."""

    def __init__(self) -> None:
        self.elapsed = timedelta(0)

    def monotonic(self) -> timedelta:
        """Return the time since the start."""
        return self.elapsed


class FixedReplicas:
    """A number that somebody chose for good."""

    def __init__(self, count: int) -> None:
        self.count = count

    def replicas(self, load: float, clock: StepClock) -> int:
        """Return the number."""
        return self.count


class LoadOfTheMoment:
    """What the load needs now, as an earlier version of the project did."""

    def replicas(self, load: float, clock: StepClock) -> int:
        """Return the replicas for a load."""
        return max(LEAST, replicas_needed(load, ROOM))


class LoadOfLate:
    """What the load has needed of late, as the project does."""

    def __init__(self) -> None:
        self._demand: PeakDemand | None = None

    def replicas(self, load: float, clock: StepClock) -> int:
        """Return the replicas for the loads so far."""
        self._demand = self._demand or PeakDemand(clock)
        return self._demand.required_replicas(_rule(LEAST), load, ROOM)


@dataclass(slots=True)
class Outcome:
    """What a policy cost and how many calls were late."""

    cost: float = 0.0
    calls: float = 0.0
    late: float = 0.0
    starts: int = 0


def load_at(step: int, random: Random, burst: list[float]) -> float:
    """Return the calls in flight and waiting: a day's curve, noise and bursts."""
    hour = step * STEP_H % 24
    day = 20 + 60 * max(0.0, math.sin((hour - 6) / 14 * math.pi))
    if random.random() < 1 / 180:
        burst[0] = random.uniform(10, 40)
    burst[0] *= 0.93
    return max(1.0, (day + burst[0]) * random.uniform(0.85, 1.15))


def drive(policy: FixedReplicas | LoadOfTheMoment | LoadOfLate, seed: int) -> Outcome:
    """Drive a policy through the loads of a seed."""
    loads = Random(f"loads/{seed}")
    history = Random(f"history/{seed}")
    rented = RentedInstances(START_STEPS, Random(f"starts/{seed}"))
    clock = StepClock()
    outcome = Outcome()
    burst = [0.0]
    for step in range(STEPS):
        load = load_at(step, loads, burst)
        _take_back(rented, history)
        replicas = policy.replicas(load, clock)
        rule = _rule(replicas)
        for action in plan_actions(replicas, rule, OFFERS, rented.running()):
            rented.act(action, step)
        rented.pay(_price, STEP_H)
        _account(outcome, load, rented.serving(step), step)
        clock.elapsed += STEP
    outcome.cost = rented.cost
    outcome.starts = rented.starts
    return outcome


def _rule(replicas: int) -> PlacementRule:
    return PlacementRule("s", replicas, FLOOR, ZONE_SHARE)


def _take_back(rented: RentedInstances, history: Random) -> None:
    lost = {zone for zone in PRICE_BY_ZONE if history.random() < ZONE_LOSS_PER_STEP}
    draws = [history.random() for _ in range(100)]
    rented.take_back(lost, draws, lambda zone: RISK_BY_ZONE[zone] * STEP_H)


def _price(pool: InstancePool) -> float:
    is_safe = pool.instance_class is InstanceClass.ON_DEMAND
    return ON_DEMAND_PRICE if is_safe else PRICE_BY_ZONE[pool.zone]


def _account(outcome: Outcome, load: float, serving: int, step: int) -> None:
    if step > START_STEPS:
        outcome.calls += load
        outcome.late += max(0.0, load - serving * ROOM)


POLICIES = {
    "ours": LoadOfLate,
    "load of the moment": LoadOfTheMoment,
    "fixed at the peak": lambda: FixedReplicas(17),
    "fixed at the mean": lambda: FixedReplicas(8),
}


def main(seeds: int) -> None:
    """Print a table and keep the points."""
    rows = []
    points = {}
    for name, make in POLICIES.items():
        outcomes = [drive(make(), seed) for seed in range(seeds)]
        calls = sum(item.calls for item in outcomes)
        late = sum(item.late for item in outcomes) / calls
        cost = sum(item.cost for item in outcomes) / seeds
        starts = sum(item.starts for item in outcomes) / seeds
        points[name] = {"cost": cost, "late_share": late, "starts": starts}
        rows.append([name, f"{cost:.0f}", f"{late:.2%}", f"{starts:.0f}"])
    save_points("placement load", points)
    print(f"{DAYS} days, {seeds} seeds, room for {ROOM:.0f} calls a replica")
    print(format_table(["replicas", "cost", "calls late", "starts"], rows))


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 10)
