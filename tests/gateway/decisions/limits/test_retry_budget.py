from __future__ import annotations

from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.gateway.decisions.limits.retry_budget import WindowedRetryBudget
from tests.fakes import FakeClock

RATIO, SLACK, WINDOW_S = 0.2, 58.0, 10.0


def retry_budget(clock):
    window = timedelta(seconds=WINDOW_S)
    return WindowedRetryBudget(clock, RATIO, SLACK, window, clock.monotonic())


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.integers(1, 12),
    st.lists(
        st.tuples(st.integers(0, 11), st.floats(0, 0.3), st.booleans()), max_size=200
    ),
)
def test_the_fleet_never_retries_more_than_is_allowed(routers, steps):
    clock = FakeClock()
    budgets = [retry_budget(clock) for _ in range(routers)]
    requests, retries = [], []
    for index, delay, has_failed in steps:
        clock.advance(delay)
        now = clock.monotonic().total_seconds()
        budget = budgets[index % routers]
        budget.record_request()
        requests.append(now)
        if has_failed and budget.withdraw(routers):
            retries.append(now)
    for end in retries:
        retried = sum(end - WINDOW_S <= at <= end for at in retries)
        requested = sum(end - WINDOW_S <= at <= end for at in requests)
        assert retried <= RATIO * requested + SLACK


def test_a_router_with_little_traffic_may_retry_at_once():
    """Guards against idempotent requests that fail for lack of other requests."""
    clock = FakeClock()
    budget = retry_budget(clock)
    clock.advance(WINDOW_S)
    budget.record_request()
    assert budget.withdraw(9)


def test_a_young_process_uses_its_part_of_the_slack_in_proportion_to_its_age():
    """Guards against a slack that is spent again with each restart."""
    clock = FakeClock()
    budget = retry_budget(clock)
    granted_at_age = {}
    for age in range(10):
        granted = 0
        while budget.withdraw(1):
            granted += 1
        granted_at_age[age] = granted
        clock.advance(1)
    assert granted_at_age[0] == 0
    for age in range(1, 10):
        assert sum(granted_at_age[at] for at in range(age + 1)) <= SLACK * age / 10
        assert granted_at_age[age] >= 1


def test_a_router_that_does_not_know_the_fleet_retries_a_share_of_its_requests():
    """Guards against routers without retries while the store is unavailable."""
    clock = FakeClock()
    budget = retry_budget(clock)
    clock.advance(WINDOW_S)
    for _ in range(100):
        budget.record_request()
    granted = sum(budget.withdraw(None) for _ in range(100))
    assert 5 <= granted <= RATIO * 100
