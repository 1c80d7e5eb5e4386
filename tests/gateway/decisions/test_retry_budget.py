from __future__ import annotations

from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.gateway.decisions.retry_budget import WindowedRetryBudget
from tests.fakes import FakeClock

RATIO, SLACK, WINDOW_S = 0.2, 58.0, 10.0


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.integers(1, 12),
    st.lists(
        st.tuples(st.integers(0, 11), st.floats(0, 0.3), st.booleans()), max_size=200
    ),
)
def test_the_fleet_never_retries_more_than_is_allowed(routers, steps):
    clock = FakeClock()
    budgets = [
        WindowedRetryBudget(clock, RATIO, SLACK, timedelta(seconds=WINDOW_S))
        for _ in range(routers)
    ]
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
    budget = WindowedRetryBudget(FakeClock(), RATIO, SLACK, timedelta(seconds=WINDOW_S))
    budget.record_request()
    assert budget.withdraw(9)
