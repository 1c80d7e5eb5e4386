"""Which routers watch the store: few, everywhere the same, and replaced on failure."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from datetime import UTC, datetime

import pytest

from banyansail.config.fields import Address
from banyansail.fleet.entries import NO_FEATURES, Feature, Member
from banyansail.gateway.store.watchers import (
    ASKED_TIME,
    AVOID_TIME,
    WatcherChoice,
    count_store_watchers,
)
from tests.fakes import FakeClock

WATCHERS = 3


def member(zone="glasgow", **options):
    values = {
        "zone": zone,
        "region": "scotland",
        "peer": Address("10.0.0.1", 1),
        "rules_version": 1,
        "rules_since": datetime(2026, 12, 4, tzinfo=UTC),
        "is_ready": True,
        "is_leaving": False,
        "features": Feature.RELAYS_STORE_CHANGES,
    }
    return Member(**{**values, **options})


class Zone:
    """The routers of a data centre, each with its own choice."""

    def __init__(self, size, zone="glasgow"):
        self.clock = FakeClock()
        self.members = {f"r{number}": member(zone) for number in range(size)}
        self.choices = {
            name: WatcherChoice(name, zone, WATCHERS, self.clock)
            for name in self.members
        }

    def roles(self):
        return {
            name: choice.choose(self.members) for name, choice in self.choices.items()
        }

    def watchers(self):
        return {name for name, role in self.roles().items() if role.is_watcher}


@pytest.mark.parametrize("size", [1, 3])
def test_in_a_small_data_centre_all_watch_and_retry_as_before(size):
    """A follower there would add a failure without saving a call."""
    for role in Zone(size).roles().values():
        assert role.is_watcher
        assert role.is_first
        assert not role.is_shared
        assert role.followed == ()


@pytest.mark.parametrize("size", [16, 33])
def test_a_large_data_centre_has_three_watchers_and_one_that_retries_soon(size):
    """More watchers would cost calls; none that retries would delay a recovery."""
    zone = Zone(size)
    roles = zone.roles()
    watchers = zone.watchers()
    assert len(watchers) == WATCHERS
    assert sum(role.is_first for role in roles.values()) == 1
    for name, role in roles.items():
        if name not in watchers:
            assert len(role.followed) == 2
            assert set(role.followed) <= watchers


@pytest.mark.parametrize("size", [16, 33])
def test_followers_are_spread_over_the_watchers(size):
    """A watcher that all others follow would spend its processor share on them."""
    roles = Zone(size).roles()
    followers = Counter(name for role in roles.values() for name in role.followed)
    assert len(followers) == WATCHERS
    assert max(followers.values()) <= size - WATCHERS
    assert min(followers.values()) >= (size - WATCHERS) / 3


def test_routers_of_other_data_centres_do_not_count():
    zone = Zone(3)
    zone.members |= {f"far-{number}": member("leeds") for number in range(30)}
    assert zone.watchers() == {"r0", "r1", "r2"}


@pytest.mark.parametrize(
    "state",
    [{"is_ready": False}, {"is_leaving": True}, {"features": NO_FEATURES}],
    ids=["not ready", "leaving", "older build"],
)
def test_a_router_that_can_not_be_followed_is_not_chosen(state):
    """Followers of a router that stops, or does not know the call, learn nothing."""
    zone = Zone(16)
    (first, *_) = zone.watchers()
    zone.members[first] = replace(zone.members[first], **state)
    for name, role in zone.roles().items():
        assert first not in role.followed, name
    assert len(zone.watchers() - {first}) == WATCHERS


def test_routers_watch_themselves_while_all_others_are_of_an_older_build():
    zone = Zone(16)
    zone.members = {
        name: replace(item, features=NO_FEATURES) for name, item in zone.members.items()
    }
    assert zone.watchers() == set(zone.members)


def test_a_watcher_that_fails_is_replaced_at_once_and_returns_later():
    """Its heartbeats end only after 15 s; configurations are due within 3 s."""
    zone = Zone(16)
    watchers = zone.watchers()
    follower = next(name for name in zone.members if name not in watchers)
    choice = zone.choices[follower]
    before = choice.choose(zone.members)
    choice.record_failure(before.followed[0])
    after = choice.choose(zone.members)
    assert after.is_watcher or before.followed[0] not in after.followed
    zone.clock.advance(AVOID_TIME.total_seconds())
    assert choice.choose(zone.members) == before


@pytest.mark.parametrize("size", [16, 33])
def test_a_router_that_is_asked_watches_though_it_knows_of_no_failure(size):
    """Without it, a follower would take the place of a watcher by hearsay for good."""
    zone = Zone(size)
    failed = zone.watchers()
    choice = next(zone.choices[name] for name in zone.members if name not in failed)
    for name in failed:
        choice.record_failure(name)
    role = choice.choose(zone.members)
    for name in role.followed:
        zone.choices[name].record_request()
        assert zone.choices[name].choose(zone.members).is_watcher
    zone.clock.advance(max(ASKED_TIME, AVOID_TIME).total_seconds())
    assert zone.watchers() == failed


def test_few_routers_stand_in_while_no_watcher_reaches_the_store():
    """If all did, each outage of the store would end with calls of all routers."""
    zone = Zone(33)
    stand_ins = set()
    choice = next(
        zone.choices[name] for name in zone.members if name not in zone.watchers()
    )
    for _ in range(20):
        role = choice.choose(zone.members)
        stand_ins |= set(role.followed)
        for name in role.followed:
            choice.record_failure(name)
    assert len(stand_ins) <= 2 * WATCHERS


def test_without_the_setting_all_watch():
    clock = FakeClock()
    members = {f"r{number}": member() for number in range(16)}
    role = WatcherChoice("r1", "glasgow", 0, clock).choose(members)
    assert role.is_watcher
    assert role.followed == ()


def test_the_routers_that_call_the_store_are_counted_by_data_centre():
    members = {f"g{number}": member() for number in range(16)}
    members |= {f"l{number}": member("leeds") for number in range(2)}
    assert count_store_watchers(members, 3, 18) == 5
    assert count_store_watchers(members, 0, 18) == 18
