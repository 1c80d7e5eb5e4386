"""Cost of placement over a history of prices and reclaims, compared with naive plans.

The history is generated from a seed: each zone's price follows a random walk, whole
zones are reclaimed occasionally and single instances more often, and some starts are
refused. Run with ``python -m benchmarks.placement_cost [SEEDS]``.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from banyansail.commands.table import format_table
from banyansail.config.rules import InstanceClass, PlacementRule
from banyansail.placement.planner import (
    InstancePool,
    Offer,
    PlacementAction,
    RunningInstance,
    StartInstance,
    plan_actions,
)
from benchmarks.simulated_instances import SimulatedInstances

ZONES = ("glasgow", "edinburgh", "aberdeen", "inverness")
STEPS = 14 * 24 * 12  # two weeks in steps of five minutes
STEP_H = 1 / 12
START_STEPS = 1  # for which an instance is paid before it serves
REPLICAS = 12
RULE = PlacementRule("s", REPLICAS, min_on_demand=2, zone_share=0.34)
ON_DEMAND_PRICE = 3.0
RECLAIMS_PER_HOUR_BY_ZONE = {
    "glasgow": 0.5,
    "edinburgh": 0.05,
    "aberdeen": 0.1,
    "inverness": 0.02,
}
ZONE_LOSS_PROBABILITY = 1 / (3 * 24 * 12)  # per step

Plan = Callable[[list[Offer], list[RunningInstance]], list[PlacementAction]]


@dataclass(slots=True)
class Outcome:
    """Cost of a plan and the replicas that were missing.

    Parameters
    ----------
    cost : float
        Price paid.
    missing_hours : float
        Replica hours that were missing.
    max_missing : int
        Maximum number of replicas missing at the same time.
    """

    cost: float = 0.0
    missing_hours: float = 0.0
    max_missing: int = 0
    starts: int = 0


def plan_ours(
    offers: list[Offer], running: list[RunningInstance]
) -> list[PlacementAction]:
    """Plan with the project's planner."""
    return plan_actions(REPLICAS, RULE, offers, running)


def plan_cheapest(
    offers: list[Offer], running: list[RunningInstance]
) -> list[PlacementAction]:
    """Choose the lowest price regardless of the risk, once the floor is filled."""
    actions = _fill_floor(running)
    missing = REPLICAS - len(running) - len(actions)
    cheapest = min(offers, key=lambda offer: offer.price)
    return actions + [StartInstance(cheapest.pool, "cheapest")] * missing


def plan_even(
    offers: list[Offer], running: list[RunningInstance]
) -> list[PlacementAction]:
    """Spread evenly over the zones, once the floor is filled."""
    actions = _fill_floor(running)
    counts = dict.fromkeys(ZONES, 0)
    for item in running:
        counts[item.pool.zone] += 1
    for _ in range(REPLICAS - len(running) - len(actions)):
        zone = min(counts, key=lambda name: counts[name])
        counts[zone] += 1
        pool = InstancePool(zone, InstanceClass.RECLAIMABLE)
        actions.append(StartInstance(pool, "spread"))
    return actions


def _fill_floor(running: list[RunningInstance]) -> list[PlacementAction]:
    on_demand = sum(
        item.pool.instance_class is InstanceClass.ON_DEMAND for item in running
    )
    missing = REPLICAS - len(running)
    return [
        StartInstance(InstancePool(zone, InstanceClass.ON_DEMAND), "floor")
        for zone in ZONES[on_demand : min(RULE.min_on_demand, on_demand + missing)]
    ]


PLANS: dict[str, Plan] = {
    "ours": plan_ours,
    "cheapest first": plan_cheapest,
    "even spread": plan_even,
}


def simulate(plan: Plan, seed: int) -> Outcome:
    """Simulate a plan over the history of a seed."""
    history = Random(f"history/{seed}")
    instances = SimulatedInstances(START_STEPS, Random(f"starts/{seed}"))
    prices = {zone: history.uniform(0.6, 1.4) for zone in ZONES}
    outcome = Outcome()
    for step in range(STEPS):
        _vary_prices(prices, history)
        _reclaim(instances, history)
        for action in plan(_offers(prices), instances.running()):
            instances.apply(action, step)
        instances.add_cost(lambda pool: _price(pool, prices), STEP_H)
        _update_outcome(outcome, instances.count_serving(step), step)
    outcome.cost = instances.cost
    outcome.starts = instances.starts
    return outcome


def _vary_prices(prices: dict[str, float], history: Random) -> None:
    for zone in ZONES:
        varied = prices[zone] * history.uniform(0.99, 1.01)
        prices[zone] = min(2.0, max(0.4, varied))


def _offers(prices: dict[str, float]) -> list[Offer]:
    offers = [
        Offer(
            zone,
            InstanceClass.RECLAIMABLE,
            prices[zone],
            RECLAIMS_PER_HOUR_BY_ZONE[zone],
        )
        for zone in ZONES
    ]
    offers += [
        Offer(zone, InstanceClass.ON_DEMAND, ON_DEMAND_PRICE, 0.0) for zone in ZONES
    ]
    return offers


def _reclaim(instances: SimulatedInstances, history: Random) -> None:
    lost_zones = {zone for zone in ZONES if history.random() < ZONE_LOSS_PROBABILITY}
    draws = [history.random() for _ in range(4 * REPLICAS)]
    instances.reclaim(
        lost_zones, draws, lambda zone: RECLAIMS_PER_HOUR_BY_ZONE[zone] * STEP_H
    )


def _price(pool: InstancePool, prices: dict[str, float]) -> float:
    is_on_demand = pool.instance_class is InstanceClass.ON_DEMAND
    return ON_DEMAND_PRICE if is_on_demand else prices[pool.zone]


def _update_outcome(outcome: Outcome, serving: int, step: int) -> None:
    if step > START_STEPS:
        missing = max(0, REPLICAS - serving)
        outcome.missing_hours += missing * STEP_H
        outcome.max_missing = max(outcome.max_missing, missing)


def main(seeds: int) -> None:
    """Print a table."""
    rows = []
    for name, plan in PLANS.items():
        outcomes = [simulate(plan, seed) for seed in range(seeds)]
        rows.append(
            [
                name,
                f"{sum(item.cost for item in outcomes) / seeds:.0f}",
                f"{sum(item.missing_hours for item in outcomes) / seeds:.1f}",
                f"{max(item.max_missing for item in outcomes)}",
                f"{sum(item.starts for item in outcomes) / seeds:.0f}",
            ]
        )
    print(f"{REPLICAS} replicas for two weeks, {seeds} seeds")
    header = ["plan", "cost", "replica hours short", "most missing", "starts"]
    print(format_table(header, rows))


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 10)
