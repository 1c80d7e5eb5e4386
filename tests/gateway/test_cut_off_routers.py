"""A running gateway that reaches its callers and the others, but no upstream."""

from __future__ import annotations

import time

import pytest

from tests.gateway.cut_reactor import Cut
from tests.gateway.live_gateway import LiveGateway

CONTACT_S = 3.0  # from the begin of a cut, by the platform's rule
SERVED_SHARE = 2 / 3  # of what other routers serve, by the same rule
CALLS = 12


@pytest.fixture(params=list(Cut), ids=lambda cut: cut.value)
def live(request):
    """Two gateways; the first has used its connections and is cut off now."""
    with LiveGateway(routers=2) as live:
        for number in range(4):
            live.call("GET", f"/stock/before{number}")
            live.call("POST", f"/draft/before{number}", b"x")
        live.cut_off(request.param)
        live.call("GET", "/stock/begin")  # what shows the cut
        time.sleep(CONTACT_S)
        yield live


def served(answers):
    return sum(1 for status, _, _ in answers if status == 200)


def test_a_router_cut_off_from_all_upstreams_serves_lookups(live):
    answers = [live.call("GET", f"/stock/{number}") for number in range(CALLS)]
    assert served(answers) >= SERVED_SHARE * CALLS


def test_a_router_cut_off_from_all_upstreams_serves_orders_once(live):
    answers = [
        live.call("POST", f"/orders/{number}", b"x", X_Attempt_Id=f"o{number}")
        for number in range(CALLS)
    ]
    assert served(answers) >= SERVED_SHARE * CALLS
    runs = [name for name in live.runs() if name.startswith("o")]
    assert len(set(runs)) == len(runs)


def test_a_router_cut_off_from_all_upstreams_serves_streams(live):
    answers = [live.call("POST", f"/draft/{number}", b"x") for number in range(CALLS)]
    assert served(answers) >= SERVED_SHARE * CALLS
    for status, _, body in answers:
        if status == 200:
            assert body.count(b"id: ") == 5
