"""Which routers count as sharers of an allowance of the whole fleet."""

from __future__ import annotations

import pytest

from banyansail.gateway.decisions.limits.sharers import REGISTERED_TIME, Sharers
from tests.fakes import FakeClock
from tests.gateway.builders import seconds

WINDOW = seconds(10)


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def sharers(clock):
    sharers = Sharers(clock, WINDOW)
    sharers.record_registered(["a", "b", "c"])
    return sharers


def test_the_fleet_is_not_complete_before_the_registered_routers_are_known():
    """Guards against a router that takes itself for alone in a fleet."""
    sharers = Sharers(FakeClock(), WINDOW)
    assert not sharers.is_complete
    assert sharers.names(["a"], {}) == {"a"}
    sharers.record_registered(["a", "b"])
    assert sharers.is_complete


def test_registered_and_heard_routers_count_once(sharers):
    assert sharers.names("abd", {}) == set("abcd")


def test_a_silent_router_still_counts(sharers):
    """Guards against parts of a cut fleet that each take the whole allowance."""
    assert sharers.names("ab", {}) == set("abc")


def test_a_router_that_left_counts_until_its_use_is_out_of_the_window(sharers):
    """Guards against allowances that stay unused after planned stops."""
    assert sharers.names("ab", {"b": seconds(9)}) == set("abc")
    assert sharers.names("ab", {"b": seconds(11)}) == set("ac")


def test_registered_routers_that_are_never_heard_of_are_forgotten(clock, sharers):
    """Guards against shares that shrink with each instance ever replaced."""
    clock.advance(REGISTERED_TIME.total_seconds())
    assert sharers.names("ab", {}) == set("ab")


def test_a_restored_store_takes_no_router_away(sharers):
    sharers.record_registered(["a"])
    assert sharers.names("a", {}) == set("abc")
