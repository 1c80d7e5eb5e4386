"""Plans instances for the lowest cost, including the expected cost of reclaims.

The plan is a pure function of the rule, the offers and the running instances. Each
instance runs one replica.
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
LOST_WORK_TIME = timedelta(minutes=2)  # instance time that a reclaim costs in addition
MIN_REPLACEMENT_GAIN = 0.25  # of a running instance's cost; must pay the restart
TARGET_UTILISATION = 0.8  # of the replicas' capacity at the latency target


@dataclass(slots=True, frozen=True, order=True)
class Offer:
    """Instances offered by the cloud.

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
    def pool(self) -> InstancePool:
        """Pool that the instances come from."""
        return InstancePool(self.zone, self.instance_class)

    @property
    def hourly_cost(self) -> float:
        """Price for an hour plus the expected cost of reclaims."""
        if self.instance_class is InstanceClass.ON_DEMAND:
            return self.price
        lost_hours = (START_TIME + LOST_WORK_TIME) / timedelta(hours=1)
        return self.price * (1 + self.reclaims_per_hour * lost_hours)


@dataclass(slots=True, frozen=True)
class InstancePool:
    """Instances of one class in one zone."""

    zone: str
    instance_class: InstanceClass


@dataclass(slots=True, frozen=True)
class RunningInstance:
    """Instance that is starting or serving, and is not draining."""

    name: str
    pool: InstancePool


@dataclass(slots=True, frozen=True)
class StartInstance:
    """Request an instance from the cloud."""

    pool: InstancePool
    reason: str


@dataclass(slots=True, frozen=True)
class StopInstance:
    """Return an instance to the cloud, after it was marked as draining."""

    name: str
    reason: str


PlacementAction = StartInstance | StopInstance


def replicas_needed(in_flight: float, replica_capacity: float) -> int:
    """Return the replicas that meet the latency target under a load.

    Parameters
    ----------
    in_flight : float
        Calls in flight and waiting, over all routers.
    replica_capacity : float
        Calls in flight that one replica can serve at the latency target.
    """
    return math.ceil(in_flight / max(1.0, replica_capacity * TARGET_UTILISATION))


def plan_pools(
    replicas: int, rule: PlacementRule, offers: Iterable[Offer]
) -> Counter[InstancePool]:
    """Return how many instances each pool should have.

    The cheapest offers are chosen first, including the cost of reclaims. No zone gets
    more than its share, and the on-demand minimum is filled before the rest. If the
    offers can't satisfy the zone share, it is exceeded rather than leaving replicas
    out.
    """
    ranked = sorted(offers, key=lambda offer: (offer.hourly_cost, offer))
    count_by_zone: Counter[str] = Counter()
    planned: Counter[InstancePool] = Counter()
    zone_cap = max(1, math.floor(replicas * rule.zone_share))
    on_demand = [
        offer for offer in ranked if offer.instance_class is InstanceClass.ON_DEMAND
    ]
    _fill(
        planned, count_by_zone, on_demand, min(rule.min_on_demand, replicas), zone_cap
    )
    _fill(planned, count_by_zone, ranked, replicas - planned.total(), zone_cap)
    if planned.total() < replicas:
        _fill(planned, count_by_zone, ranked, replicas - planned.total(), replicas)
    return planned


def _fill(
    planned: Counter[InstancePool],
    count_by_zone: Counter[str],
    ranked: list[Offer],
    count: int,
    zone_cap: int,
) -> None:
    for offer in ranked:
        added = min(count, zone_cap - count_by_zone[offer.zone])
        if added <= 0:
            continue
        planned[offer.pool] += added
        count_by_zone[offer.zone] += added
        count -= added


def plan_actions(
    replicas: int,
    rule: PlacementRule,
    offers: Iterable[Offer],
    running: Iterable[RunningInstance],
) -> list[PlacementAction]:
    """Return actions that bring the running instances nearer to the plan.

    Instances are started before surplus ones are stopped, and a running one is
    replaced only if the gain pays for the restart.
    """
    offers = list(offers)
    running = list(running)
    planned = plan_pools(replicas, rule, offers)
    running_by_pool = Counter(instance.pool for instance in running)
    missing = planned - running_by_pool
    actions: list[PlacementAction] = []
    shortage = max(0, replicas - len(running))
    for pool in sorted(missing, key=lambda pool: _hourly_cost(pool, offers)):
        for _ in range(min(missing[pool], shortage)):
            actions.append(StartInstance(pool, "replicas are missing"))
        shortage -= min(missing[pool], shortage)
    if actions:
        return actions
    actions.extend(_restore_bounds(rule, planned, running, replicas))
    if actions:
        return actions
    return _plan_surplus(replicas, planned, running, offers)


def _restore_bounds(
    rule: PlacementRule,
    planned: Counter[InstancePool],
    running: list[RunningInstance],
    replicas: int,
) -> list[PlacementAction]:
    """Start an extra instance if the on-demand minimum or a zone cap is violated."""
    on_demand = sum(
        instance.pool.instance_class is InstanceClass.ON_DEMAND for instance in running
    )
    count_by_zone = Counter(instance.pool.zone for instance in running)
    zone_cap = max(1, math.floor(replicas * rule.zone_share))
    running_by_pool = Counter(instance.pool for instance in running)
    is_floor_violated = on_demand < min(rule.min_on_demand, replicas)
    overfull_zones = {zone for zone, count in count_by_zone.items() if count > zone_cap}
    if len(running) > replicas or not (is_floor_violated or overfull_zones):
        return []
    for pool in planned - running_by_pool:
        is_on_demand = pool.instance_class is InstanceClass.ON_DEMAND
        if is_floor_violated and is_on_demand:
            return [StartInstance(pool, "on-demand instances are below the floor")]
        if not is_floor_violated and pool.zone not in overfull_zones:
            return [StartInstance(pool, "a zone has more than its share")]
    return []


def _plan_surplus(
    replicas: int,
    planned: Counter[InstancePool],
    running: list[RunningInstance],
    offers: list[Offer],
) -> list[PlacementAction]:
    running_by_pool = Counter(instance.pool for instance in running)
    surplus = running_by_pool - planned
    candidates = _surplus_instances(surplus, running, offers)
    if len(running) > replicas:
        count = len(running) - replicas
        return [
            StopInstance(instance.name, "there are more replicas than needed")
            for instance in candidates[:count]
        ]
    for instance in candidates:
        for pool in planned - running_by_pool:
            gain = _hourly_cost(instance.pool, offers) - _hourly_cost(pool, offers)
            if gain > MIN_REPLACEMENT_GAIN * _hourly_cost(instance.pool, offers):
                return [StartInstance(pool, f"cheaper than {instance.name}")]
    return []


def _surplus_instances(
    surplus: Counter[InstancePool],
    running: list[RunningInstance],
    offers: list[Offer],
) -> list[RunningInstance]:
    """Return the surplus instances of each pool, the most expensive first."""
    remaining = surplus.copy()
    found: list[RunningInstance] = []
    for instance in sorted(
        running,
        key=lambda instance: (-_hourly_cost(instance.pool, offers), instance.name),
    ):
        if remaining[instance.pool] > 0:
            remaining[instance.pool] -= 1
            found.append(instance)
    return found


def _hourly_cost(pool: InstancePool, offers: list[Offer]) -> float:
    costs = [offer.hourly_cost for offer in offers if offer.pool == pool]
    return min(costs, default=math.inf)
