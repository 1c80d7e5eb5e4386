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
        gateway = live.gateways[number % len(live.gateways)]
        statuses.append(live.call("GET", f"/stock/{number}", gateway=gateway)[0])
        time.sleep(PAUSE_S)
    return statuses


def reject_an_order(live):
    """Return the name and headers of the first order beyond the limit."""
    for name in ("first", "second"):
        status, headers, _ = live.call("POST", f"/orders/{name}", b"x")
        if status != 200:
            break
    assert status == 503
    return name, headers


def most_in_a_window(times):
    return max(
        (sum(1 for at in times if start <= at < start + WINDOW_S) for start in times),
        default=0,
    )


def test_an_upstream_that_names_a_limit_gets_no_more_than_it_allows():
    with LiveGateway(replicas=("d1", "d2")) as live:
        live.set_faults("d", limit=str(PER_S))
        call_often(live)
        arrivals = [item.state.arrived_at for item in live.replica_by_name.values()]
        assert max(map(most_in_a_window, arrivals)) <= ALLOWED
        assert all(arrivals)


def test_what_a_limit_leaves_no_room_for_is_rejected_as_not_run_until_it_ends():
    with LiveGateway(replicas=("d1",)) as live:
        live.set_faults("d1", limit=str(PER_S))
        assert set(call_often(live)) == {200, 503}
        name, headers = reject_an_order(live)
        assert 0 < float(headers["Retry-After"]) < 1
        assert f"a-orders-{name}" not in live.runs()
        live.set_faults("d1", limit="")
        wait_until(lambda: call_often(live) == [200] * CALLS, 30)


def test_several_routers_share_a_limit_and_learn_of_its_end():
    with LiveGateway(replicas=("d1", "d2"), routers=3) as live:
        live.set_faults("d", limit=str(PER_S))
        call_often(live)
        arrivals = [item.state.arrived_at for item in live.replica_by_name.values()]
        assert max(map(most_in_a_window, arrivals)) <= ALLOWED
        loads = [
            load for gateway in live.gateways for load in gateway.dispatcher.loads()
        ]
        wait_until(lambda: all(load.limit.per_s == PER_S for load in loads))
        live.set_faults("d", limit="")
        wait_until(lambda: call_often(live) == [200] * CALLS, 30)
        wait_until(lambda: call_often(live) and is_end_known(loads))


def is_end_known(loads):
    """Return whether all routers know alike which upstreams named no limit since.

    An upstream that no router has asked since keeps its limit, at all of them.
    """
    limits_by_upstream = {}
    for load in loads:
        limits_by_upstream.setdefault(load.upstream.id, set()).add(load.limit.per_s)
    limits = list(limits_by_upstream.values())
    return {None} in limits and all(len(values) == 1 for values in limits)
