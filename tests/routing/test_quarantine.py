"""Tests of suspects and quarantine with a fake clock."""

from __future__ import annotations

from datetime import timedelta

import pytest

from banyansail.routing.crash_history import UpstreamCrash
from banyansail.routing.quarantine import Quarantine
from tests.fakes import FakeClock

POISON_FINGERPRINT, HARMLESS_FINGERPRINT = 1, 2


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def quarantine(clock):
    return Quarantine(clock)


def new_crash(upstream: str, *fingerprints: int, zone: str = "z") -> UpstreamCrash:
    return UpstreamCrash(upstream, zone, frozenset(fingerprints))


def test_second_crash_quarantines(quarantine, clock):
    quarantine.record_crash(new_crash("a", POISON_FINGERPRINT, HARMLESS_FINGERPRINT))
    assert quarantine.is_suspect(POISON_FINGERPRINT)
    assert quarantine.quarantine_remaining(POISON_FINGERPRINT) is None
    quarantine.record_success(HARMLESS_FINGERPRINT)
    quarantine.record_crash(new_crash("b", POISON_FINGERPRINT))
    assert quarantine.quarantine_remaining(POISON_FINGERPRINT) is not None
    assert not quarantine.is_suspect(HARMLESS_FINGERPRINT)
    clock.advance(601)
    assert quarantine.quarantine_remaining(POISON_FINGERPRINT) is None


def test_one_crash_reported_by_several_routers_counts_once(quarantine):
    quarantine.record_crash(new_crash("a", HARMLESS_FINGERPRINT))
    quarantine.record_crash(new_crash("a", POISON_FINGERPRINT))
    quarantine.record_crash(new_crash("a", HARMLESS_FINGERPRINT, POISON_FINGERPRINT))
    assert quarantine.quarantine_remaining(HARMLESS_FINGERPRINT) is None
    assert quarantine.is_suspect(POISON_FINGERPRINT)


def test_correlated_crashes_clear_requests_of_a_single_crash(quarantine):
    for number in range(6):
        quarantine.record_crash(new_crash(f"u{number}", 100 + number))
    assert not any(quarantine.is_suspect(100 + number) for number in range(6))


def test_poison_request_among_correlated_crashes_is_quarantined(quarantine):
    for number in range(4):
        fingerprints = [100 + number] + ([POISON_FINGERPRINT] if number < 2 else [])
        quarantine.record_crash(new_crash(f"u{number}", *fingerprints))
    assert quarantine.quarantine_remaining(POISON_FINGERPRINT) is not None
    assert not quarantine.is_suspect(100)


def test_second_crash_of_the_same_upstream_counts(quarantine, clock):
    quarantine.record_crash(new_crash("a", POISON_FINGERPRINT))
    clock.advance(30)
    quarantine.record_crash(new_crash("a", POISON_FINGERPRINT))
    assert quarantine.quarantine_remaining(POISON_FINGERPRINT) is not None


def test_suspicion_expires(quarantine, clock):
    quarantine.record_crash(new_crash("a", HARMLESS_FINGERPRINT))
    clock.advance(121)
    assert not quarantine.is_suspect(HARMLESS_FINGERPRINT)


def test_request_that_crashes_upstreams_among_many_other_crashes_is_quarantined(
    quarantine, clock
):
    for number in range(3):
        quarantine.record_crash(new_crash(f"poisoned{number}", POISON_FINGERPRINT))
        for other in range(3):
            quarantine.record_crash(new_crash(f"other{number}.{other}"))
        clock.advance(6)
    assert quarantine.quarantine_remaining(POISON_FINGERPRINT) is not None


def test_rare_request_that_crashes_upstreams_is_quarantined(quarantine, clock):
    quarantine.record_crash(new_crash("a", POISON_FINGERPRINT))
    clock.advance(300)
    quarantine.record_crash(new_crash("b", POISON_FINGERPRINT))
    assert quarantine.quarantine_remaining(POISON_FINGERPRINT) is not None


def test_crashes_expire(quarantine, clock):
    quarantine.record_crash(new_crash("a", HARMLESS_FINGERPRINT))
    clock.advance(601)
    quarantine.record_crash(new_crash("b", HARMLESS_FINGERPRINT))
    assert quarantine.quarantine_remaining(HARMLESS_FINGERPRINT) is None


def test_old_report_counts_at_the_time_of_its_crash(quarantine, clock):
    crash = UpstreamCrash("a", "z", frozenset({1}), age=timedelta(seconds=119))
    quarantine.record_crash(crash)
    assert quarantine.is_suspect(1)
    clock.advance(2)
    assert not quarantine.is_suspect(1)


def test_crash_without_requests_is_new_information_once(quarantine):
    assert quarantine.record_crash(new_crash("a"))
    assert not quarantine.record_crash(new_crash("a"))
