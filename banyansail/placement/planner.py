"""Plans instances for least cost, with the risk and the cost of reclaims.

A pure function of what is wanted, what is offered and what there is.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.config.rules import InstanceClass

if TYPE_CHECKING:
    from banyansail.config.rules import PlacementRule

START_TIME = timedelta(minutes=3)  # an instance is paid for before it serves
LOST_WORK = timedelta(minutes=2)  # what a reclaim costs besides, in instance time
REPLACE_GAIN = 0.25  # a running instance is replaced for this share of its cost
UTILISATION = 0.8  # of the replicas' room at the latency target


@dataclass(slots=True, frozen=True, order=True)
class Offer:
    """Instances that the cloud offers.

    Parameters
    ----------
    price : float
        Price for one instance and hour.
    reclaims_per_hour : float
        Expected reclaims of one instance.
    """

    zone: str
    instance_class: InstanceClass
    price: float
    reclaims_per_hour: float

    @property
    def place(self) -> Place:
        """Where the instances are and what they are."""
        return Place(self.zone, self.instance_class)

    @property
    def cost(self) -> float:
        """Price for an hour with what reclaims add to it."""
        if self.instance_class is InstanceClass.ON_DEMAND:
            return self.price
        lost = (START_TIME + LOST_WORK) / timedelta(hours=1)
        return self.price * (1 + self.reclaims_per_hour * lost)


@dataclass(slots=True, frozen=True)
class Place:
    """A zone and a class of instances."""

    zone: str
    instance_class: InstanceClass


@dataclass(slots=True, frozen=True)
class Running:
    """An instance that is starting or serving, and is not leaving."""

    name: str
    place: Place


@dataclass(slots=True, frozen=True)
class StartInstance:
    """Ask the cloud for an instance."""

    place: Place
    reason: str


@dataclass(slots=True, frozen=True)
class StopInstance:
    """Give an instance back, after it has been marked as leaving."""

    name: str
    reason: str


PlacementAction = StartInstance | StopInstance


def replicas_needed(in_flight: float, room_of_replica: float) -> int:
    """Return the replicas that keep the latency target under a load.

    Parameters
    ----------
    in_flight : float
        Calls in flight and waiting, over all routers.
    room_of_replica : float
        Calls that one replica takes at the latency target.
    """
    return math.ceil(in_flight / max(1.0, room_of_replica * UTILISATION))


def plan_places(
    replicas: int, rule: PlacementRule, offers: Iterable[Offer]
) -> Counter[Place]:
    """Return how many instances each place should have.

    The cheapest offers are taken first, the cost of reclaims included. No zone gets
    more than its share, and the on-demand floor is filled before the rest. If the
    offers can't satisfy the zone's share, it is exceeded rather than leaving
    replicas out.
    """
    ranked = sorted(offers, key=lambda offer: (offer.cost, offer))
    by_zone: Counter[str] = Counter()
    wanted: Counter[Place] = Counter()
    cap = max(1, math.floor(replicas * rule.zone_share))
    on_demand = [
        offer for offer in ranked if offer.instance_class is InstanceClass.ON_DEMAND
    ]
    _fill(wanted, by_zone, on_demand, min(rule.min_on_demand, replicas), cap)
    _fill(wanted, by_zone, ranked, replicas - wanted.total(), cap)
    if wanted.total() < replicas:
        _fill(wanted, by_zone, ranked, replicas - wanted.total(), replicas)
    return wanted


def _fill(
    wanted: Counter[Place],
    by_zone: Counter[str],
    ranked: list[Offer],
    count: int,
    cap: int,
) -> None:
    for offer in ranked:
        taken = min(count, cap - by_zone[offer.zone])
        if taken <= 0:
            continue
        wanted[offer.place] += taken
        by_zone[offer.zone] += taken
        count -= taken


def plan_actions(
    replicas: int,
    rule: PlacementRule,
    offers: Iterable[Offer],
    running: Iterable[Running],
) -> list[PlacementAction]:
    """Return what brings the running instances nearer to the plan.

    Instances are started before surplus ones are stopped, and a running one is
    replaced only for a gain that pays for its restart.
    """
    offers = list(offers)
    running = list(running)
    wanted = plan_places(replicas, rule, offers)
    have = Counter(item.place for item in running)
    missing = wanted - have
    actions: list[PlacementAction] = []
    shortage = max(0, replicas - len(running))
    for place in sorted(missing, key=lambda item: _cost(item, offers)):
        for _ in range(min(missing[place], shortage)):
            actions.append(StartInstance(place, "replicas are missing"))
        shortage -= min(missing[place], shortage)
    if actions:
        return actions
    actions.extend(_restore_bounds(rule, wanted, running, replicas))
    if actions:
        return actions
    return _plan_surplus(replicas, wanted, running, offers)


def _restore_bounds(
    rule: PlacementRule,
    wanted: Counter[Place],
    running: list[Running],
    replicas: int,
) -> list[PlacementAction]:
    """Start instances beyond the count if the floor or a zone's share is broken."""
    on_demand = sum(
        item.place.instance_class is InstanceClass.ON_DEMAND for item in running
    )
    by_zone = Counter(item.place.zone for item in running)
    cap = max(1, math.floor(replicas * rule.zone_share))
    have = Counter(item.place for item in running)
    floor_broken = on_demand < min(rule.min_on_demand, replicas)
    zones_full = {zone for zone, count in by_zone.items() if count > cap}
    if len(running) > replicas or not (floor_broken or zones_full):
        return []
    for place in wanted - have:
        is_on_demand = place.instance_class is InstanceClass.ON_DEMAND
        if floor_broken and is_on_demand:
            return [StartInstance(place, "the on-demand floor is not filled")]
        if not floor_broken and place.zone not in zones_full:
            return [StartInstance(place, "a zone holds more than its share")]
    return []


def _plan_surplus(
    replicas: int,
    wanted: Counter[Place],
    running: list[Running],
    offers: list[Offer],
) -> list[PlacementAction]:
    have = Counter(item.place for item in running)
    surplus = have - wanted
    candidates = _surplus_instances(surplus, running, offers)
    if len(running) > replicas:
        count = len(running) - replicas
        return [
            StopInstance(item.name, "there are more replicas than needed")
            for item in candidates[:count]
        ]
    for item in candidates:
        for place in wanted - have:
            gain = _cost(item.place, offers) - _cost(place, offers)
            if gain > REPLACE_GAIN * _cost(item.place, offers):
                return [StartInstance(place, f"cheaper than {item.name}")]
    return []


def _surplus_instances(
    surplus: Counter[Place], running: list[Running], offers: list[Offer]
) -> list[Running]:
    """Return as many instances of each place as it has too many, costliest first."""
    left = surplus.copy()
    found: list[Running] = []
    for item in sorted(
        running, key=lambda item: (-_cost(item.place, offers), item.name)
    ):
        if left[item.place] > 0:
            left[item.place] -= 1
            found.append(item)
    return found


def _cost(place: Place, offers: list[Offer]) -> float:
    costs = [offer.cost for offer in offers if offer.place == place]
    return min(costs, default=math.inf)
