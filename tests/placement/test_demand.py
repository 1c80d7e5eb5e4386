"""Replicas over a load that rises and falls."""

from __future__ import annotations

from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.config.rules import PlacementRule
from banyansail.placement.demand import MEMORY, Demand
from banyansail.placement.planner import replicas_needed
from benchmarks.placement_load import (
    FixedReplicas,
    LoadOfLate,
    LoadOfTheMoment,
    drive,
)
from tests.fakes import FakeClock

ROOM = 8.0


def rule(replicas: int) -> PlacementRule:
    return PlacementRule("s", replicas, 0, 1.0)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    steps=st.lists(
        st.tuples(st.floats(0, 200), st.integers(1, 300), st.integers(1, 9)),
        max_size=40,
    )
)
def test_same_as_the_most_of_all_needs_within_the_memory(steps):
    clock = FakeClock()
    demand = Demand(clock)
    seen = []
    for load, pause_s, replicas in steps:
        clock.advance(pause_s)
        now = clock.monotonic()
        seen.append((now, load))
        recent = [item for at, item in seen if at > now - MEMORY]
        needs = [replicas_needed(item, ROOM) for item in recent]
        found = demand.replicas(rule(replicas), load, ROOM)
        assert found == max(replicas, *needs)


def test_lower_rule_is_followed_at_once():
    clock = FakeClock()
    demand = Demand(clock)
    assert demand.replicas(rule(9), 1.0, ROOM) == 9
    clock.advance(timedelta(seconds=1).total_seconds())
    assert demand.replicas(rule(2), 1.0, ROOM) == 2


def test_following_costs_less_than_a_peak_and_starts_less_than_the_moment():
    ours = drive(LoadOfLate(), 0)
    moment = drive(LoadOfTheMoment(), 0)
    peak = drive(FixedReplicas(17), 0)
    assert ours.cost < peak.cost
    assert ours.late < 0.05 * ours.calls  # 95 in 100 in time
    assert ours.late < moment.late
    assert ours.starts < moment.starts / 2
