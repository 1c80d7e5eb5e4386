"""Connections of calls of an engine's interface, which requests use too."""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock

from banyansail.config.fields import Address
from banyansail.gateway.decisions.streams.migration import Copied
from banyansail.platform.engine_calls import copy_run, free_copy
from tests.fakes import run_now


class UsedConnection:
    """Idle connection on which a late answer to a request comes before the next one."""

    def send_request(self, method, target, headers, body, receiver):
        receiver.head_received(200, b"OK", [(b"X-Attempt-Id", b"other")])
        receiver.body_received(b'{"handle": "foreign"}')
        receiver.answer_complete()


class NewConnection:
    def __init__(self, calls):
        self.calls = calls
        self.is_closed = False

    def close(self):
        self.is_closed = True

    def send_request(self, method, target, headers, body, receiver):
        self.calls.append(target)
        receiver.head_received(200, b"OK", [])
        receiver.body_received(b'{"handle": "own"}')
        receiver.answer_complete()


class Pool:
    address = Address("127.0.0.1", 80)

    def __init__(self):
        self.calls: list[bytes] = []
        self.connections: list[NewConnection] = []

    def pop_idle(self):
        return UsedConnection()

    async def connect(self):
        self.connections.append(NewConnection(self.calls))
        return self.connections[-1]


@pytest.mark.parametrize("stops", [False, True])
def test_a_copy_is_not_known_by_an_answer_to_something_else(stops):
    """Guards against a run that goes on from the memory of another one (MIXED)."""
    reply = run_now(copy_run(Clock(), Pool(), "a1", Pool.address, stops=stops))
    assert reply == Copied("own")


def test_a_copy_is_freed_over_a_new_connection():
    """Guards against a call whose answer meets the next request on the connection."""
    pool = Pool()
    run_now(free_copy(Clock(), pool, "h-1"))
    assert pool.calls == [b"/v1/kv-handle/h-1"]


def test_the_connection_of_a_call_is_not_used_by_the_run_that_it_copied():
    """Guards against the copy of a refusal that names the run (TWICE)."""
    pool = Pool()
    run_now(copy_run(Clock(), pool, "a1", Pool.address, stops=True))
    assert [connection.is_closed for connection in pool.connections] == [True]
