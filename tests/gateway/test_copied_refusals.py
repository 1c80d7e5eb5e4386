"""Copies of refusals, sent where the answer to the same request is due."""

from __future__ import annotations

import re
from concurrent.futures import ThreadPoolExecutor

import pytest
from twisted.internet import reactor

from tests.gateway.live_gateway import LiveGateway
from tests.gateway.raw_upstream import RawConnection, RawUpstream
from tests.live import in_reactor
from tests.processes import wait_until

BODY = b"own body"
OWN = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Replica-Stamp: s\r\n"
    b"Content-Length: 8\r\n\r\n" + BODY
)
REFUSAL = (
    b"HTTP/1.1 %d No\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
RUN_S = 0.2  # from the copy to the answer that is due


class CopyingConnection(RawConnection):
    """Sends the copy of each refusal before the next answer on its connection."""

    copy = b""

    def dataReceived(self, data):
        found = re.search(rb"(?i)x-attempt-id: *(\S+)", data)
        attempt = found.group(1) if found else b""
        refused = self.factory.refuses(attempt, data)
        copy, self.copy = self.copy, b""
        self.transport.write(copy)
        if refused is not None:
            self.copy = refused.replace(b"{id}", attempt)
            self.transport.write(self.copy)
            return
        self.factory.runs.append(attempt.decode())
        self.factory.begin(attempt, self)


class CopyingUpstream(RawUpstream):
    """Refuses what is sent to another name, and some more requests once each."""

    protocol = CopyingConnection

    def __init__(self, name):
        super().__init__()
        self.name = name
        self.runs: list[str] = []
        self.refused_once = {}  # status by id
        self.held = None

    def refuses(self, attempt, data):
        """Return the refusal of a request; ``None`` if it runs."""
        expected = re.search(rb"(?i)x-expect-replica: *(\S+)", data)
        if expected and expected.group(1) != self.name.encode():
            return REFUSAL % 421
        status = self.refused_once.pop(attempt.decode(), None)
        return None if status is None else REFUSAL % status

    def begin(self, attempt, connection):
        """Run a request; one whose id begins with "hold" runs until it is released."""
        answer = OWN.replace(b"{id}", attempt)

        def finish():
            if connection in self.connections:
                connection.transport.write(answer)

        if attempt.startswith(b"hold"):
            self.held = finish
        else:
            reactor.callLater(RUN_S, finish)

    def release(self):
        """Answer the request that is held."""
        self.held, finish = None, self.held
        finish()


class Fleet:
    """A gateway before upstreams with one slot each, whose requests are played."""

    def __init__(self, live):
        self.live = live
        self.by_name = {}
        self.pool = ThreadPoolExecutor()

    def add(self, name):
        upstream = self.by_name[name] = in_reactor(lambda: CopyingUpstream(name))
        self.announce(name, upstream.address)
        return upstream

    def announce(self, name, address):
        in_reactor(lambda: self.live.announce(name, address, slots=1))
        wait_until(lambda: self.live.gateway.dispatcher.load_of(name))

    def order(self, attempt):
        return self.pool.submit(
            self.live.call, "POST", "/orders/1", b"x", X_Attempt_Id=attempt
        )

    def hold(self, name):
        """Occupy the slot of an upstream."""
        self.order(f"hold-{name}")
        wait_until(lambda: self.by_name[name].held)

    def release(self, name):
        in_reactor(self.by_name[name].release)

    def runs_of(self, attempt):
        return [
            upstream.name
            for upstream in self.by_name.values()
            for run in upstream.runs
            if run == attempt
        ]

    def close(self):
        for upstream in self.by_name.values():
            in_reactor(upstream.stop)
        self.pool.shutdown()


@pytest.fixture
def fleet():
    with LiveGateway(replicas=("e1",)) as live:
        fleet = Fleet(live)
        yield fleet
        fleet.close()


def take_over_address(fleet):
    """Let an order be refused by the successor of its upstream, and wait for it."""
    new = fleet.add("d2")
    fleet.hold("d2")
    fleet.announce("d1", new.address)  # the entry of the one that has ended
    order = fleet.order("o1")
    state = fleet.live.gateway.dispatcher.state("depot")
    wait_until(lambda: state.waiting)
    return order


def test_an_order_is_not_refused_by_the_copy_of_its_refusal_by_a_successor(fleet):
    """Guards against a promise to the caller of an order that runs (REFUSED)."""
    order = take_over_address(fleet)
    fleet.release("d2")
    assert order.result()[::2] == (200, BODY)
    assert fleet.runs_of("o1") == ["d2"]


def test_an_order_does_not_run_again_for_the_copy_of_its_refusal_by_a_successor(fleet):
    """Guards against an order that is sent elsewhere while it runs (TWICE)."""
    fleet.add("d3")
    fleet.hold("d3")
    order = take_over_address(fleet)
    fleet.release("d2")
    wait_until(lambda: fleet.runs_of("o1"))
    fleet.release("d3")
    assert order.result()[::2] == (200, BODY)
    assert fleet.runs_of("o1") == ["d2"]


@pytest.mark.parametrize("status", [421, 429, 503])
def test_an_id_that_a_caller_uses_again_is_not_refused_by_a_copy(fleet, status):
    upstream = fleet.add("d1")
    upstream.refused_once["o1"] = status
    assert fleet.order("o1").result()[0] == 503
    assert fleet.order("o1").result()[::2] == (200, BODY)
    assert fleet.runs_of("o1") == ["d1"]
