"""Cost at the latency target: replicas that follow the load, compared with fixed ones.

The load follows a daily curve with bursts. Zones and single instances are reclaimed,
and starts are refused, as in `benchmarks.placement_cost`. A call is late if the
capacity of the serving replicas is exhausted. Run with
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
from benchmarks.simulated_instances import SimulatedInstances

DAYS = 3
STEP = timedelta(minutes=1)
STEP_H = STEP / timedelta(hours=1)
STEPS = DAYS * 24 * 60
START_STEPS = 3  # for which an instance is paid before it serves
REPLICA_CAPACITY = 8.0  # calls in flight at the latency target
MIN_REPLICAS = 3
FLOOR = 2
ZONE_SHARE = 0.34
ON_DEMAND_PRICE = 3.0
PRICE_BY_ZONE = {"glasgow": 0.8, "edinburgh": 1.0, "aberdeen": 1.1, "inverness": 1.3}
RECLAIMS_PER_HOUR_BY_ZONE = {
    "glasgow": 0.3,
    "edinburgh": 0.05,
    "aberdeen": 0.1,
    "inverness": 0.02,
}
ZONE_LOSS_PROBABILITY = 1 / (2 * 24 * 60)  # per step
OFFERS = [
    *(
        Offer(zone, InstanceClass.RECLAIMABLE, price, RECLAIMS_PER_HOUR_BY_ZONE[zone])
        for zone, price in PRICE_BY_ZONE.items()
    ),
    *(
        Offer(zone, InstanceClass.ON_DEMAND, ON_DEMAND_PRICE, 0.0)
        for zone in PRICE_BY_ZONE
    ),
]


class SimulatedClock:
    """Clock of a simulation."""

    def __init__(self) -> None:
        self.elapsed = timedelta(0)

    def monotonic(self) -> timedelta:
        """Return the time since the start."""
        return self.elapsed


class FixedReplicasPolicy:
    """Policy of a constant number of replicas."""

    def __init__(self, count: int) -> None:
        self.count = count

    def replicas(self, load: float, clock: SimulatedClock) -> int:
        """Return the constant number."""
        return self.count


class CurrentLoadPolicy:
    """Policy that follows the current load, as the project did earlier."""

    def replicas(self, load: float, clock: SimulatedClock) -> int:
        """Return the replicas for a load."""
        return max(MIN_REPLICAS, replicas_needed(load, REPLICA_CAPACITY))


class RecentPeakPolicy:
    """Policy that follows the recent peak load, as the project does."""

    def __init__(self) -> None:
        self._demand: PeakDemand | None = None

    def replicas(self, load: float, clock: SimulatedClock) -> int:
        """Return the replicas for the loads so far."""
        self._demand = self._demand or PeakDemand(clock)
        return self._demand.required_replicas(
            _rule(MIN_REPLICAS), load, REPLICA_CAPACITY
        )


@dataclass(slots=True)
class Outcome:
    """Cost of a policy and the number of late calls."""

    cost: float = 0.0
    calls: float = 0.0
    late_calls: float = 0.0
    starts: int = 0


def load_at(step: int, random: Random, burst: list[float]) -> float:
    """Return the calls in flight and waiting: a daily curve, noise and bursts.

    `burst` holds one number, the current burst, and is updated.
    """
    hour = step * STEP_H % 24
    day = 20 + 60 * max(0.0, math.sin((hour - 6) / 14 * math.pi))
    if random.random() < 1 / 180:
        burst[0] = random.uniform(10, 40)
    burst[0] *= 0.93
    return max(1.0, (day + burst[0]) * random.uniform(0.85, 1.15))


def simulate(
    policy: FixedReplicasPolicy | CurrentLoadPolicy | RecentPeakPolicy, seed: int
) -> Outcome:
    """Simulate a policy over the loads of a seed."""
    loads = Random(f"loads/{seed}")
    history = Random(f"history/{seed}")
    instances = SimulatedInstances(START_STEPS, Random(f"starts/{seed}"))
    clock = SimulatedClock()
    outcome = Outcome()
    burst = [0.0]
    for step in range(STEPS):
        load = load_at(step, loads, burst)
        _reclaim(instances, history)
        replicas = policy.replicas(load, clock)
        rule = _rule(replicas)
        for action in plan_actions(replicas, rule, OFFERS, instances.running()):
            instances.apply(action, step)
        instances.add_cost(_price, STEP_H)
        _update_outcome(outcome, load, instances.count_serving(step), step)
        clock.elapsed += STEP
    outcome.cost = instances.cost
    outcome.starts = instances.starts
    return outcome


def _rule(replicas: int) -> PlacementRule:
    return PlacementRule("s", replicas, FLOOR, ZONE_SHARE)


def _reclaim(instances: SimulatedInstances, history: Random) -> None:
    lost_zones = {
        zone for zone in PRICE_BY_ZONE if history.random() < ZONE_LOSS_PROBABILITY
    }
    draws = [history.random() for _ in range(100)]
    instances.reclaim(
        lost_zones, draws, lambda zone: RECLAIMS_PER_HOUR_BY_ZONE[zone] * STEP_H
    )


def _price(pool: InstancePool) -> float:
    is_on_demand = pool.instance_class is InstanceClass.ON_DEMAND
    return ON_DEMAND_PRICE if is_on_demand else PRICE_BY_ZONE[pool.zone]


def _update_outcome(outcome: Outcome, load: float, serving: int, step: int) -> None:
    if step > START_STEPS:
        outcome.calls += load
        outcome.late_calls += max(0.0, load - serving * REPLICA_CAPACITY)


POLICIES = {
    "ours": RecentPeakPolicy,
    "load of the moment": CurrentLoadPolicy,
    "fixed at the peak": lambda: FixedReplicasPolicy(17),
    "fixed at the mean": lambda: FixedReplicasPolicy(8),
}


def main(seeds: int) -> None:
    """Print a table and save the points."""
    rows = []
    points = {}
    for name, create_policy in POLICIES.items():
        outcomes = [simulate(create_policy(), seed) for seed in range(seeds)]
        calls = sum(item.calls for item in outcomes)
        late = sum(item.late_calls for item in outcomes) / calls
        cost = sum(item.cost for item in outcomes) / seeds
        starts = sum(item.starts for item in outcomes) / seeds
        points[name] = {"cost": cost, "late_share": late, "starts": starts}
        rows.append([name, f"{cost:.0f}", f"{late:.2%}", f"{starts:.0f}"])
    save_points("placement load", points)
    print(
        f"{DAYS} days, {seeds} seeds, {REPLICA_CAPACITY:.0f} concurrent calls a replica"
    )
    print(format_table(["replicas", "cost", "calls late", "starts"], rows))


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 10)
