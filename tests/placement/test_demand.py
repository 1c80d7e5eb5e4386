"""Required replicas for a load that rises and falls."""

from __future__ import annotations

from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.config.rules import PlacementRule
from banyansail.placement.demand import PEAK_WINDOW, PeakDemand
from banyansail.placement.planner import replicas_needed
from benchmarks.placement_load import (
    CurrentLoadPolicy,
    FixedReplicasPolicy,
    RecentPeakPolicy,
    simulate,
)
from tests.fakes import FakeClock

REPLICA_CAPACITY = 8.0


def rule(replicas: int) -> PlacementRule:
    return PlacementRule("s", replicas, 0, 1.0)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    steps=st.lists(
        st.tuples(st.floats(0, 200), st.integers(1, 300), st.integers(1, 9)),
        max_size=40,
    )
)
def test_required_replicas_are_the_maximum_within_the_window(steps):
    clock = FakeClock()
    demand = PeakDemand(clock)
    seen = []
    for load, pause_s, replicas in steps:
        clock.advance(pause_s)
        now = clock.monotonic()
        seen.append((now, load))
        recent = [item for at, item in seen if at > now - PEAK_WINDOW]
        needs = [replicas_needed(item, REPLICA_CAPACITY) for item in recent]
        found = demand.required_replicas(rule(replicas), load, REPLICA_CAPACITY)
        assert found == max(replicas, *needs)


def test_lowered_rule_applies_at_once():
    clock = FakeClock()
    demand = PeakDemand(clock)
    assert demand.required_replicas(rule(9), 1.0, REPLICA_CAPACITY) == 9
    clock.advance(timedelta(seconds=1).total_seconds())
    assert demand.required_replicas(rule(2), 1.0, REPLICA_CAPACITY) == 2


def test_recent_peak_costs_less_than_fixed_replicas_and_starts_less_than_current_load():
    ours = simulate(RecentPeakPolicy(), 0)
    current_load = simulate(CurrentLoadPolicy(), 0)
    fixed_replicas = simulate(FixedReplicasPolicy(17), 0)
    assert ours.cost < fixed_replicas.cost
    assert ours.late_calls < 0.05 * ours.calls  # 95% in time
    assert ours.late_calls < current_load.late_calls
    assert ours.starts < current_load.starts / 2
