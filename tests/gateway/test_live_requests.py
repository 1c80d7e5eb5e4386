from __future__ import annotations

import http.client
import socket
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from banyansail.platform.calls import decode_call
from tests.gateway.builders import upstream
from tests.gateway.live_gateway import HOST, KEY, LiveGateway, config_body
from tests.live import in_reactor
from tests.processes import wait_until


@pytest.fixture
def live():
    with LiveGateway() as gateway:
        yield gateway


def test_a_lookup_gets_the_answer_of_the_upstream(live):
    status, headers, body = live.call("GET", "/stock/blades?n=2", X_Deadline_Ms="900")
    assert (status, body) == (200, b"GET /stock/blades?n=2 ")
    assert headers["X-Replica-Stamp"].endswith("a-stock-blades?n=2")
    seen = [
        headers
        for replica in live.replica_by_name.values()
        for headers in replica.state.headers
    ]
    assert len(seen) == 1
    assert seen[0]["x-tenant"] == "clerks"
    assert "api-key" not in seen[0]
    assert 0 < int(seen[0]["x-deadline-ms"]) <= 900


def test_headers_that_the_router_sets_are_not_accepted_from_the_caller(live):
    forged = {
        "X_Tenant": "others",
        "X_Expect_Replica": "none",
        "X_Hold": "1",
        "Kv_From": "10.0.0.1:1/x",
    }
    status, _, _ = live.call("POST", "/orders/1", b"blades", **forged)
    assert status == 200
    (seen,) = [
        headers
        for replica in live.replica_by_name.values()
        for headers in replica.state.headers
    ]
    assert seen["x-tenant"] == "clerks"
    assert "x-hold" not in seen
    assert "kv-from" not in seen


def test_a_chunked_body_reaches_the_upstream_completely(live):
    chunks = (b"a" * 1000 for _ in range(30))
    status, _, body = live.call("POST", "/orders/2", chunks)
    assert status == 200
    assert body.endswith(b"a" * 30_000)


def test_unknown_routes_and_keys_are_rejected(live):
    assert live.call("GET", "/none/1")[0] == 404
    assert live.call("GET", "/stock/1", Api_Key="other")[0] == 401
    assert live.runs() == []


def test_a_failed_lookup_runs_again_and_an_order_does_not(live):
    live.set_faults("d", fails=True)
    assert live.call("GET", "/stock/1")[0] == 500
    assert live.runs() == ["a-stock-1"] * 2
    assert live.call("POST", "/orders/1", b"x")[0] == 500
    assert live.runs().count("a-orders-1") == 1


def test_an_order_whose_answer_is_lost_is_not_reported_as_not_run(live):
    live.set_faults("d", cuts_before_answer=True)
    status, headers, _ = live.call("POST", "/orders/1", b"x")
    assert status == 502
    assert "retry-after" not in {name.lower() for name in headers}
    assert live.runs() == ["a-orders-1"]


def test_an_order_that_no_upstream_accepts_is_rejected_as_not_run(live):
    live.set_faults("d", is_full=True)
    status, headers, _ = live.call("POST", "/orders/1", b"x")
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert live.runs() == []


def test_an_order_is_retried_at_a_reachable_upstream(live):
    in_reactor(live.running_by_name["d1"].kill)
    for number in range(6):
        assert live.call("POST", f"/orders/{number}", b"x")[0] == 200


def test_an_answer_to_another_request_is_skipped(live):
    live.set_faults("d", sends_stray_answer=True)
    status, _, body = live.call("POST", "/orders/1", b"x")
    assert (status, body) == (200, b"POST /orders/1 x")


def test_a_stream_is_delivered_completely_and_in_order(live):
    status, headers, body = live.call("POST", "/draft/1", b"notes")
    assert status == 200
    assert headers["Content-Type"] == "text/event-stream"
    assert [line for line in body.split(b"\n") if line.startswith(b"id")] == [
        b"id: %d" % number for number in range(1, 6)
    ]


def test_a_stream_that_breaks_does_not_look_complete(live):
    live.set_faults("e", cuts_at_event=3)
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        live.call("POST", "/draft/1", b"notes")
    assert live.runs() == ["a-draft-1"]


def test_a_stream_that_may_be_resumed_goes_on_at_another_upstream(live):
    live.set_faults("e1", cuts_at_event=3)
    live.set_faults("e2", cuts_at_event=0)
    for number in range(4):
        _, _, body = live.call("POST", f"/draft/resumable/{number}", b"notes")
        ids = [line for line in body.split(b"\n") if line.startswith(b"id")]
        assert ids == [b"id: %d" % item for item in range(1, 6)]
    assert any(
        headers.get("last-event-id") == "2"
        for headers in live.replica_by_name["e2"].state.headers
    )


