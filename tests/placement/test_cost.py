"""Cost over a simulated history of prices and reclaims, compared with naive plans."""

from __future__ import annotations

import pytest

from benchmarks.placement_cost import plan_cheapest, plan_even, plan_ours, simulate


@pytest.mark.parametrize("seed", range(2))
def test_plan_costs_less_than_an_even_spread_and_risks_less_than_the_cheapest(seed):
    ours = simulate(plan_ours, seed)
    even = simulate(plan_even, seed)
    cheapest = simulate(plan_cheapest, seed)
    assert ours.cost < even.cost
    assert ours.max_missing < cheapest.max_missing
