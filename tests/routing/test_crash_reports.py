"""Tests of the reports of detected crashes with a fake clock."""

from __future__ import annotations

from datetime import timedelta

import pytest

from banyansail.routing.crash_reports import MAX_REPORTS, CrashReports
from banyansail.routing.quarantine import Quarantine, UpstreamCrash
from tests.fakes import FakeClock


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def reports(clock):
    return CrashReports(clock)


def new_crash(name: str, *fingerprints: int) -> UpstreamCrash:
    return UpstreamCrash(name, "z", frozenset(fingerprints))


def test_earlier_crashes_are_reported_again_with_their_age(reports, clock):
    first = new_crash("u1", 1)
    reports.add(first)
    clock.advance(10)
    reported = reports.add(new_crash("u2", 2))
    assert [crash.age for crash in reported] == [timedelta(seconds=10), timedelta(0)]
    assert reported[0].id == first.id


def test_old_crashes_are_not_reported(reports, clock):
    reports.add(new_crash("u1", 1))
    clock.advance(121)
    assert [crash.upstream for crash in reports.add(new_crash("u2", 2))] == ["u2"]


def test_the_number_of_reports_is_limited(reports):
    for number in range(2 * MAX_REPORTS):
        reported = reports.add(new_crash(f"u{number}", number))
    assert len(reported) == MAX_REPORTS


def test_a_report_that_arrives_again_later_is_not_a_new_crash(reports, clock):
    quarantine = Quarantine(clock)
    for seconds in (1, 30, 60):
        for crash in reports.add(new_crash(f"other{seconds}", seconds)):
            quarantine.record_crash(crash)
        clock.advance(seconds)
    assert not any(quarantine.quarantine_remaining(number) for number in (1, 30, 60))
