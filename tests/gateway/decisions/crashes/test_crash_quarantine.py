"""Tests of the detection of parts that crash upstreams, with a fake clock."""

from __future__ import annotations

from contextlib import contextmanager
from datetime import timedelta

import eliot
import pytest

from banyansail.gateway.decisions.crashes.crash_quarantine import (
    CrashQuarantine,
    PartSubject,
    RequestSubject,
)
from banyansail.routing.crash_history import UpstreamCrash
from tests.fakes import FakeClock

SHARED, BAD, OTHER = PartSubject(1), PartSubject(2), PartSubject(3)
REQUEST, OTHER_REQUEST = RequestSubject(1), RequestSubject(2)


@contextmanager
def destination(receive):
    eliot.add_destinations(receive)
    try:
        yield
    finally:
        eliot.remove_destination(receive)


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def quarantine(clock):
    return CrashQuarantine(clock)


def crash(quarantine, name, *in_flight, age=0.0):
    quarantine.record_crash(
        UpstreamCrash(
            name,
            "z",
            fingerprints=hashes(in_flight, RequestSubject),
            parts=hashes(in_flight, PartSubject),
            age=timedelta(seconds=age),
        )
    )


def hashes(subjects, kind):
    return frozenset(item.hash for item in subjects if isinstance(item, kind))


def answer(quarantine, *parts, count=1, request=OTHER_REQUEST):
    for _ in range(count):
        reported = quarantine.record_answer(request, parts)
    return reported


def test_a_part_that_was_never_answered_is_quarantined_after_three_crashes(
    quarantine, clock
):
    answer(quarantine, SHARED, count=20)
    for number in range(3):
        assert not quarantine.is_quarantined(BAD)
        crash(quarantine, f"u{number}", SHARED, BAD)
    clock.advance(1)
    assert quarantine.is_quarantined(BAD)
    assert not quarantine.is_quarantined(SHARED)


def test_a_part_that_was_answered_before_is_quarantined_after_five_crashes(
    quarantine, clock
):
    answer(quarantine, SHARED, BAD, count=20)
    for number in range(5):
        assert not quarantine.is_quarantined(BAD)
        crash(quarantine, f"u{number}", SHARED, BAD)
        clock.advance(1)
        answer(quarantine, SHARED)
    assert quarantine.is_quarantined(BAD)
    assert not quarantine.is_quarantined(SHARED)


def test_a_shared_part_is_not_quarantined_while_all_upstreams_are_down(
    quarantine, clock
):
    answer(quarantine, SHARED, count=20)
    for number in range(8):
        crash(quarantine, f"u{number}", SHARED, BAD)
        clock.advance(1)
    assert not quarantine.is_quarantined(SHARED)


def test_a_router_that_has_just_started_does_not_take_a_shared_part_for_a_new_one(
    quarantine, clock
):
    for number in range(4):
        crash(quarantine, f"u{number}", SHARED, BAD)
        clock.advance(1)
    assert not quarantine.is_quarantined(SHARED)


def test_an_answer_at_another_router_clears_a_part(quarantine, clock):
    answer(quarantine, OTHER, count=20)
    for number in range(3):
        crash(quarantine, f"u{number}", SHARED, BAD)
    quarantine.clear(SHARED, timedelta(0))
    clock.advance(1)
    assert quarantine.is_quarantined(BAD)
    assert not quarantine.is_quarantined(SHARED)


def test_an_answer_ends_a_wrong_quarantine(quarantine, clock):
    answer(quarantine, OTHER, count=20)
    for number in range(3):
        crash(quarantine, f"u{number}", SHARED)
    clock.advance(1)
    assert quarantine.is_quarantined(SHARED)
    quarantine.clear(SHARED, timedelta(0))
    assert not quarantine.is_quarantined(SHARED)


def test_an_answer_before_a_crash_does_not_clear_it(quarantine, clock):
    answer(quarantine, OTHER, count=20)
    for number in range(3):
        crash(quarantine, f"u{number}", BAD)
    clock.advance(1)
    quarantine.clear(BAD, timedelta(seconds=2))
    assert quarantine.is_quarantined(BAD)


def test_other_routers_are_told_of_an_answer_to_a_part_with_two_crashes(quarantine):
    crash(quarantine, "u1", SHARED)
    assert answer(quarantine, SHARED) == set()
    crash(quarantine, "u2", SHARED)
    crash(quarantine, "u3", SHARED)
    assert answer(quarantine, SHARED, OTHER) == {SHARED}
    assert answer(quarantine, SHARED) == set()


def test_a_quarantine_ends(quarantine, clock):
    answer(quarantine, OTHER, count=20)
    for number in range(3):
        crash(quarantine, f"u{number}", BAD)
    clock.advance(1)
    assert quarantine.quarantines().keys() == {BAD}
    clock.advance(601)
    assert not quarantine.is_quarantined(BAD)
    assert quarantine.quarantines() == {}


def test_a_request_is_quarantined_after_three_crashes(quarantine, clock):
    for number in range(3):
        crash(quarantine, f"u{number}", REQUEST)
        assert not quarantine.is_quarantined(REQUEST)
    clock.advance(1)
    assert quarantine.is_quarantined(REQUEST)
    assert not quarantine.is_quarantined(PartSubject(REQUEST.hash))


def test_a_request_sent_often_that_many_crashes_broke_off_is_not_quarantined(
    quarantine, clock
):
    """Its next answer, perhaps at another router, comes before the verdict."""
    for number in range(7):
        crash(quarantine, f"u{number}", REQUEST)
    assert answer(quarantine, request=REQUEST) == {REQUEST}
    clock.advance(1)
    assert not quarantine.is_quarantined(REQUEST)


def test_an_answer_ends_the_quarantine_of_a_request(quarantine, clock):
    quarantine.restore(REQUEST, timedelta(minutes=5))
    assert quarantine.is_quarantined(REQUEST)
    assert answer(quarantine, request=REQUEST) == {REQUEST}
    assert not quarantine.is_quarantined(REQUEST)


def test_the_log_names_what_is_quarantined_as_rejections_do(quarantine, clock):
    messages = []
    with destination(messages.append):
        for number in range(3):
            crash(quarantine, f"u{number}", RequestSubject(255))
        clock.advance(1)
        quarantine.is_quarantined(RequestSubject(255))
    assert [item["subject"] for item in messages] == ["00000000000000ff"]
