"""Suspects and quarantine over a fake clock."""

from __future__ import annotations

import pytest

from banyansail.routing.quarantine import Quarantine, UpstreamCrash
from tests.fakes import FakeClock

POISON, GOOD = 1, 2


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def quarantine(clock):
    return Quarantine(clock)


def crash(upstream: str, *fingerprints: int, zone: str = "z") -> UpstreamCrash:
    return UpstreamCrash(upstream, zone, frozenset(fingerprints))


def test_second_death_quarantines(quarantine, clock):
    quarantine.record_crash(crash("a", POISON, GOOD))
    assert quarantine.is_suspect(POISON)
    assert quarantine.quarantine_remaining(POISON) is None
    quarantine.record_success(GOOD)
    quarantine.record_crash(crash("b", POISON))
    assert quarantine.quarantine_remaining(POISON) is not None
    assert not quarantine.is_suspect(GOOD)
    clock.advance(601)
    assert quarantine.quarantine_remaining(POISON) is None


def test_one_death_reported_by_several_routers_counts_once(quarantine):
    quarantine.record_crash(crash("a", GOOD))
    quarantine.record_crash(crash("a", POISON))
    quarantine.record_crash(crash("a", GOOD, POISON))
    assert quarantine.quarantine_remaining(GOOD) is None
    assert quarantine.is_suspect(POISON)


def test_wave_clears_what_was_part_of_one_death(quarantine):
    for number in range(6):
        quarantine.record_crash(crash(f"u{number}", 100 + number))
    assert not any(quarantine.is_suspect(100 + number) for number in range(6))


def test_poison_within_a_wave_is_still_found(quarantine):
    for number in range(4):
        fingerprints = [100 + number] + ([POISON] if number < 2 else [])
        quarantine.record_crash(crash(f"u{number}", *fingerprints))
    assert quarantine.quarantine_remaining(POISON) is not None
    assert not quarantine.is_suspect(100)


def test_same_upstream_may_die_again_later(quarantine, clock):
    quarantine.record_crash(crash("a", POISON))
    clock.advance(30)
    quarantine.record_crash(crash("a", POISON))
    assert quarantine.quarantine_remaining(POISON) is not None


def test_suspicion_ends_by_itself(quarantine, clock):
    quarantine.record_crash(crash("a", GOOD))
    clock.advance(121)
    assert not quarantine.is_suspect(GOOD)
