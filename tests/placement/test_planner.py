"""Instance planning: bounds, cost, backoff after refusals."""

from __future__ import annotations

import math
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.config.rules import InstanceClass, PlacementRule
from banyansail.placement.backoff import StartBackoff
from banyansail.placement.demand import PeakDemand
from banyansail.placement.planner import (
    InstancePool,
    Offer,
    RunningInstance,
    StartInstance,
    StopInstance,
    plan_actions,
    plan_pools,
)
from tests.fakes import FakeClock

ZONES = ("glasgow", "edinburgh", "aberdeen", "inverness")
RECLAIMABLE = InstanceClass.RECLAIMABLE
ON_DEMAND = InstanceClass.ON_DEMAND


def offers(prices: list[float], risk: float = 0.1) -> list[Offer]:
    cheap = [
        Offer(zone, RECLAIMABLE, price, risk)
        for zone, price in zip(ZONES, prices, strict=True)
    ]
    return [*cheap, *(Offer(zone, ON_DEMAND, 3.0, 0.0) for zone in ZONES)]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    prices=st.lists(st.floats(0.1, 2.5), min_size=4, max_size=4),
    replicas=st.integers(2, 40),
    floor=st.integers(0, 5),
    share=st.floats(0.26, 1.0),
)
def test_plan_keeps_floor_and_zone_share(prices, replicas, floor, share):
    rule = PlacementRule("s", replicas, min(floor, replicas), share)
    planned = plan_pools(replicas, rule, offers(prices))
    assert planned.total() == replicas
    by_zone = Counter()
    for pool, count in planned.items():
        by_zone[pool.zone] += count
    cap = max(1, math.floor(replicas * share))
    if cap * len(ZONES) >= replicas:
        assert max(by_zone.values()) <= cap
    on_demand = sum(
        count for pool, count in planned.items() if pool.instance_class is ON_DEMAND
    )
    assert on_demand >= min(rule.min_on_demand, cap * len(ZONES))


def test_risky_zone_is_avoided_when_reclaims_cost_more_than_the_price_saves():
    rule = PlacementRule("s", 4, 0, 1.0)
    risky = Offer("glasgow", RECLAIMABLE, 0.9, 6.0)
    calm = Offer("edinburgh", RECLAIMABLE, 1.0, 0.1)
    assert plan_pools(4, rule, [risky, calm]) == {calm.pool: 4}


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    prices=st.lists(st.floats(0.1, 2.5), min_size=4, max_size=4),
    zones=st.lists(st.sampled_from(ZONES), max_size=12),
)
def test_actions_converge_to_the_plan(prices, zones):
    rule = PlacementRule("s", 5, 1, 0.5)
    running = [
        RunningInstance(f"i{number}", InstancePool(zone, RECLAIMABLE))
        for number, zone in enumerate(zones)
    ]
    for step in range(60):
        actions = plan_actions(5, rule, offers(prices), running)
        if not actions:
            break
        for number, action in enumerate(actions):
            match action:
                case StartInstance(pool):
                    running.append(RunningInstance(f"n{step}-{number}", pool))
                case StopInstance(name):
                    running = [item for item in running if item.name != name]
    assert not actions
    assert len(running) == 5
    assert any(item.pool.instance_class is ON_DEMAND for item in running)
    assert max(Counter(item.pool.zone for item in running).values()) <= 2


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    prices=st.lists(st.floats(0.1, 2.5), min_size=4, max_size=4),
    zones=st.lists(st.sampled_from(ZONES), max_size=20),
    replicas=st.integers(1, 8),
)
def test_no_planned_instance_is_stopped(prices, zones, replicas):
    rule = PlacementRule("s", replicas, 1, 0.5)
    running = [
        RunningInstance(
            f"i{number}", InstancePool(zone, ON_DEMAND if number == 0 else RECLAIMABLE)
        )
        for number, zone in enumerate(zones)
    ]
    planned = plan_pools(replicas, rule, offers(prices))
    before = Counter(item.pool for item in running)
    actions = plan_actions(replicas, rule, offers(prices), running)
    stopped = {item.name for item in actions if isinstance(item, StopInstance)}
    after = Counter(item.pool for item in running if item.name not in stopped)
    for pool, count in planned.items():
        assert after[pool] >= min(count, before[pool])


def test_load_requires_replicas_beyond_the_rule():
    rule = PlacementRule("s", 3)
    assert PeakDemand(FakeClock()).required_replicas(rule, 0, 8) == 3
    assert PeakDemand(FakeClock()).required_replicas(rule, 56, 8) == 9


def test_refusing_pool_is_skipped_and_retried_after_a_backoff():
    clock = FakeClock()
    backoff = StartBackoff(clock)
    rule = PlacementRule("s", 1)
    all_offers = offers([0.1, 0.2, 0.3, 0.4])
    first = plan_actions(1, rule, backoff.available_offers(all_offers), [])[0].pool
    assert first.zone == "glasgow"
    backoff.record_refusal(first)
    assert (
        plan_actions(1, rule, backoff.available_offers(all_offers), [])[0].pool.zone
        == "edinburgh"
    )
    clock.advance(11)
    assert (
        plan_actions(1, rule, backoff.available_offers(all_offers), [])[0].pool == first
    )
    backoff.record_refusal(first)
    clock.advance(11)  # the delay has doubled
    assert first not in [offer.pool for offer in backoff.available_offers(all_offers)]
