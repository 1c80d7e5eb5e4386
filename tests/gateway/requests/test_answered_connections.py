"""Connections that requests whose id was answered on them before don't use."""

from __future__ import annotations

import pytest
from twisted.internet import defer
from twisted.internet.testing import MemoryReactorClock, StringTransport

from banyansail.config.fields import Address
from banyansail.gateway.decisions.responses.retry_policy import Answered
from banyansail.gateway.requests.attempt import Attempt
from banyansail.gateway.requests.byte_budget import ByteBudget
from banyansail.upstreams.connection import HttpConnection
from banyansail.upstreams.pool import ConnectionPool
from tests.fakes import FakeClock

REFUSAL = (
    b"HTTP/1.1 503 No\r\nX-Attempt-Id: a1\r\nX-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
FAILURE = b"HTTP/1.1 500 No\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n"
EMPTY_STREAM = b"HTTP/1.1 204 No\r\nX-Attempt-Id: a1\r\n\r\n"
SUCCESS = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n"


class Sink:
    def event_received(self, head, event):
        pass


SENDERS = {
    "a retry": {},
    "a continuation": {"sink": Sink(), "last_event_id": "3"},
    "a relay": {"is_id_repeated": False},
}


class Server:
    """A pool whose connections are written to memory."""

    def __init__(self):
        self.reactor, self.clock = MemoryReactorClock(), FakeClock()
        self.pool = ConnectionPool(self.reactor, self.clock, Address("127.0.0.1", 1))

    def idle_connection(self):
        connection = HttpConnection(self.clock, self.pool.keep, lambda closed: None)
        connection.transport = StringTransport()
        connection.keep_alive_s = 30.0
        self.pool.keep(connection)
        return connection

    def send(self, attempt_id="a1", sink=None, **options):
        """Send a request; return a list that will hold its outcome."""
        attempt = Attempt(
            self.pool,
            attempt_id,
            sink,
            lambda head: None,
            lambda head: None,
            ByteBudget(100),
            **options,
        )
        outcomes = []
        running = defer.Deferred.fromCoroutine(
            attempt.run(b"GET", b"/", [(b"host", b"h")], b"")
        )
        running.addBoth(outcomes.append)
        return outcomes

    def exchange(self, connection, answer, **options):
        """Send a request over an idle connection, and answer it."""
        outcomes = self.send(**options)
        assert connection.is_busy
        connection.dataReceived(answer)
        assert outcomes


@pytest.fixture
def server():
    return Server()


@pytest.mark.parametrize(
    "answer", [REFUSAL, FAILURE, SUCCESS], ids=["refusal", "failure", "success"]
)
@pytest.mark.parametrize("sender", SENDERS)
def test_a_request_does_not_go_where_a_copy_of_its_answer_may_come(
    server, answer, sender
):
    """Guards against a copy of an answer that is taken for the next one (TWICE)."""
    connection = server.idle_connection()
    server.exchange(connection, answer)
    server.send(**SENDERS[sender])
    assert not connection.is_busy
    assert len(server.reactor.tcpClients) == 1


def test_an_answer_without_the_events_of_a_stream_may_be_copied_too(server):
    connection = server.idle_connection()
    server.exchange(connection, EMPTY_STREAM, sink=Sink())
    server.exchange(connection, SUCCESS.replace(b"a1", b"a2"), attempt_id="a2")
    server.send()
    assert not connection.is_busy


@pytest.mark.parametrize("status", [b"421", b"429", b"503"])
def test_the_refused_request_is_remembered_beyond_the_next_one(server, status):
    connection = server.idle_connection()
    server.exchange(connection, REFUSAL.replace(b"503", status))
    server.exchange(connection, SUCCESS.replace(b"a1", b"a2"), attempt_id="a2")
    server.send()
    assert not connection.is_busy


def test_a_refused_request_goes_over_another_idle_connection(server):
    first, second = server.idle_connection(), server.idle_connection()
    server.exchange(second, REFUSAL)
    server.send()
    assert (first.is_busy, second.is_busy) == (True, False)
    assert not second.is_closed
    assert not server.reactor.tcpClients


def test_connections_that_a_request_skips_are_kept_for_others(server):
    """Guards against connections that stay open and are in no pool (maxConns)."""
    connections = [server.idle_connection() for _ in range(4)]
    for connection in connections[1:]:
        connection.answered_ids.add("a1", is_success=False)
    server.send()
    assert connections[0].is_busy
    used = [server.pool.pop_idle() for _ in connections[1:]]
    assert used == connections[:0:-1]


def test_a_connection_that_refused_a_request_serves_others(server):
    """Guards against a new connection for each refusal."""
    connection = server.idle_connection()
    server.exchange(connection, REFUSAL)
    outcomes = server.send(attempt_id="a2")
    connection.dataReceived(SUCCESS.replace(b"a1", b"a2"))
    assert isinstance(outcomes[0], Answered)
    assert not server.reactor.tcpClients


def test_a_request_that_skips_connections_leaves_no_more_of_them_open(server):
    """Guards against connections beyond those that an upstream accepts (maxConns)."""
    connections = [server.idle_connection() for _ in range(3)]
    for connection in connections:
        connection.answered_ids.add("a1", is_success=False)
    server.send()
    assert len(server.reactor.tcpClients) == 1
    assert [connection.is_closed for connection in connections] == [True, False, False]


def test_a_connection_that_can_remember_no_more_refusals_is_closed(server):
    """Guards against memory that grows, and against a refusal that is forgotten."""
    connection = server.idle_connection()
    count = 0
    while not connection.is_closed and count < 10_000:
        count += 1
        answer = REFUSAL.replace(b"a1", b"r%d" % count)
        server.exchange(connection, answer, attempt_id=f"r{count}")
        assert f"r{count}" in connection.answered_ids
    assert connection.is_closed
    assert server.pool.pop_idle() is None
