"""Idle connections of a pool, with a played clock and no network."""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock as PlayedReactor
from twisted.internet.testing import StringTransport

from banyansail.config.fields import Address
from banyansail.upstreams.connection import HttpConnection
from banyansail.upstreams.pool import (
    DEFAULT_KEEP_ALIVE_S,
    EXPIRY_INTERVAL_S,
    ConnectionPool,
)
from tests.fakes import FakeClock


class PoolHarness:
    """A pool whose connections have no peer."""

    def __init__(self):
        self.reactor, self.clock = PlayedReactor(), FakeClock()
        self.pool = ConnectionPool(self.reactor, self.clock, Address("127.0.0.1", 1))

    def keep(self, keep_alive_s=None):
        connection = HttpConnection(self.clock, self.pool.keep, lambda closed: None)
        connection.transport = StringTransport()
        connection.keep_alive_s = keep_alive_s
        self.pool.keep(connection)
        return connection

    def advance(self, duration_s, step_s=0.1):
        for _ in range(round(duration_s / step_s)):
            self.clock.advance(step_s)
            self.reactor.advance(step_s)


@pytest.fixture
def harness():
    return PoolHarness()


def test_an_idle_connection_that_is_not_reused_is_closed(harness):
    """Guards against connections that stay open where no request follows."""
    connection = harness.keep()
    harness.advance(DEFAULT_KEEP_ALIVE_S + EXPIRY_INTERVAL_S)
    assert connection.is_closed
    assert not harness.reactor.getDelayedCalls()


def test_an_idle_connection_is_kept_while_it_may_be_reused(harness):
    first, second = harness.keep(), harness.keep(keep_alive_s=30.0)
    harness.advance(DEFAULT_KEEP_ALIVE_S + EXPIRY_INTERVAL_S)
    assert first.is_closed
    assert harness.pool.pop_idle() is second


def test_a_connection_in_use_is_not_closed(harness):
    connection = harness.keep()
    assert harness.pool.pop_idle() is connection
    harness.advance(DEFAULT_KEEP_ALIVE_S + EXPIRY_INTERVAL_S)
    assert not connection.is_closed


def test_a_closed_pool_checks_nothing_more(harness):
    connection = harness.keep()
    harness.pool.close()
    assert connection.is_closed
    assert not harness.reactor.getDelayedCalls()
