"""Responses that end with their connection, at callers that read them slowly."""

from __future__ import annotations

import socket
import time

import pytest

from tests.gateway.live_gateway import LiveGateway
from tests.gateway.raw_upstream import End, Script
from tests.gateway.test_ends_of_streams import CHUNKED, LAST_CHUNK, chunk, request_bytes
from tests.live import in_reactor

KIB = 1024
EVENTS = [b"id: %d\ndata: %b\n\n" % (n, b"x" * 200 * KIB) for n in range(60)]
FEW_EVENTS = EVENTS[:8]  # fit into the buffers of the kernel
HEADER_TIMEOUT_MS = 200
READ_BYTES = 64 * KIB
READ_PAUSE_S = 0.02


@pytest.fixture
def live():
    gateway = LiveGateway(replicas=(), raw_upstreams=("e1",))
    gateway.config["limits"]["headerTimeoutMs"] = HEADER_TIMEOUT_MS
    with gateway:
        yield gateway


def stream(live, events):
    answer = CHUNKED + b"".join(map(chunk, events)) + LAST_CHUNK
    live.raw_by_name["e1"].script = Script(answer, End.KEEP_OPEN)


def read_slowly(live, on_begun):
    """Read a response, and call `on_begun` with its connection; return the body."""
    listen = live.gateway.settings.listen
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
        connection.settimeout(10)
        connection.connect((listen.host, listen.port))
        connection.sendall(request_bytes(b"1.0", "/draft/1"))
        received = connection.recv(READ_BYTES)
        time.sleep(1)  # the upstream has ended its answer meanwhile
        on_begun(connection)
        while data := connection.recv(READ_BYTES):
            received += data
            time.sleep(READ_PAUSE_S)
    return received.partition(b"\r\n\r\n")[2]


@pytest.mark.parametrize("more", [b"", b"\r\n"], ids=["nothing", "line end"])
def test_a_complete_response_is_not_cut_by_what_its_slow_caller_sends_after_it(
    live, more
):
    stream(live, EVENTS)
    body = read_slowly(live, lambda connection: connection.sendall(more))
    assert body == b"".join(EVENTS)


@pytest.mark.parametrize("events", [FEW_EVENTS, EVENTS], ids=["few", "many"])
def test_a_complete_response_is_not_cut_by_a_stop_while_its_slow_caller_reads(
    live, events
):
    def close_idle_connections(connection):
        for _ in range(4):  # as a router that drains
            in_reactor(live.gateway.servers.close_idle_connections)
            time.sleep(0.05)

    stream(live, events)
    assert read_slowly(live, close_idle_connections) == b"".join(events)
