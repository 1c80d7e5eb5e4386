"""Malicious and malformed requests get a 4xx and do not affect other callers."""

from __future__ import annotations

import json
import socket
from contextlib import suppress

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.live import LiveSite
from tests.processes import call, completion

POST = b"POST /depot-app/orders HTTP/1.1\r\nhost: x\r\n"


@pytest.fixture(scope="module")
def site():
    with LiveSite() as live:
        live.engine("e0")
        live.service("s0")
        live.start()
        yield live


def raw(live: LiveSite, data: bytes, timeout: float = 5) -> bytes:
    """Send bytes and return all data received until the connection closes."""
    with socket.create_connection(("127.0.0.1", live.port()), timeout) as connection:
        connection.sendall(data)
        with suppress(OSError):  # the router may have closed the connection by now
            connection.shutdown(socket.SHUT_WR)
        received = b""
        while chunk := connection.recv(65536):
            received += chunk
        return received


def is_serving_others(live: LiveSite) -> bool:
    return live.call("GET", "/depot-app/stock/abc")[0] == 200


@pytest.mark.parametrize(
    "data",
    [
        POST + b"content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
        b"GET /depot-app/stock/a HTTP/1.1\r\nhost: x\r\n\r\n",
        POST + b"content-length: 4\r\ncontent-length: 5\r\n\r\nabcde",
        POST + b"content-length: +4\r\n\r\nabcd",
        POST + b"transfer-encoding: xchunked\r\n\r\n0\r\n\r\n",
        POST + b"transfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        b"GET /depot-app/stock/a HTTP/1.1\r\nhost: x\r\n"
        + b"a: b\r\n" * 5000
        + b"\r\n",
        b"GET /depot-app/stock/a HTTP/1.1\r\nx: " + b"a" * 40000 + b"\r\n\r\n",
        b"GET " + b"/" + b"a" * 70000 + b" HTTP/1.1\r\n\r\n",
        b"GET /depot-app/stock/a HTTP/1.1\r\nno colon here\r\n\r\n",
        b"nonsense\r\n\r\n",
    ],
)
def test_malformed_messages_are_refused(site, data):
    effects_before = site.state("s0").effects.copy()
    answer = raw(site, data)
    assert not answer.startswith(b"HTTP/1.1 2"), answer[:200]
    assert answer.count(b"HTTP/1.1 200") == 0
    assert site.state("s0").effects == effects_before
    assert is_serving_others(site)


@pytest.mark.parametrize(
    ("method", "path", "headers", "status"),
    [
        ("GET", "/depot-app/stock/../orders", {}, 400),
        ("GET", "/depot-app/stock/%2e%2e/orders", {}, 400),
        ("GET", "/DEPOT/stock/a", {}, 400),
        ("GET", "/depot-app/stock/a", {"x_workspace": "Not A Name"}, 400),
        ("GET", "/depot-app/stock/a", {"x_deadline_seconds": "-1"}, 400),
        ("GET", "/depot-app/stock/a", {"x_deadline_seconds": "nan"}, 400),
        ("POST", "/depot-app/orders", {"idempotency_key": "a b"}, 400),
        ("POST", "/depot-app/orders", {"idempotency_key": "k" * 300}, 400),
        ("DELETE", "/depot-app/orders", {}, 404),
        ("GET", "/v1/streams/none", {"last_event_id": "x"}, 400),
        ("GET", "/v1/streams/none", {"last_event_id": "3"}, 404),
    ],
)
def test_invalid_requests_are_refused(site, method, path, headers, status):
    actual_status, answer_headers, body = site.call(method, path, **headers)
    assert actual_status == status
    error = json.loads(body)["error"]
    assert error["request_id"] == answer_headers["x-request-id"]
    assert is_serving_others(site)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{",
        b"[" * 100_000,
        b'{"model": 3}',
        b'{"model": "advisor-llm"}',
        b'{"model": "advisor-llm", "messages": [1]}',
        b'{"model": "advisor-llm", "messages": []}',
        b'{"model": "depot-app/../x", "messages": [{}]}',
        b"\xff\xfe",
    ],
)
def test_invalid_completions_are_refused(site, body):
    status, _, answer = site.call("POST", "/v1/chat/completions", body)
    assert status == 400, answer
    assert json.loads(answer)["error"]["ran"] == "not_run"


def test_completion_for_a_plain_service_is_refused(site):
    body = {"model": "depot-app", "messages": [{}]}
    assert site.call("POST", "/v1/chat/completions", body)[0] in (400, 404)


def test_caller_cannot_choose_where_a_stream_resumes(site):
    body = completion("x", 4, resume_from=3, resume_text="forged")
    _, _, answer = site.call("POST", "/v1/chat/completions", body)
    assert json.loads(answer)["usage"]["completion_tokens"] == 4


def test_oversized_bodies_are_refused(site):
    status, _, _ = site.call("POST", "/depot-app/orders", b"x" * (1024**2 + 1))
    assert status == 413
    head = POST + b"content-length: 999999999\r\n"
    assert raw(site, head + b"\r\n").startswith(b"HTTP/1.1 413")
    chunk = b"80000\r\n" + b"x" * 0x80000 + b"\r\n"
    head = POST + b"transfer-encoding: chunked\r\n"
    try:
        assert raw(site, head + b"\r\n" + chunk * 6).startswith(b"HTTP/1.1 413")
    except ConnectionError:
        pass  # the router closed the connection before all data was sent
    assert is_serving_others(site)


def test_header_injection_reaches_no_upstream(site):
    data = (
        POST + b"content-length: 0\r\nidempotency-key: a\rx-request-id: forged\r\n\r\n"
    )
    answer = raw(site, data)
    assert b"HTTP/1.1 200" not in answer


def test_slow_clients_do_not_hold_up_others(site):
    slow_connections = [
        socket.create_connection(("127.0.0.1", site.port()), 5) for _ in range(50)
    ]
    for connection in slow_connections:
        connection.sendall(b"GET /depot-app/st")
    assert is_serving_others(site)
    for connection in slow_connections:
        connection.close()


def test_connections_are_bounded():
    with LiveSite() as live:
        live.service("s0")
        live.start()
        router = live.site.router_by_name["r0"]
        router.site._max_connections = 5
        connections = [
            socket.create_connection(("127.0.0.1", live.port()), 5) for _ in range(5)
        ]
        with pytest.raises(OSError):
            call(live.port(), "GET", "/depot-app/stock/a", timeout=3)
        for connection in connections:
            connection.close()


@settings(
    derandomize=True,
    max_examples=60,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(st.binary(min_size=1, max_size=300))
def test_noise_on_the_socket(site, data):
    raw(site, data)
    raw(site, b"POST /depot-app/orders HTTP/1.1\r\n" + data + b"\r\n\r\n")


def test_other_callers_are_served_after_all(site):
    assert is_serving_others(site)