def test_a_caller_that_leaves_ends_the_work(live):
    for replica in live.replica_by_name.values():
        replica.state.events = 1000
    connection = live.connect()
    connection.request(
        "POST", "/draft/1", b"n", {"Host": HOST, "Api-Key": KEY, "X-Attempt-Id": "x"}
    )
    connection.getresponse().read(20)
    connection.close()  # with the response; the socket alone would stay open
    wait_until(
        lambda: any(
            item.state.disconnect_count for item in live.replica_by_name.values()
        ),
    )


def test_a_route_that_moves_is_followed_and_a_version_never_goes_back(live):
    routes = config_body()["routes"][1:]
    in_reactor(
        live.store.state.put, "config", "main", spec=config_body(3, routes=routes)
    )
    wait_until(lambda: live.gateway.site.version == 3)
    assert live.call("GET", "/stock/1")[0] == 404
    in_reactor(live.store.state.put, "config", "main", spec=config_body(2))
    in_reactor(live.store.state.put, "config", "main", spec=config_body(4))
    wait_until(lambda: live.gateway.site.version == 4)
    assert live.call("GET", "/stock/1")[0] == 200


def test_a_leaving_upstream_gets_no_new_work(live):
    address = live.running_by_name["d1"].address
    in_reactor(live.announce, "d1", address, "draining")
    wait_until(lambda: live.gateway.dispatcher.load_of("d1").upstream.is_leaving)
    for number in range(10):
        live.call("GET", f"/stock/{number}")
    assert live.replica_by_name["d1"].state.runs == []


def test_requests_are_served_while_the_store_is_down(live):
    live.store.faults.is_down = True
    for number in range(5):
        assert live.call("POST", f"/orders/{number}", b"x")[0] == 200


def test_a_keep_alive_connection_carries_many_requests(live):
    connection = live.connect()
    for number in range(5):
        path = f"/orders/{number}"
        status, _, body = live.call("POST", path, b"x", connection=connection)
        assert (status, body) == (200, f"POST {path} x".encode())


def test_metrics_count_answers(live):
    live.call("GET", "/stock/1")
    live.call("GET", "/none/1")
    address = live.gateway.settings.metrics
    connection = http.client.HTTPConnection(address.host, address.port, timeout=5)
    connection.request("GET", "/metrics")
    text = connection.getresponse().read().decode()
    assert 'outcome="upstream_200",route="stock"} 1.0' in text
    assert 'outcome="no_route",route=""} 1.0' in text
    assert 'banyansail_first_byte_seconds_count{service="depot"} 1.0' in text
    assert "banyansail_config_version 1.0" in text


def test_changes_are_received_soon_after_the_store_stopped_responding(live):
    """A watch that was sent before the store stopped responding is never answered."""
    live.store.faults.is_silent = True
    live.call("GET", "/stock/1")
    in_reactor(live.store.state.put, "config", "main", spec=config_body(5))
    wait_until(lambda: live.gateway.store_probe._is_unreachable)
    live.store.faults.is_silent = False
    # Changes are due within 2 s of the platform, plus 3 s after an outage.
    wait_until(lambda: live.gateway.site.version == 5, timeout=5)


def arrivals(live, name):
    return len(live.replica_by_name[name].state.arrivals)


def test_an_upstream_that_says_it_leaves_gets_no_more_requests(live):
    """The store still lists it as ready."""
    live.set_faults("d", is_leaving=True)
    live.call("GET", "/stock/0")
    (leaving,) = [name for name in ("d1", "d2") if arrivals(live, name)]
    live.set_faults("d", is_leaving=False)
    for number in range(30):
        live.call("GET", f"/stock/{number}")
    assert arrivals(live, leaving) == 1


def test_the_running_stream_of_an_upstream_that_leaves_is_not_cut(live):
    live.set_faults("e", is_leaving=True)
    status, _, body = live.call("POST", "/draft/1", b"x")
    assert status == 200
    assert b"part 5" in body


def test_a_mark_of_leaving_holds_for_one_incarnation(live):
    live.set_faults("d", is_leaving=True)
    statuses = [live.call("GET", f"/stock/{number}")[0] for number in range(3)]
    assert statuses == [200, 200, 503]
    live.set_faults("d", is_leaving=False)
    address = live.running_by_name["d1"].address
    in_reactor(live.announce, "d1", address, "ready", 2)
    wait_until(lambda: live.call("GET", "/stock/4")[0] == 200)
    assert (arrivals(live, "d1"), arrivals(live, "d2")) == (2, 1)


