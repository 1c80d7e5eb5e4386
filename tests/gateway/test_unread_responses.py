"""Responses that end with their connection, at callers that read them slowly."""

from __future__ import annotations

import socket
import time

import pytest

from tests.gateway.live_gateway import LiveGateway
from tests.gateway.raw_upstream import End, Script
from tests.gateway.test_ends_of_streams import CHUNKED, LAST_CHUNK, chunk, request_bytes

KIB = 1024
EVENTS = [b"id: %d\ndata: %b\n\n" % (n, b"x" * 200 * KIB) for n in range(60)]
HEADER_TIMEOUT_MS = 200
READ_BYTES = 64 * KIB
READ_PAUSE_S = 0.02


@pytest.fixture
def live():
    gateway = LiveGateway(replicas=(), raw_upstreams=("e1",))
    gateway.config["limits"]["headerTimeoutMs"] = HEADER_TIMEOUT_MS
    with gateway:
        stream = b"".join(map(chunk, EVENTS))
        gateway.raw_by_name["e1"].script = Script(
            CHUNKED + stream + LAST_CHUNK, End.KEEP_OPEN
        )
        yield gateway


@pytest.mark.parametrize("more", [b"", b"\r\n"], ids=["nothing", "line end"])
def test_a_complete_response_is_not_cut_by_what_its_slow_caller_sends_after_it(
    live, more
):
    listen = live.gateway.settings.listen
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
        connection.settimeout(10)
        connection.connect((listen.host, listen.port))
        connection.sendall(request_bytes(b"1.0", "/draft/1"))
        received = connection.recv(READ_BYTES)
        time.sleep(1)  # the upstream has ended its answer meanwhile
        connection.sendall(more)
        while data := connection.recv(READ_BYTES):
            received += data
            time.sleep(READ_PAUSE_S)
    body = received.partition(b"\r\n\r\n")[2]
    assert body == b"".join(EVENTS)
