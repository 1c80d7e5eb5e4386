"""Routers that a newer configuration is fetched from."""

from __future__ import annotations

from collections import Counter
from datetime import UTC, datetime
from random import Random

import pytest

from banyansail.config.fields import Address
from banyansail.fleet.entries import Member
from banyansail.gateway.store.config_sources import FETCH_DELAY, ConfigSources
from tests.fakes import FakeClock

FETCH_DELAY_S = FETCH_DELAY.total_seconds()
ZONES = ("dakar-a", "dakar-b", "dakar-c", "dakar-d")


def member(zone, version):
    address = Address("127.0.0.1", 1)
    now = datetime(2026, 12, 6, tzinfo=UTC)
    return Member(zone, "dakar", address, version, now, True, False)


def peers(size, newer):
    """Return routers of four data centres; so many of each know version 2."""
    return {
        f"r{number}": member(ZONES[number % 4], 2 if number // 4 < newer else 1)
        for number in range(size)
    }


def choose(random, clock, known, version=1, zone="dakar-a"):
    sources = ConfigSources(zone, clock, random)
    sources.choose(known, version)
    clock.advance(FETCH_DELAY_S)
    return sources.choose(known, version)


@pytest.mark.parametrize("size", [68, 320])
def test_routers_that_are_behind_do_not_all_ask_the_same_one(size):
    """Guards against one link that carries a configuration to the whole fleet."""
    known = peers(size, newer=3)
    first = Counter(
        choose(Random(number), FakeClock(), known, zone=ZONES[number % 4])[0]
        for number in range(size)
    )
    in_zone = size / len(ZONES)
    assert max(first.values()) < in_zone * 2 / 3


def test_routers_of_the_own_data_centre_are_asked_first():
    known = peers(16, newer=2)
    chosen = choose(Random(1), FakeClock(), known)
    assert [known[name].zone == "dakar-a" for name in chosen] == [True] * 2 + [
        False
    ] * 6


def test_a_change_that_comes_by_itself_is_not_fetched():
    """Guards against each change being sent to each router once more."""
    clock, known = FakeClock(), peers(8, newer=1)
    sources = ConfigSources("dakar-a", clock, Random(1))
    assert sources.choose(known, 1) == []
    clock.advance(FETCH_DELAY_S - 0.01)
    assert sources.choose(known, 1) == []
    assert sources.choose(known, 2) == []
    clock.advance(0.01)
    assert sources.choose(known, 2) == []


def test_a_router_without_a_configuration_asks_at_once():
    sources = ConfigSources("dakar-a", FakeClock(), Random(1))
    assert sources.choose(peers(8, newer=1), 0)


def test_each_version_that_is_missed_has_its_time():
    """Guards against a router that fetches at once as it has been behind before."""
    clock, known = FakeClock(), peers(8, newer=1)
    sources = ConfigSources("dakar-a", clock, Random(1))
    sources.choose(known, 0)
    clock.advance(10.0)
    assert sources.choose(known, 1) == []
