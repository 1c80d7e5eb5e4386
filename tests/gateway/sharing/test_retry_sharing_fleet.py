"""Retries of a whole fleet, whatever its routers know and how often they start anew."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.gateway.sharing.retrying_fleet import (
    Cut,
    Join,
    Kill,
    RetryingFleet,
    StoreDown,
)

# Routers, requests a second of all of them, and the slack.
FLEETS = [
    (1, 20, 56),
    (8, 80, 56),
    (8, 10, 56),
    (8, 80, 800),
    (77, 150, 172),
    (77, 300, 3000),
    (320, 320, 600),
    (320, 960, 9600),
]
every_size = pytest.mark.parametrize(("routers", "requests_per_s", "slack"), FLEETS)

TIMES = st.floats(0, 40)
FAULTS = st.one_of(
    st.builds(Kill, TIMES, st.sampled_from([0.1, 0.5, 1.0]), st.floats(0.3, 6)),
    st.builds(Cut, TIMES, st.floats(1, 30), st.sampled_from([2, 3, 400])),
    st.builds(StoreDown, TIMES, st.floats(1, 20)),
    st.builds(Join, TIMES, st.sampled_from([1, 8, 64])),
)


def check_budget(fleet):
    assert fleet.retried_at
    assert fleet.worst_excess() <= 0


@every_size
def test_the_budget_holds_without_faults(routers, requests_per_s, slack):
    check_budget(RetryingFleet(routers, requests_per_s, slack).run(40))


@every_size
@pytest.mark.parametrize("is_new", [False, True], ids=["restarted", "new"])
def test_routers_that_have_just_started_do_not_each_spend_the_whole_slack(
    routers, requests_per_s, slack, is_new
):
    """Guards against retries beyond the budget before the fleet's size is known."""
    fleet = RetryingFleet(routers, requests_per_s, slack, quiet_s=0.0, is_new=is_new)
    check_budget(fleet.run(25))


@every_size
def test_routers_that_are_killed_together_do_not_spend_the_budget_again(
    routers, requests_per_s, slack
):
    """Guards against retries beyond the budget after all routers start anew."""
    faults = [Kill(20.0), Kill(24.0), Kill(26.0)]
    check_budget(RetryingFleet(routers, requests_per_s, slack, faults).run(45))


@every_size
def test_a_router_that_hears_of_no_other_does_not_spend_the_whole_slack(
    routers, requests_per_s, slack
):
    """Guards against retries beyond the budget in a fleet whose links are cut."""
    faults = [Kill(20.0), Cut(19.0, 60.0, parts=400)]
    check_budget(RetryingFleet(routers, requests_per_s, slack, faults).run(45))


@every_size
def test_the_parts_of_a_cut_fleet_together_keep_to_the_budget(
    routers, requests_per_s, slack
):
    """Guards against a divisor that falls as silent routers are forgotten."""
    faults = [Cut(15.0, 60.0, parts=2)]
    check_budget(RetryingFleet(routers, requests_per_s, slack, faults).run(45))


@every_size
def test_new_routers_do_not_spend_what_the_others_have_spent(
    routers, requests_per_s, slack
):
    """Guards against retries beyond the budget in a fleet that grows."""
    faults = [Join(20.0, count=3 * routers)]
    check_budget(RetryingFleet(routers, requests_per_s, slack, faults).run(40))


@every_size
def test_routers_that_join_behind_a_cut_do_not_spend_the_slack_again(
    routers, requests_per_s, slack
):
    """Guards against retries beyond the budget by routers of which others are unaware.

    The restarts just before the cut let both processes of each router use their parts.
    """
    faults = [
        Kill(20.0, down_s=0.25),
        Cut(20.25, 60.0, parts=400),
        Join(22.0, count=3 * routers),
        Kill(31.0, down_s=0.25),
    ]
    fleet = RetryingFleet(routers, requests_per_s, slack, faults, quiet_s=19.0)
    check_budget(fleet.run(45))


@every_size
def test_routers_that_join_behind_a_long_cut_count_the_others(
    routers, requests_per_s, slack
):
    """Guards against new routers that forget those of which they never heard."""
    faults = [Cut(15.0, 200.0, parts=400), Join(16.0, count=routers)]
    check_budget(RetryingFleet(routers, requests_per_s, slack, faults).run(145))


def check_under(faults, routers, requests_per_s, slack):
    fleet = RetryingFleet(routers, requests_per_s, slack, faults).run(50)
    assert fleet.worst_excess() <= 0


@pytest.mark.parametrize(("routers", "requests_per_s", "slack"), FLEETS[:4])
@settings(derandomize=True, max_examples=30, deadline=None)
@given(faults=st.lists(FAULTS, min_size=1, max_size=6))
def test_the_budget_holds_under_any_faults(routers, requests_per_s, slack, faults):
    """Guards against retries beyond the budget by restarts, cuts and stale sizes."""
    check_under(faults, routers, requests_per_s, slack)


@pytest.mark.parametrize(("routers", "requests_per_s", "slack"), FLEETS[4:])
@settings(derandomize=True, max_examples=5, deadline=None)
@given(faults=st.lists(FAULTS, min_size=1, max_size=6))
def test_the_budget_holds_under_any_faults_in_a_large_fleet(
    routers, requests_per_s, slack, faults
):
    """Guards against a bound that is kept at small sizes only."""
    check_under(faults, routers, requests_per_s, slack)
