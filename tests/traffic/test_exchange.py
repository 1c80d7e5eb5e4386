"""Tests of the sums of traffic against the truth, while aggregators fail."""

from __future__ import annotations

import math

import pytest

from banyansail.fleet.ranking import rank_names
from banyansail.traffic.aggregator import DUTY
from banyansail.traffic.recipients import Aggregators
from tests.traffic.simulated_fleet import MOVE, SimulatedFleet, spend

# Two intervals of reports and of sums in each of two data centres.
MAX_LAG_S = 2.0
# A change of the aggregator that a router follows may repeat or skip the use of one
# interval of reports and one of sums, in its own data centre and before it in another.
CHANGE_S = 1.6
USE_PER_STEP = 1.0
STEPS_PER_S = 10


def aggregators(fleet, zone):
    chooser = Aggregators("", fleet.clock)
    return chooser.choose(zone, fleet.members_seen_by(None))


def check_against_truth(fleet, rate_per_s, tolerance=0.0):
    """Check that no use was counted twice and that all of it is known soon."""
    for name, router in fleet.router_by_name.items():
        truth = fleet.foreign_use(name)
        assert router.heard_use() <= truth + tolerance
        assert router.heard_use() >= truth - rate_per_s * MAX_LAG_S - tolerance


def check_settled(fleet, tolerance=0.0):
    """Check the sums once nothing is used any more."""
    fleet.run(4)
    for name, router in fleet.router_by_name.items():
        assert router.heard_use() == pytest.approx(
            fleet.foreign_use(name), abs=tolerance + 1e-6
        )


def started_fleet(**options):
    fleet = SimulatedFleet(**options)
    fleet.run(3)
    return fleet


def fleet_rate(fleet):
    return len(fleet.router_by_name) * USE_PER_STEP * STEPS_PER_S


def test_every_router_learns_the_use_of_all_others():
    fleet = started_fleet()
    for _ in range(20):
        fleet.run(0.5, spend(USE_PER_STEP))
        check_against_truth(fleet, fleet_rate(fleet))
    check_settled(fleet)


def test_every_router_learns_the_work_that_all_others_assigned():
    """Guards against virtual times that leave out other data centres."""
    fleet = SimulatedFleet()
    fleet.run(3)  # what is counted before the first sums is not known
    before = {
        name: (
            router.known.assigned_by_name().get("depot/w", 0.0),
            fleet.foreign_use(name),
        )
        for name, router in fleet.router_by_name.items()
    }
    fleet.run(5, spend(USE_PER_STEP))
    fleet.run(4)
    for name, router in fleet.router_by_name.items():
        heard, used = before[name]
        expected = heard + 3 * (fleet.foreign_use(name) - used)
        assert router.known.assigned_by_name()["depot/w"] == pytest.approx(expected)


def test_every_router_learns_what_quotas_rejected_at_all_others():
    """Guards against a demand that is known of one data centre only."""
    fleet = started_fleet()
    for router in fleet.router_by_name.values():
        router.rejected = 10.0
    fleet.run(2)
    for router in fleet.router_by_name.values():
        assert router.known.rejected_by_workspace() == {"w": 10.0 * 14}


def test_lost_datagrams_cost_only_freshness():
    fleet = started_fleet(loss=0.05, seed=3)
    fleet.run(10, spend(USE_PER_STEP))
    check_settled(fleet, CHANGE_S * fleet_rate(fleet))


def test_use_is_hardly_repeated_or_skipped_when_an_aggregator_is_frozen():
    fleet = started_fleet()
    frozen = fleet.router_by_name[aggregators(fleet, "z0")[0]]
    fleet.run(2, spend(USE_PER_STEP))
    frozen.is_frozen = True
    for _ in range(10):
        fleet.run(0.5, lambda router: None if router.is_frozen else _use(router))
        check_heard_by_the_others(fleet, frozen, CHANGE_S)
    frozen.is_frozen = False
    fleet.run(3, spend(USE_PER_STEP))
    check_settled(fleet, CHANGE_S * fleet_rate(fleet))


def check_heard_by_the_others(fleet, excepted, change_s):
    tolerance = change_s * fleet_rate(fleet)
    for name, router in fleet.router_by_name.items():
        if router is not excepted:
            late = router.heard_use() - fleet.foreign_use(name)
            assert -tolerance - fleet_rate(fleet) * MAX_LAG_S <= late <= tolerance


def _use(router):
    router.used += USE_PER_STEP


@pytest.mark.parametrize("rank", [0, 1])
def test_use_is_hardly_repeated_or_skipped_when_an_aggregator_restarts(rank):
    """A process that starts has not heard of what was used before it."""
    fleet = started_fleet()
    fleet.run(5, spend(USE_PER_STEP))
    name = aggregators(fleet, "z0")[rank]
    fleet.restart(name)
    fleet.run(10, spend(USE_PER_STEP))
    # The new process of the router itself knows only what was used since it started.
    fleet.run(4)
    tolerance = CHANGE_S * fleet_rate(fleet)
    for other, router in fleet.router_by_name.items():
        if other != name:
            truth = fleet.foreign_use(other)
            assert router.heard_use() == pytest.approx(truth, abs=tolerance)


