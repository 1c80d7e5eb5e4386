"""A request that did not arrive whole is not executed."""

from __future__ import annotations

import socket

import pytest

from banyansail.router.callers.http_server import MAX_BODY_BYTES
from tests.live import RULES, LiveSite
from tests.router.scripted_upstream import LAST_CHUNK, Received, chunk, read_to_end

HEAD = b"POST /depot-app/orders HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
EXTRA_RULES = [
    "limit depot-app body=4MB  # isla: photos",
    "route depot-app PUT /stock/* repeat=yes priority=5 deadline=5s  # isla: counts",
]


@pytest.fixture(scope="module")
def live():
    with LiveSite([*RULES, *EXTRA_RULES]) as site:
        site.service("s0")
        site.start()
        yield site


def send(live: LiveSite, *parts: bytes) -> Received:
    """Send parts, each in segments of its own, and close the sending direction."""
    with socket.create_connection(("127.0.0.1", live.port()), 20) as connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for part in parts:
            connection.sendall(part)
        connection.shutdown(socket.SHUT_WR)
        return read_to_end(connection)


def test_a_body_that_becomes_too_large_is_not_executed_without_the_rest(live):
    assert live.call("GET", "/depot-app/stock/abc")[0] == 200  # leaves a connection
    calls_before = live.state("s0").calls
    head = CHUNKED.replace(b"POST /depot-app/orders", b"PUT /depot-app/stock/abc")
    almost_full = chunk(b"x" * (MAX_BODY_BYTES - 1))
    received = send(live, head + almost_full, chunk(b"yz") + LAST_CHUNK)
    assert received.head.startswith(b"HTTP/1.1 413")
    assert received.body.count(b"HTTP/1.1") == 0, received.body[-300:]
    assert live.call("GET", "/depot-app/stock/abc")[0] == 200
    assert live.state("s0").calls == calls_before + 1


@pytest.mark.parametrize(
    "request_bytes",
    [
        HEAD + b"content-length: 9\r\n\r\nhalf",
        CHUNKED + chunk(b"half"),
        CHUNKED + b"9\r\nhalf",
        CHUNKED + chunk(b"half") + b"0\r\n",
        HEAD + b"content-length: 4\r\n",
    ],
    ids=["length", "no last chunk", "half a chunk", "half a last chunk", "head"],
)
def test_a_request_that_breaks_off_is_not_executed(live, request_bytes):
    send(live, request_bytes)
    assert live.effects() == {}
