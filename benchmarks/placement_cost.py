"""Cost of placement over a history of prices and reclaims, against naive plans.

The history is made from a seed: prices of each zone wander, zones are taken back as a
whole now and then, single instances more often, and some starts are refused. Run with
``python -m benchmarks.placement_cost [SEEDS]``.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from banyansail.commands.table import format_table
from banyansail.config.rules import InstanceClass, PlacementRule
from banyansail.placement.planner import (
    Offer,
    Place,
    PlacementAction,
    Running,
    StartInstance,
    StopInstance,
    plan_actions,
)

ZONES = ("glasgow", "edinburgh", "aberdeen", "inverness")
STEPS = 14 * 24 * 12  # two weeks in steps of five minutes
STEP_H = 1 / 12
START_STEPS = 1  # an instance is paid for this long before it serves
REPLICAS = 12
RULE = PlacementRule("s", REPLICAS, floor=2, zone_share=0.34)
ON_DEMAND_PRICE = 3.0
RISK_BY_ZONE = {"glasgow": 0.5, "edinburgh": 0.05, "aberdeen": 0.1, "inverness": 0.02}
ZONE_LOSS_PER_STEP = 1 / (3 * 24 * 12)
REFUSED_SHARE = 0.1

Plan = Callable[[list[Offer], list[Running]], list[PlacementAction]]


@dataclass(slots=True)
class _Instance:
    name: str
    place: Place
    serves_from: int


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
    instances: list[_Instance] = field(default_factory=list)


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
        for zone in ZONES[held : min(RULE.floor, held + room)]
    ]


PLANS: dict[str, Plan] = {
    "ours": plan_ours,
    "cheapest first": plan_cheapest,
    "even spread": plan_even,
}


def drive(plan: Plan, seed: int) -> Outcome:
    """Drive a plan through the history of a seed."""
    history = Random(f"history/{seed}")
    random = Random(f"starts/{seed}")
    prices = {zone: history.uniform(0.6, 1.4) for zone in ZONES}
    outcome = Outcome()
    for step in range(STEPS):
        _move_prices(prices, history)
        _take_back(outcome, history)
        offers = _offers(prices)
        running = [Running(item.name, item.place) for item in outcome.instances]
        for action in plan(offers, running):
            _act(outcome, action, step, random)
        _account(outcome, prices, step)
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


def _take_back(outcome: Outcome, history: Random) -> None:
    lost_zones = {zone for zone in ZONES if history.random() < ZONE_LOSS_PER_STEP}
    draws = [history.random() for _ in range(4 * REPLICAS)]
    kept = []
    for item, draw in zip(outcome.instances, draws, strict=False):
        is_safe = item.place.instance_class is InstanceClass.ON_DEMAND
        risk = RISK_BY_ZONE[item.place.zone] * STEP_H
        if is_safe or (item.place.zone not in lost_zones and draw >= risk):
            kept.append(item)
    outcome.instances = kept


def _act(outcome: Outcome, action: PlacementAction, step: int, random: Random) -> None:
    match action:
        case StartInstance(place):
            is_safe = place.instance_class is InstanceClass.ON_DEMAND
            if not is_safe and random.random() < REFUSED_SHARE:
                return
            outcome.starts += 1
            name = f"i{outcome.starts}"
            serves_from = step + START_STEPS
            outcome.instances.append(_Instance(name, place, serves_from))
        case StopInstance(name):
            outcome.instances = [
                item for item in outcome.instances if item.name != name
            ]


def _account(outcome: Outcome, prices: dict[str, float], step: int) -> None:
    for item in outcome.instances:
        is_safe = item.place.instance_class is InstanceClass.ON_DEMAND
        price = ON_DEMAND_PRICE if is_safe else prices[item.place.zone]
        outcome.cost += price * STEP_H
    serving = sum(item.serves_from <= step for item in outcome.instances)
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
