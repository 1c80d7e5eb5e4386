"""A running gateway whose upstreams name limits in their answers."""

from __future__ import annotations

import time

from tests.gateway.live_gateway import LiveGateway
from tests.processes import wait_until

PER_S = 1.0
WINDOW_S = 4.0
ALLOWED = 1.5 * PER_S * WINDOW_S + 5  # requests in a window, by the platform's rule
CALLS = 60
PAUSE_S = 0.03


def call_often(live):
    statuses = []
    for number in range(CALLS):
        statuses.append(live.call("GET", f"/stock/{number}")[0])
        time.sleep(PAUSE_S)
    return statuses


def most_in_a_window(times):
    return max(
        sum(1 for other in times if start <= other < start + WINDOW_S)
        for start in times
    )


def test_an_upstream_that_names_a_limit_gets_no_more_than_it_allows():
    with LiveGateway(replicas=("d1", "d2")) as live:
        live.set_faults("d1", limit=str(PER_S))
        assert call_often(live) == [200] * CALLS
        limited = live.replica_by_name["d1"].state
        assert most_in_a_window(limited.arrived_at) <= ALLOWED


def test_an_upstream_that_names_its_limit_no_longer_gets_requests_as_before():
    with LiveGateway(replicas=("d1", "d2")) as live:
        live.set_faults("d1", limit=str(PER_S))
        call_often(live)
        live.set_faults("d1", limit="")
        limited = live.replica_by_name["d1"].state

        def has_as_many_as_before():
            before = len(limited.arrived_at)
            call_often(live)
            return len(limited.arrived_at) - before > ALLOWED

        wait_until(has_as_many_as_before, 30)
