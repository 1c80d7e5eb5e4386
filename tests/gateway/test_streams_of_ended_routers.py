"""Streams that are open when the process of their router ends."""

from __future__ import annotations

import signal
import socket
import time
from pathlib import Path

import pytest

from tests.gateway.live_gateway import HOST, KEY
from tests.gateway.mixed_fleet import MixedFleet
from tests.processes import wait_until

ROOT = Path(__file__).parent.parent.parent
GRACE_S = 4
EVENTS, PAUSE_S = 600, 0.02  # longer than the grace, but not than the route's timeout
EVENTS_BEFORE_THE_END = 5


class ShortGraceFleet(MixedFleet):
    def _settings(self, name):
        return {**super()._settings(name), "grace_s": GRACE_S}


@pytest.fixture
def fleet(tmp_path):
    with ShortGraceFleet(tmp_path, ("e1",)) as fleet:
        fleet.replica_by_name["e1"].state.events = EVENTS
        fleet.replica_by_name["e1"].state.pause_s = PAUSE_S
        fleet.start(ROOT, "front-1")
        yield fleet


def open_stream(fleet, version):
    connection = socket.create_connection(fleet.caller_address("front-1"), timeout=15)
    lines = [
        b"POST /draft/1 HTTP/" + version,
        b"Host: " + HOST.encode(),
        b"Api-Key: " + KEY.encode(),
        b"X-Attempt-Id: a1",
        b"Content-Length: 1",
        b"",
        b"x",
    ]
    connection.sendall(b"\r\n".join(lines))
    return connection


def read_to_end(connection, on_begun):
    """Read all that comes; return it, or raise the error that ends the connection."""
    received = b""
    while data := connection.recv(65536):
        received += data
        if on_begun is not None and received.count(b"id: ") >= EVENTS_BEFORE_THE_END:
            on_begun()
            on_begun = None
    return received


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
def test_a_stream_without_chunks_is_reset_when_its_router_ends(fleet, number):
    process = fleet.programs.process_by_name["front-1"]
    with open_stream(fleet, b"1.0") as connection, pytest.raises(ConnectionResetError):
        read_to_end(connection, lambda: process.send_signal(number))


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
def test_a_stream_in_chunks_has_no_last_chunk_when_its_router_ends(fleet, number):
    process = fleet.programs.process_by_name["front-1"]
    received = b""
    with open_stream(fleet, b"1.1") as connection:
        try:
            received = read_to_end(connection, lambda: process.send_signal(number))
        except ConnectionResetError:
            pass
    assert not received.endswith(b"0\r\n\r\n")


def test_a_stream_without_chunks_that_is_complete_is_closed_in_order(fleet):
    fleet.replica_by_name["e1"].state.events = EVENTS_BEFORE_THE_END
    with open_stream(fleet, b"1.0") as connection:
        received = read_to_end(connection, None)
    assert received.count(b"id: ") == EVENTS_BEFORE_THE_END


def test_a_large_stream_without_chunks_reaches_a_slow_caller_whole(fleet):
    state = fleet.replica_by_name["e1"].state
    state.events, state.pause_s = 20_000, 0.0
    with open_stream(fleet, b"1.0") as connection:
        time.sleep(GRACE_S / 2)
        received = read_to_end(connection, None)
    assert received.count(b"id: ") == 20_000


def test_a_request_that_outlasts_a_planned_stop_gets_a_final_answer(fleet):
    fleet.replica_by_name["e1"].faults.is_silent = True
    process = fleet.programs.process_by_name["front-1"]
    with open_stream(fleet, b"1.1") as connection:
        wait_until(lambda: fleet.replica_by_name["e1"].state.runs)
        process.send_signal(signal.SIGTERM)
        received = read_to_end(connection, None)
    assert received.startswith(b"HTTP/1.1 502 ")
    assert b"connection: close" in received.lower()
