"""Waiting for an event for a limited time."""

from __future__ import annotations

from datetime import timedelta

from twisted.internet import defer
from twisted.internet.task import Clock as ReactorClock

from banyansail.gateway.store.waiters import Waiters

LONGEST = timedelta(seconds=2)


def start(waiters):
    """Start to wait; return the deferred and what it adds to when it goes on."""
    done = []

    async def wait():
        await waiters.wait(LONGEST)
        done.append(True)

    return defer.Deferred.fromCoroutine(wait()), done


def test_all_that_wait_go_on_at_the_event():
    reactor = ReactorClock()
    waiters = Waiters(reactor)
    _, first = start(waiters)
    _, second = start(waiters)
    assert len(waiters) == 2
    waiters.wake()
    assert first == second == [True]
    assert len(waiters) == 0
    assert reactor.getDelayedCalls() == []


def test_a_wait_ends_when_its_time_is_over():
    reactor = ReactorClock()
    waiters = Waiters(reactor)
    _, done = start(waiters)
    reactor.advance(1.9)
    assert done == []
    reactor.advance(0.1)
    assert done == [True]
    assert len(waiters) == 0


def test_a_cancelled_wait_leaves_nothing():
    reactor = ReactorClock()
    waiters = Waiters(reactor)
    deferred, done = start(waiters)
    deferred.addErrback(lambda failure: failure.trap(defer.CancelledError))
    deferred.cancel()
    assert done == []
    assert len(waiters) == 0
    assert reactor.getDelayedCalls() == []