def test_an_upstream_that_asks_for_a_pause_gets_no_more_requests(live):
    def announce_other(state, born):
        address = live.running_by_name["d2"].address
        in_reactor(live.announce, "d2", address, state, born)

    def is_other_usable():
        load = live.gateway.dispatcher.load_of("d2")
        return load is not None and not load.upstream.is_leaving

    announce_other("draining", 1)
    wait_until(lambda: not is_other_usable())
    live.set_faults("d1", is_full=True, retry_after="60")
    assert live.call("GET", "/stock/0")[0] == 503
    announce_other("ready", 2)
    wait_until(is_other_usable)
    for number in range(30):
        assert live.call("GET", f"/stock/{number}")[0] == 200
    assert arrivals(live, "d1") == 1


def test_a_request_is_rejected_as_not_run_while_all_upstreams_pause(live):
    live.set_faults("d", is_full=True, retry_after="60")
    live.call("POST", "/orders/0", b"x")
    live.call("POST", "/orders/1", b"x")
    status, headers, _ = live.call("POST", "/orders/2", b"x")
    assert status == 503
    assert 50 < float(headers["Retry-After"]) <= 60
    assert arrivals(live, "d1") == arrivals(live, "d2") == 1


def test_a_lookup_whose_only_upstream_stays_silent_ends_as_a_timeout():
    """The retry finds no other upstream, so that the attempt's timeout decides."""
    with LiveGateway(replicas=("d1", "e1")) as live:
        live.replica_by_name["d1"].state.pause_s = 5.0
        status, headers, _ = live.call("GET", "/stock/1")
        assert status == 504
        assert "Retry-After" not in headers


def raw_connection(live):
    listen = live.gateway.settings.listen
    connection = socket.create_connection((listen.host, listen.port), timeout=10)
    connection.settimeout(10)
    return connection


def set_limits(live, **limits):
    body = config_body(version=2, limits={"idleTimeoutMs": 5000, **limits})
    in_reactor(lambda: live.store.state.put("config", "main", spec=body))
    wait_until(lambda: live.gateway.site.version == 2)


def test_headers_that_never_end_are_rejected_though_bytes_keep_coming(live):
    set_limits(live, headerTimeoutMs=600)
    with raw_connection(live) as connection:
        connection.sendall(b"GET /stock/1 HTTP/1.1\r\n")
        connection.settimeout(0.1)
        received = b""
        for number in range(100):
            try:
                connection.sendall(b"X-%d: 1\r\n" % number)
                received = connection.recv(1000)
                break
            except TimeoutError:
                continue
        assert received.startswith(b"HTTP/1.1 408 ")
    assert live.runs() == []


def test_a_kept_connection_may_be_idle_for_longer_than_headers_may_take(live):
    set_limits(live, headerTimeoutMs=200)
    connection = live.connect()
    assert live.call("GET", "/stock/1", connection=connection)[0] == 200
    time.sleep(0.5)
    assert live.call("GET", "/stock/2", connection=connection)[0] == 200


def test_a_body_above_the_configured_limit_is_rejected_without_being_run(live):
    set_limits(live, maxBodyBytes=1000)
    assert live.call("POST", "/orders/1", b"x" * 1000)[0] == 200
    with raw_connection(live) as connection:
        connection.sendall(
            b"POST /orders/2 HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n"
        )
        assert connection.recv(1000).startswith(b"HTTP/1.1 413 ")
    assert live.runs() == ["a-orders-1"]


def test_a_request_quarantined_while_it_waits_is_not_sent(live):
    for replica in live.replica_by_name.values():
        replica.state.pause_s = 0.5
    with ThreadPoolExecutor() as threads:
        running = [
            threads.submit(live.call, "POST", f"/draft/{number}", b"x")
            for number in range(8)
        ]
        wait_until(lambda: len(live.runs()) == 8)
        waiting = threads.submit(live.call, "POST", "/draft/crashes", b"x")
        wait_until(lambda: live.gateway.request_handler.in_progress == 9)
        fields = [(b"Host", HOST.encode()), (b"Api-Key", KEY.encode())]
        call = decode_call(b"POST", b"/draft/crashes", fields, b"x")
        for name in ("u1", "u2", "u3"):
            in_reactor(
                live.gateway.context.crash_guard.record_crash,
                upstream(name),
                call,
            )
        assert waiting.result()[0] == 500
        assert [future.result()[0] for future in running] == [200] * 8
    assert "a-draft-crashes" not in live.runs()
