from __future__ import annotations

import http.client
import threading

import pytest

from tests.gateway.live_gateway import LiveGateway
from tests.live import in_reactor
from tests.processes import wait_until


@pytest.fixture
def live():
    with LiveGateway() as gateway:
        yield gateway


def start_stopping(live):
    """Stop the gateway in a new thread; return the thread once draining started."""
    stopping = threading.Thread(target=in_reactor, args=(live.gateway.stop_gracefully,))
    stopping.start()
    wait_until(lambda: live.gateway.request_handler.is_leaving)
    return stopping


def test_a_planned_stop_cuts_off_nothing(live):
    for replica in live.replica_by_name.values():
        replica.state.events, replica.state.pause_s = 30, 0.1
    answers = []
    caller = threading.Thread(
        target=lambda: answers.append(live.call("POST", "/draft/1", b"notes"))
    )
    caller.start()
    wait_until(lambda: live.gateway.request_handler.in_progress)
    stopping = start_stopping(live)
    assert not live.gateway.is_ready
    late_status, late_headers, _ = live.call("POST", "/orders/late", b"x")
    caller.join()
    stopping.join()
    assert late_status == 200
    assert late_headers["Connection"] == "close"
    status, _, body = answers[0]
    assert status == 200
    assert body.count(b"id: ") == 30


def test_a_kept_connection_is_closed_while_it_is_idle(live):
    connection = live.connect()
    live.call("POST", "/orders/1", b"x", connection=connection)
    stopping = start_stopping(live)
    connection.sock.settimeout(8)
    assert connection.sock.recv(1) == b""
    stopping.join()


def test_a_request_after_draining_is_rejected_without_running(live):
    live.gateway.request_handler.is_accepting = False
    status, headers, _ = live.call("POST", "/orders/1", b"x")
    assert status == 503
    assert float(headers["Retry-After"]) < 1
    assert live.runs() == []


def test_a_stopped_gateway_accepts_no_connections(live):
    start_stopping(live).join()
    with pytest.raises((ConnectionError, http.client.HTTPException)):
        live.call("GET", "/stock/1")
