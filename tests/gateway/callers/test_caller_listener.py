import socket
import subprocess
import sys

import pytest
from twisted.internet.task import Clock

from banyansail.config.fields import Address
from banyansail.exceptions import ListenError
from banyansail.gateway.callers.caller_listener import (
    MAX_HOLD_TIME,
    CallerListener,
    open_listener,
)

LOOPBACK = "127.0.0.1"


class AdoptingClock(Clock):
    """Clock that records which sockets are adopted and which ports are closed."""

    def __init__(self):
        super().__init__()
        self.adopted = []
        self.stopped = []

    def adoptStreamPort(self, descriptor, family, factory):  # noqa: N802
        self.adopted.append((descriptor, family, factory))
        return self

    def stopListening(self):  # noqa: N802
        self.stopped.append(True)


@pytest.fixture
def listener():
    with open_listener(Address(LOOPBACK, 0)) as listener:
        yield listener


def test_connections_wait_until_requests_can_be_served(listener):
    """Guards against requests that are refused as the configuration is not there."""
    clock = AdoptingClock()
    ready = []
    held = CallerListener(clock, listener, "factory", lambda: bool(ready))
    held.start()
    clock.pump([0.01] * 10)
    assert clock.adopted == []
    ready.append(True)
    clock.advance(0.01)
    assert [factory for _, _, factory in clock.adopted] == ["factory"]
    clock.advance(MAX_HOLD_TIME.total_seconds())
    assert len(clock.adopted) == 1
    assert listener.fileno() == -1  # the reactor has a copy


def test_connections_do_not_wait_longer_than_the_bound(listener):
    """Guards against callers that are kept waiting while the store is away."""
    clock = AdoptingClock()
    CallerListener(clock, listener, "factory", lambda: False).start()
    steps = int(MAX_HOLD_TIME.total_seconds() / 0.01) + 2
    clock.pump([0.01] * steps)
    assert len(clock.adopted) == 1


def test_a_stop_closes_a_socket_that_is_not_served_yet(listener):
    """Guards against a check that adopts a closed socket after the stop."""
    clock = AdoptingClock()
    held = CallerListener(clock, listener, "factory", lambda: False)
    held.start()
    held.stopListening()
    assert listener.fileno() == -1
    clock.advance(MAX_HOLD_TIME.total_seconds() + 1)
    assert clock.adopted == []


def test_a_stop_closes_the_port_that_is_served(listener):
    clock = AdoptingClock()
    held = CallerListener(clock, listener, "factory", lambda: True)
    held.start()
    held.stopListening()
    assert clock.stopped == [True]


def test_callers_connect_before_anything_is_served(listener):
    """Guards against connections that are refused while the router starts."""
    with socket.create_connection(listener.getsockname(), timeout=5) as caller:
        caller.sendall(b"GET / HTTP/1.1\r\n\r\n")


def test_an_address_in_use_is_named(listener):
    address = Address(*listener.getsockname())
    with pytest.raises(ListenError, match=str(address)):
        open_listener(address)


def test_the_socket_is_opened_before_the_server_is_loaded():
    """Guards against imports that callers wait for with a refused connection."""
    code = "import banyansail.gateway.__main__, sys; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    late = (
        "twisted",
        "capnp",
        "eliot",
        "prometheus_client",
        "banyansail.gateway.router",
    )
    assert [name for name in late if name in loaded] == []
