"""Cost over a simulated history of prices and reclaims, compared with naive plans."""

from __future__ import annotations

import pytest

from benchmarks.placement_cost import drive, plan_cheapest, plan_even, plan_ours


@pytest.mark.parametrize("seed", range(2))
def test_plan_costs_less_than_an_even_spread_and_risks_less_than_the_cheapest(seed):
    ours = drive(plan_ours, seed)
    even = drive(plan_even, seed)
    cheapest = drive(plan_cheapest, seed)
    assert ours.cost < even.cost
    assert ours.worst < cheapest.worst
