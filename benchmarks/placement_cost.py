"""Cost of placement over a history of prices and reclaims, against naive plans.

The history is made from a seed: prices of each zone wander, zones are taken back as a
whole now and then, single instances more often, and some starts are refused. Run with
``python -m benchmarks.placement_cost [SEEDS]``.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from banyansail.commands.table import format_table
from banyansail.config.rules import InstanceClass, PlacementRule
from banyansail.placement.planner import (
    Offer,
    Place,
    PlacementAction,
    Running,
    StartInstance,
    plan_actions,
)
from benchmarks.rented import RentedInstances

ZONES = ("glasgow", "edinburgh", "aberdeen", "inverness")
STEPS = 14 * 24 * 12  # two weeks in steps of five minutes
STEP_H = 1 / 12
START_STEPS = 1  # an instance is paid for this long before it serves
REPLICAS = 12
RULE = PlacementRule("s", REPLICAS, min_on_demand=2, zone_share=0.34)
ON_DEMAND_PRICE = 3.0
RISK_BY_ZONE = {"glasgow": 0.5, "edinburgh": 0.05, "aberdeen": 0.1, "inverness": 0.02}
ZONE_LOSS_PER_STEP = 1 / (3 * 24 * 12)

Plan = Callable[[list[Offer], list[Running]], list[PlacementAction]]


@dataclass(slots=True)
class Outcome:
    """What a plan cost.

    Parameters
    ----------
    cost : float
        Price paid.
    short : float
        Replica hours that were missing.
    worst : int
        Most replicas that were missing at once.
    """

    cost: float = 0.0
    short: float = 0.0
    worst: int = 0
    starts: int = 0


def plan_ours(offers: list[Offer], running: list[Running]) -> list[PlacementAction]:
    """Plan as the project does."""
    return plan_actions(REPLICAS, RULE, offers, running)


def plan_cheapest(offers: list[Offer], running: list[Running]) -> list[PlacementAction]:
    """Take the lowest price, whatever the risk, once the floor is filled."""
    actions = _fill_floor(running)
    missing = REPLICAS - len(running) - len(actions)
    cheapest = min(offers, key=lambda offer: offer.price)
    return actions + [StartInstance(cheapest.place, "cheapest")] * missing


def plan_even(offers: list[Offer], running: list[Running]) -> list[PlacementAction]:
    """Spread evenly over the zones, once the floor is filled."""
    actions = _fill_floor(running)
    counts = dict.fromkeys(ZONES, 0)
    for item in running:
        counts[item.place.zone] += 1
    for _ in range(REPLICAS - len(running) - len(actions)):
        zone = min(counts, key=lambda name: counts[name])
        counts[zone] += 1
        place = Place(zone, InstanceClass.RECLAIMABLE)
        actions.append(StartInstance(place, "spread"))
    return actions


def _fill_floor(running: list[Running]) -> list[PlacementAction]:
    held = sum(item.place.instance_class is InstanceClass.ON_DEMAND for item in running)
    room = REPLICAS - len(running)
    return [
        StartInstance(Place(zone, InstanceClass.ON_DEMAND), "floor")
        for zone in ZONES[held : min(RULE.min_on_demand, held + room)]
    ]


PLANS: dict[str, Plan] = {
    "ours": plan_ours,
    "cheapest first": plan_cheapest,
    "even spread": plan_even,
}


def drive(plan: Plan, seed: int) -> Outcome:
    """Drive a plan through the history of a seed."""
    history = Random(f"history/{seed}")
    rented = RentedInstances(START_STEPS, Random(f"starts/{seed}"))
    prices = {zone: history.uniform(0.6, 1.4) for zone in ZONES}
    outcome = Outcome()
    for step in range(STEPS):
        _move_prices(prices, history)
        _take_back(rented, history)
        for action in plan(_offers(prices), rented.running()):
            rented.act(action, step)
        rented.pay(lambda place: _price(place, prices), STEP_H)
        _account(outcome, rented.serving(step), step)
    outcome.cost = rented.cost
    outcome.starts = rented.starts
    return outcome


def _move_prices(prices: dict[str, float], history: Random) -> None:
    for zone in ZONES:
        moved = prices[zone] * history.uniform(0.99, 1.01)
        prices[zone] = min(2.0, max(0.4, moved))


def _offers(prices: dict[str, float]) -> list[Offer]:
    offers = [
        Offer(zone, InstanceClass.RECLAIMABLE, prices[zone], RISK_BY_ZONE[zone])
        for zone in ZONES
    ]
    offers += [
        Offer(zone, InstanceClass.ON_DEMAND, ON_DEMAND_PRICE, 0.0) for zone in ZONES
    ]
    return offers


def _take_back(rented: RentedInstances, history: Random) -> None:
    lost_zones = {zone for zone in ZONES if history.random() < ZONE_LOSS_PER_STEP}
    draws = [history.random() for _ in range(4 * REPLICAS)]
    rented.take_back(lost_zones, draws, lambda zone: RISK_BY_ZONE[zone] * STEP_H)


def _price(place: Place, prices: dict[str, float]) -> float:
    is_safe = place.instance_class is InstanceClass.ON_DEMAND
    return ON_DEMAND_PRICE if is_safe else prices[place.zone]


def _account(outcome: Outcome, serving: int, step: int) -> None:
    if step > START_STEPS:
        missing = max(0, REPLICAS - serving)
        outcome.short += missing * STEP_H
        outcome.worst = max(outcome.worst, missing)


def main(seeds: int) -> None:
    """Print a table."""
    rows = []
    for name, plan in PLANS.items():
        outcomes = [drive(plan, seed) for seed in range(seeds)]
        rows.append(
            [
                name,
                f"{sum(item.cost for item in outcomes) / seeds:.0f}",
                f"{sum(item.short for item in outcomes) / seeds:.1f}",
                f"{max(item.worst for item in outcomes)}",
                f"{sum(item.starts for item in outcomes) / seeds:.0f}",
            ]
        )
    print(f"{REPLICAS} replicas for two weeks, {seeds} seeds")
    header = ["plan", "cost", "replica hours short", "most missing", "starts"]
    print(format_table(header, rows))


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 10)
