from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.gateway.duties.scaling import (
    Demand,
    ZoneReplicas,
    engines_needed,
    plan_replicas,
    with_reserve,
)
from tests.gateway.builders import ENGINE, SCALING

ZONES = list(SCALING.price_by_zone)

replicas = st.dictionaries(
    st.sampled_from(ZONES),
    st.builds(ZoneReplicas, st.integers(0, 3), st.integers(0, 3)),
)


def wanted(orders, reclaimable):
    return {
        order.zone: order.wanted
        for order in orders
        if order.is_reclaimable is reclaimable
    }


def test_on_demand_replicas_stay_until_reclaimable_ones_are_ready():
    initial = {zone: ZoneReplicas(1, 0) for zone in ZONES}
    orders = plan_replicas(SCALING, initial, 3)
    assert sum(wanted(orders, True).values()) == 8
    assert sum(wanted(orders, False).values()) == 4
    ready = {zone: ZoneReplicas(1, 1) for zone in ZONES}
    orders = plan_replicas(SCALING, ready, 3)
    assert sum(wanted(orders, False).values()) == 0


def test_refused_reclaimable_replicas_are_replaced_by_the_cheapest_on_demand_ones():
    refused = frozenset((zone, True) for zone in ZONES)
    current = {"a": ZoneReplicas(0, 1), "c": ZoneReplicas(0, 1)}
    orders = plan_replicas(SCALING, current, 5, refused)
    # One of the two may be preempted next, and 60% of the need is urgent.
    assert wanted(orders, False) == {"b": 2, "d": 0, "a": 0, "c": 0}


def test_a_need_that_is_nearly_met_waits_for_reclaimable_replicas():
    current = {zone: ZoneReplicas(0, 1) for zone in ZONES}
    orders = plan_replicas(SCALING, current, 6)
    assert sum(wanted(orders, False).values()) == 0
    assert sum(wanted(orders, True).values()) == 12


def test_the_reserve_covers_the_loss_of_two_data_centres():
    for needed in range(1, 40):
        for zones in range(3, 7):
            total = with_reserve(needed, zones)
            assert total * (zones - 2) / zones >= needed


def test_engines_follow_what_has_to_be_read_and_what_runs():
    assert engines_needed(Demand(0, 0, 100_000), ENGINE) == 1
    assert engines_needed(Demand(80_000, 0, 100_000), ENGINE) == 3
    assert engines_needed(Demand(0, ENGINE.slots * 2, 100_000), ENGINE) == 6


def test_slow_replicas_are_ordered_in_proportion():
    """A service whose replicas run at half speed needs twice as many."""
    usual = engines_needed(Demand(9e5, 300, 1e5), ENGINE)
    slow = engines_needed(Demand(9e5, 300, 1e5, mean_speed=0.5), ENGINE)
    assert 2 * usual - 1 <= slow <= 2 * usual
    wrong = engines_needed(Demand(9e5, 300, 1e5, mean_speed=0.01), ENGINE)
    assert wrong <= 4 * usual


@settings(derandomize=True, max_examples=300)
@given(
    replicas,
    st.integers(1, 20),
    st.frozensets(st.tuples(st.sampled_from(ZONES), st.booleans())),
)
def test_orders_keep_the_bounds_of_each_data_centre(current, needed, refused):
    orders = plan_replicas(SCALING, current, needed, refused)
    reclaimable, on_demand = wanted(orders, True), wanted(orders, False)
    for zone in ZONES:
        assert 0 <= reclaimable[zone] + on_demand[zone] <= SCALING.maximum
        assert reclaimable[zone] == 0 or (zone, True) not in refused
    ready = sum(item.reclaimable for item in current.values())
    running = sum(min(item.on_demand, SCALING.maximum) for item in current.values())
    assert sum(on_demand.values()) >= min(running, needed - ready)
