"""Requests whose headers arrive while the router does not run."""

from __future__ import annotations

import socket
import time

import pytest

from tests.gateway.live_gateway import HOST, KEY, LiveGateway, config_body
from tests.live import in_reactor
from tests.processes import wait_until

HEADER_TIMEOUT_S = 0.3
PROMISES = (b"HTTP/1.1 408", b"HTTP/1.1 429", b"HTTP/1.1 503", b"HTTP/1.1 421")


@pytest.fixture
def live():
    with LiveGateway() as gateway:
        limits = {"idleTimeoutMs": 5000, "headerTimeoutMs": HEADER_TIMEOUT_S * 1000}
        in_reactor(
            lambda: gateway.store.state.put(
                "config", "main", spec=config_body(2, limits=limits)
            )
        )
        wait_until(lambda: gateway.gateway.site.version == 2)
        yield gateway


def send_across_a_pause(live, attempt, first, rest):
    """Send the rest while the router does not run, until its answer ends."""
    listen = live.gateway.settings.listen
    with socket.create_connection((listen.host, listen.port)) as connection:
        connection.sendall(first)
        time.sleep(0.05)  # the first part is read
        in_reactor(lambda: (connection.sendall(rest), time.sleep(2 * HEADER_TIMEOUT_S)))
        connection.settimeout(3)
        return connection.recv(65536)


@pytest.mark.parametrize("is_warm", [False, True])
@pytest.mark.parametrize("split", [1, 20, -2])
def test_a_request_that_is_refused_as_late_does_not_run(live, split, is_warm):
    """Guards against 408 beside a run, after a freeze of the router."""
    if is_warm:
        live.call("POST", "/orders/warm", b"x")
    attempt = f"late{split}"
    head = (
        f"POST /orders/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
        f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
    ).encode()
    answer = send_across_a_pause(live, attempt, head[:split], head[split:])
    time.sleep(0.3)
    has_run = attempt in live.runs()
    assert not (has_run and answer.startswith(PROMISES))
    assert answer.startswith((*PROMISES, b"HTTP/1.1 200"))
