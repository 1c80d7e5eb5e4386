"""A running gateway that reaches its callers and the others, but no upstream."""

from __future__ import annotations

import socket
import time

import pytest

from banyansail.platform.site import decode_config
from tests.gateway.cut_reactor import Cut
from tests.gateway.live_gateway import HOST, KEY, LiveGateway, config_body
from tests.live import in_reactor
from tests.processes import wait_until

CONTACT_S = 3.0  # from the begin of a cut, by the platform's rule
SERVED_SHARE = 2 / 3  # of what other routers serve, by the same rule
CALLS = 12
ANSWERED = (
    "banyansail_requests_total",
    {"route": "stock", "outcome": "upstream_200"},
)


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


def test_a_relayed_request_is_charged_and_counted_once(live):
    workspace = {"name": "clerks", "apiKeys": [KEY], "ratePerS": 1000, "burst": 1000}
    live.store.state.put(
        "config", "main", spec=config_body(version=2, tenants=[workspace])
    )
    wait_until(lambda: all(gateway.site.version == 2 for gateway in live.gateways))
    used_before, begun_before = used(live), begun(live)
    for number in range(CALLS):
        assert live.call("GET", f"/stock/charged{number}")[0] == 200
    assert used(live) - used_before == CALLS
    assert begun(live) - begun_before == CALLS


def used(live):
    """Return the quota units charged to the workspace by all gateways."""
    return sum(
        gateway.quota.used_by_workspace.get("clerks", 0) for gateway in live.gateways
    )


def begun(live):
    """Return the requests counted as begun by all gateways."""
    return sum(
        count
        for gateway in live.gateways
        for count_by_workspace in gateway.context.usage.own_counts.values()
        for count in count_by_workspace.values()
    )


def test_a_caller_that_leaves_ends_its_request_at_the_upstream(live):
    for replica in live.replica_by_name.values():
        replica.state.events, replica.state.pause_s = 1000, 0.05
    connection = live.connect()
    headers = {"Host": HOST, "Api-Key": KEY, "X-Attempt-Id": "leaves"}
    connection.request("POST", "/draft/leaves", b"x", headers)
    connection.getresponse().read(10)
    connection.sock.shutdown(socket.SHUT_RDWR)
    connection.close()
    replicas = live.replica_by_name.values()
    wait_until(lambda: any(item.state.disconnect_count for item in replicas))


def test_a_healed_router_uses_its_own_connections_again(live):
    live.call("GET", "/stock/relayed")
    live.heal()
    wait_until(lambda: not live.gateway.context.reach.is_cut_off)
    other = live.other_gateways[0].context.metrics
    before = other.registry.get_sample_value(*ANSWERED)
    assert live.call("GET", "/stock/healed")[0] == 200
    assert other.registry.get_sample_value(*ANSWERED) == before


def test_a_router_that_is_cut_off_too_relays_nothing(live):
    relay = live.gateway.context.relays
    assert live.call("GET", "/stock/relayed")[0] == 200  # shows the cut
    assert relay.choose(set()) is not None
    other = live.other_gateways[0]
    in_reactor(lambda: other.context.reach.record_check(has_contact=False))
    wait_until(lambda: relay.choose(set()) is None)


def test_callers_cannot_say_how_often_a_request_may_have_run():
    with LiveGateway() as live:
        name = {"Banyansail_Possible_Runs": "9"}
        assert live.call("GET", "/stock/1", **name)[0] == 200
        sent = [
            headers
            for r in live.replica_by_name.values()
            for headers in r.state.headers
        ]
        assert all("banyansail-possible-runs" not in headers for headers in sent)
        live.set_faults("d", fails=True)
        live.call("GET", "/stock/2", **name)
        assert live.runs().count("a-stock-2") == 2


def test_a_relayed_order_that_times_out_is_not_said_not_to_have_run(live):
    for replica in live.replica_by_name.values():
        replica.state.pause_s = 3.0  # longer than the route's timeout
    status, _, _ = live.call("POST", "/orders/late", b"x", X_Attempt_Id="late")
    assert "late" in live.runs()
    assert status == 504


@pytest.mark.parametrize(
    "older", [config_body(routes=[]), config_body(tenants=[])], ids=["route", "key"]
)
@pytest.mark.parametrize(("method", "path"), [("GET", "/stock/"), ("POST", "/orders/")])
def test_a_relay_that_is_behind_does_not_deny_requests(live, older, method, path):
    """Guards against 404 and 401 for a route and a key that this router knows."""
    older = {**older, "tenants": older["tenants"] or [{"name": "x", "apiKeys": ["x"]}]}
    (other,) = live.other_gateways
    in_reactor(setattr, other.request_handler, "site", decode_config(older))
    for number in range(CALLS):
        status = live.call(method, f"{path}{number}", b"x")[0]
        assert status not in (401, 404)
