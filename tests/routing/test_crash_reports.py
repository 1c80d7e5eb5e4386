"""Tests of the reports of detected crashes with a fake clock."""

from __future__ import annotations

from datetime import timedelta

import pytest

from banyansail.routing.crash_history import UpstreamCrash
from banyansail.routing.crash_reports import MAX_REPORTS, CrashReports
from banyansail.routing.quarantine import Quarantine
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
    reports.add(new_crash("u2", 2))
    reported = reports.report().crashes
    assert [crash.age for crash in reported] == [timedelta(seconds=10), timedelta(0)]
    assert reported[0].id == first.id


def test_old_crashes_are_not_reported(reports, clock):
    reports.add(new_crash("u1", 1))
    clock.advance(121)
    reports.add(new_crash("u2", 2))
    assert [crash.upstream for crash in reports.report().crashes] == ["u2"]


def test_the_number_of_reports_is_limited(reports):
    for number in range(2 * MAX_REPORTS):
        reports.add(new_crash(f"u{number}", number))
    assert len(reports.report().crashes) == MAX_REPORTS


def test_a_report_that_arrives_again_later_is_not_a_new_crash(reports, clock):
    quarantine = Quarantine(clock)
    for seconds in (1, 30, 60):
        reports.add(new_crash(f"other{seconds}", seconds))
        for crash in reports.report().crashes:
            quarantine.record_crash(crash)
        clock.advance(seconds)
    assert not any(quarantine.quarantine_remaining(number) for number in (1, 30, 60))


def test_cleared_subjects_are_reported_with_their_age_for_a_while(reports, clock):
    reports.add_cleared(5)
    clock.advance(10)
    ages = reports.report().age_by_cleared_subject
    assert ages == {5: timedelta(seconds=10)}
    clock.advance(120)
    assert not reports.report().age_by_cleared_subject
