"""A running gateway with upstreams that end if they get too many requests while cold.

It guards against sending cold upstreams as much as warm ones, which crashes them.
"""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from twisted.internet import reactor

from tests.gateway.live_gateway import LiveGateway, config_body
from tests.live import in_reactor
from tests.processes import wait_until

PER_S = 4.0
OVER, SLACK = 1.5, 5.0
ALLOWED = int(OVER * PER_S + SLACK)  # requests in a second, by the platform's rule
COLD_S = 5.0
CALLS = 300
CALLERS = 6
# The gateway, its upstreams and callers share a process; a stall is no lost request.
TIMEOUT_MS = 10_000


def config(**options):
    """Return a configuration whose plain service has cold upstreams."""
    body = config_body(version=2, **options)
    body["services"][0] |= {"coldStartS": COLD_S, "coldPerS": PER_S}
    for route in body["routes"]:
        route["timeoutMs"] = TIMEOUT_MS
    return body


@pytest.fixture(params=[1, 3], ids=lambda count: f"{count} routers")
def live(request):
    with LiveGateway(replicas=("d1", "d2"), routers=request.param) as live:
        live.store.state.put("config", "main", spec=config())
        wait_until(lambda: all(gateway.site.version == 2 for gateway in live.gateways))
        yield live


def make_cold(live, name):
    """Let an upstream become cold; return once the routers know its entry."""
    until = in_reactor(lambda: reactor.seconds() + COLD_S)
    replica, address = live.replica_by_name[name], live.running_by_name[name].address
    live.announce(name, address, coldLeftMs=int(COLD_S * 1000))
    time.sleep(1.2)  # of the watch, and of changes that are coalesced
    replica.state.accepted_at.clear()
    replica.faults.cold_limit = ALLOWED
    replica.faults.cold_until = until


def call_often(live):
    """Send requests through all routers, some at a time; return the statuses."""

    def call(number):
        gateway = live.gateways[number % len(live.gateways)]
        return live.call("GET", f"/stock/{number}", gateway=gateway)[0]

    with ThreadPoolExecutor(CALLERS) as callers:
        return list(callers.map(call, range(CALLS)))


def test_a_cold_upstream_does_not_get_more_than_it_bears(live):
    call_often(live)  # the upstreams were known before this traffic
    make_cold(live, "d1")
    statuses = call_often(live)
    cold, warm = (live.replica_by_name[name].state for name in ("d1", "d2"))
    until = live.replica_by_name["d1"].faults.cold_until
    while_cold = [at for at in cold.accepted_at if at < until]
    assert while_cold
    assert max(map(len, windows(while_cold))) <= ALLOWED
    assert statuses.count(200) == CALLS
    assert len(warm.accepted_at) > CALLS / 2


def is_cold(gateway):
    """Return whether a gateway still takes an upstream for cold."""
    now = gateway.clock.monotonic()
    return any(load.cold.left(now) for load in gateway.dispatcher.loads())


def windows(times):
    return [[at for at in times if start <= at < start + 1.0] for start in times]


def test_a_cold_upstream_gets_its_share_once_it_is_warm(live):
    call_often(live)
    make_cold(live, "d1")
    time.sleep(COLD_S)
    wait_until(lambda: not any(map(is_cold, live.gateways)))
    live.replica_by_name["d1"].state.accepted_at.clear()
    assert call_often(live).count(200) == CALLS
    assert len(live.replica_by_name["d1"].state.accepted_at) > CALLS / 4


def test_requests_beyond_the_allowance_are_rejected_as_not_run(live):
    call_often(live)
    make_cold(live, "d1")
    make_cold(live, "d2")
    status, headers = 200, {}
    while status == 200:
        status, headers, _ = live.call("GET", "/stock/more", X_Deadline_Ms="200")
    assert status == 503
    assert float(headers["Retry-After"]) > 0