def test_the_fleet_is_heard_again_soon_after_both_aggregators_are_killed():
    fleet = started_fleet(zones=2, per_zone=8)
    for name in aggregators(fleet, "z0"):
        fleet.kill(name)
    fleet.run(5, spend(USE_PER_STEP))
    for router in fleet.router_by_name.values():
        assert not router.known.is_silent
    before = {name: r.heard_use() for name, r in fleet.router_by_name.items()}
    used = fleet.true_use()
    fleet.run(5, spend(USE_PER_STEP))
    for name, router in fleet.router_by_name.items():
        heard = router.heard_use() - before[name]
        assert heard >= 0.6 * (fleet.true_use() - used - 5 * STEPS_PER_S * USE_PER_STEP)


def test_a_data_centre_that_is_cut_off_knows_its_own_use_and_returns():
    fleet = started_fleet()
    fleet.run(2, spend(USE_PER_STEP))
    fleet.is_cut = lambda sender, receiver: (
        (sender.zone == "z0") != (receiver.zone == "z0")
    )
    fleet.run(6, spend(USE_PER_STEP))
    inside, outside = fleet.router_by_name["r0-0"], fleet.router_by_name["r1-0"]
    assert inside.known.silent_others() == 10
    assert outside.known.silent_others() == 5
    fleet.is_cut = lambda sender, receiver: False
    fleet.run(2, spend(USE_PER_STEP))
    check_settled(fleet)
    assert inside.known.silent_others() == outside.known.silent_others() == 0


def test_a_sum_without_new_reports_of_this_router_is_not_followed():
    """An aggregator that does not hear a router would count its use as foreign."""
    fleet = started_fleet(zones=1, per_zone=6)
    deaf = aggregators(fleet, "z0")[0]
    router = next(r for n, r in fleet.router_by_name.items() if n != deaf)
    fleet.is_cut = lambda sender, receiver: (sender is router and receiver.name == deaf)
    for _ in range(10):
        fleet.run(0.5, spend(USE_PER_STEP))
        assert router.heard_use() <= fleet.foreign_use(router.name) + 1e-6


def test_the_load_of_others_leaves_out_this_router_and_routers_that_fell_silent():
    fleet = started_fleet()
    for router in fleet.router_by_name.values():
        router.running = 2
    fleet.run(2)
    router = fleet.router_by_name["r1-1"]
    assert router.known.work_by_upstream()["e1"].running == 2 * 14
    fleet.kill("r0-0")
    fleet.run(5)
    assert router.known.work_by_upstream()["e1"].running == 2 * 13


def test_answers_of_a_move_are_counted_once_and_outlive_their_router():
    fleet = started_fleet()
    for router in fleet.router_by_name.values():
        router.bad_answers = 1
    fleet.run(2)
    fleet.restart("r0-0")
    fleet.run(4)
    known = {router.known.tallies[MOVE].bad for router in fleet.router_by_name.values()}
    assert known == {15}


def test_the_first_candidates_for_duties_are_fit_routers_of_all_data_centres():
    fleet = started_fleet()
    expected = rank_names(DUTY, fleet.router_by_name)
    fleet.router_by_name[expected[0]].is_unfit = True
    fleet.run(2)
    for router in fleet.router_by_name.values():
        candidates = rank_names(DUTY, router.known.duty_candidates())
        assert [name for name in candidates if name != expected[0]][:2] == expected[1:3]


def test_the_number_of_routers_is_known():
    fleet = started_fleet()
    assert {r.known.fleet_size() for r in fleet.router_by_name.values()} == {15}
    fleet.kill("r2-2")
    fleet.run(15)
    assert {r.known.fleet_size() for r in fleet.router_by_name.values()} == {14}


def entries_per_s(per_zone):
    """Return the entries that the busiest router receives, and sends, per second."""
    fleet = started_fleet(zones=6, per_zone=per_zone)
    for router in fleet.router_by_name.values():
        router.received = router.sent = 0
    fleet.run(4)
    routers = fleet.router_by_name.values()
    chosen = {name for zone in range(6) for name in aggregators(fleet, f"z{zone}")}
    plain = [router for router in routers if router.name not in chosen]
    return (
        max(router.received for router in plain) / 4,
        max(router.sent for router in plain) / 4,
    )


def test_what_a_router_receives_does_not_grow_with_the_fleet():
    """A router that is no aggregator receives two sums an interval at any size."""
    small, large = entries_per_s(5), entries_per_s(54)
    assert large[0] <= small[0] + 1
    # Two aggregators' sums to the square root of the data centre's routers each, and
    # reports to these two, two and a half times a second.
    assert large[1] <= 2.5 * (2 * math.ceil(math.sqrt(54)) + 2)


def test_urgent_use_is_known_within_half_a_second_in_a_small_fleet():
    fleet = started_fleet(zones=3, per_zone=3)
    spender = fleet.router_by_name["r0-1"]
    spender.is_urgent = True
    spender.used += 100
    fleet.run(0.5)
    others = [r for r in fleet.router_by_name.values() if r is not spender]
    assert all(router.heard_use() == 100 for router in others)


def test_the_holder_of_the_duties_is_known_whatever_its_rank():
    """The lease stays where it is when routers of a better rank start."""
    fleet = started_fleet()
    last = rank_names(DUTY, fleet.router_by_name)[-1]
    fleet.router_by_name[last].holds_duties = True
    fleet.run(2)
    for name, router in fleet.router_by_name.items():
        assert router.known.duty_holders() == ([] if name == last else [last])
