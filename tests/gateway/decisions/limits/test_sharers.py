"""Which routers count as sharers of an allowance of the whole fleet, and may use it."""

from __future__ import annotations

import pytest

from banyansail.gateway.decisions.limits.sharers import (
    LEFT_TIME,
    LIST_VALIDITY,
    MAX_UPDATE_INTERVAL,
    REGISTERED_TIME,
    UNHEARD_TIME,
    Admission,
    Sharers,
)
from tests.fakes import FakeClock
from tests.gateway.builders import seconds

WINDOW = seconds(10)
FRESH, STALE = seconds(0), LIST_VALIDITY + seconds(1)


def admitted(names):
    return dict.fromkeys(names, Admission.ADMITTED)


def update_for(sharers, clock, duration, list_age=FRESH, heard=""):
    for _ in range(int(duration.total_seconds())):
        clock.advance(1)
        sharers.update(list_age, dict.fromkeys(heard, FRESH))


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def sharers(clock):
    sharers = Sharers("a", clock, WINDOW)
    sharers.record_registered(admitted("abc"))
    sharers.update(FRESH, {})
    return sharers


def test_nothing_is_used_before_the_registered_routers_are_known(clock):
    """Guards against a router that takes itself for alone in a fleet."""
    sharers = Sharers("a", clock, WINDOW)
    assert not sharers.may_use
    assert sharers.names(["a"], {}) == {"a"}
    sharers.record_registered(admitted("ab"))
    sharers.update(FRESH, {})
    assert sharers.may_use


def test_registered_and_heard_routers_count_once(sharers):
    assert sharers.names("abd", {}) == set("abcd")


def test_a_silent_router_still_counts(clock, sharers):
    """Guards against parts of a cut fleet that each take the whole allowance."""
    clock.advance(UNHEARD_TIME.total_seconds())
    assert sharers.names("ab", {}) == set("abc")


def test_a_router_that_left_counts_until_its_use_is_out_of_the_window(clock, sharers):
    """Guards against allowances that stay unused after planned stops."""
    left = {"b": LEFT_TIME + seconds(1)}
    assert sharers.ended({}, {"b": LEFT_TIME}) == []
    assert sharers.ended({}, left) == ["b"]
    sharers.record_registered(admitted("ac"))
    update_for(sharers, clock, WINDOW + LIST_VALIDITY + MAX_UPDATE_INTERVAL)
    assert sharers.names("ab", left) == set("abc")
    update_for(sharers, clock, seconds(1))
    assert sharers.names("ab", left) == set("ac")


def test_a_router_that_says_it_stops_counts_while_it_is_registered(sharers):
    """Guards against a router that is kept from stopping and counts nowhere."""
    assert sharers.names("ab", {"b": seconds(30)}) == set("abc")


def test_a_router_that_was_never_heard_of_is_taken_for_ended_after_an_hour(
    clock, sharers
):
    """Guards against shares that shrink with each instance ever replaced."""
    clock.advance(UNHEARD_TIME.total_seconds())
    assert sharers.ended({}, {}) == []
    clock.advance(1)
    assert sharers.ended({"b": seconds(1)}, {}) == ["c"]


def test_entries_of_older_builds_are_forgotten_as_they_are_never_removed(clock):
    sharers = Sharers("a", clock, WINDOW)
    sharers.record_registered({**admitted("a"), "b": Admission.UNSTATED})
    assert sharers.names("a", {}) == set("ab")
    clock.advance(REGISTERED_TIME.total_seconds())
    assert sharers.names("a", {}) == {"a"}


def test_nothing_is_used_with_an_outdated_list_unless_all_others_are_heard_of(sharers):
    """Guards against a router that is cut off and does not know of new ones."""
    sharers.update(STALE, dict.fromkeys("b", FRESH))
    assert not sharers.may_use
    sharers.update(STALE, dict.fromkeys("bc", FRESH))
    assert sharers.may_use


def test_nothing_is_used_without_a_list_by_a_router_that_knows_no_other(clock):
    """Guards against a router that takes an outage of the store for its own fleet."""
    sharers = Sharers("a", clock, WINDOW)
    sharers.record_registered(admitted("a"))
    sharers.update(STALE, {})
    assert not sharers.may_use


def test_nothing_is_used_after_a_freeze_before_the_list_is_known_again(clock, sharers):
    """Guards against a frozen process that goes by what it knew before."""
    clock.advance(30)
    assert not sharers.may_use


def test_a_router_is_admissible_after_a_window_in_which_all_count_it(clock):
    """Guards against retries beyond the budget by routers that join."""
    sharers = Sharers("a", clock, WINDOW)
    sharers.record_registered({"a": Admission.PENDING})
    sharers.update(FRESH, {})
    update_for(sharers, clock, WINDOW + LIST_VALIDITY)
    assert not sharers.is_admissible
    update_for(sharers, clock, seconds(2))
    assert sharers.is_admissible
    assert not sharers.may_use


@pytest.mark.parametrize(
    ("list_age", "heard"), [(STALE, "b"), (FRESH, "")], ids=["no list", "nobody heard"]
)
def test_a_router_that_others_may_not_know_waits_anew(clock, list_age, heard):
    """Guards against a new router that joins behind a cut, or in an outage."""
    sharers = Sharers("a", clock, WINDOW)
    sharers.record_registered({**admitted("b"), "a": Admission.PENDING})
    update_for(sharers, clock, WINDOW, heard="b")
    update_for(sharers, clock, seconds(1), list_age, heard)
    update_for(sharers, clock, WINDOW, heard="b")
    assert not sharers.is_admissible
    update_for(sharers, clock, WINDOW, heard="b")
    assert sharers.is_admissible
