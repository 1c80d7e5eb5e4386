from __future__ import annotations

from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.gateway.retry_budget import WindowedBudget
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
        WindowedBudget(clock, RATIO, SLACK, timedelta(seconds=WINDOW_S))
        for _ in range(routers)
    ]
    requests, retries = [], []
    for index, pause, fails in steps:
        clock.advance(pause)
        now = clock.monotonic().total_seconds()
        budget = budgets[index % routers]
        budget.note_request()
        requests.append(now)
        if fails and budget.withdraw(routers):
            retries.append(now)
    for end in retries:
        sent = sum(end - WINDOW_S <= at <= end for at in retries)
        asked = sum(end - WINDOW_S <= at <= end for at in requests)
        assert sent <= RATIO * asked + SLACK


def test_a_quiet_router_may_retry_at_once():
    budget = WindowedBudget(FakeClock(), RATIO, SLACK, timedelta(seconds=WINDOW_S))
    budget.note_request()
    assert budget.withdraw(9)
