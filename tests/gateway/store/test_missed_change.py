"""Configurations that other routers pass on and the watch does not bring."""

from __future__ import annotations

from banyansail.gateway.store.missed_change import MISSED_AFTER, MissedChange
from tests.fakes import FakeClock

MISSED_AFTER_S = MISSED_AFTER.total_seconds()


def test_a_version_is_missed_once_if_the_watch_does_not_bring_it():
    """Guards against watches that are sent again without end."""
    clock = FakeClock()
    missed = MissedChange(clock)
    assert not missed.is_due(2, 1)
    clock.advance(MISSED_AFTER_S - 0.01)
    assert not missed.is_due(2, 1)
    clock.advance(0.01)
    assert missed.is_due(2, 1)
    clock.advance(10 * MISSED_AFTER_S)
    assert not missed.is_due(2, 1)


def test_a_version_that_the_watch_brings_late_is_not_missed():
    clock = FakeClock()
    missed = MissedChange(clock)
    assert not missed.is_due(2, 1)
    clock.advance(MISSED_AFTER_S)
    assert not missed.is_due(2, 2)


def test_each_version_has_its_time():
    """Guards against a version that counts as missed as soon as it is known."""
    clock = FakeClock()
    missed = MissedChange(clock)
    assert not missed.is_due(2, 1)
    clock.advance(MISSED_AFTER_S)
    assert not missed.is_due(3, 1)
    clock.advance(MISSED_AFTER_S)
    assert missed.is_due(3, 1)
