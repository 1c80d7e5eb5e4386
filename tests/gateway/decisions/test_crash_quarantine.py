"""Tests of the detection of parts that crash upstreams, with a fake clock."""

from __future__ import annotations

from datetime import timedelta

import pytest

from banyansail.gateway.decisions.part_quarantine import PartQuarantine
from banyansail.routing.crash_history import UpstreamCrash
from tests.fakes import FakeClock

SHARED, BAD, OTHER = 1, 2, 3


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def parts(clock):
    return PartQuarantine(clock)


def crash(parts, name, *in_flight, age=0.0):
    parts.record_crash(
        UpstreamCrash(
            name,
            "z",
            fingerprints=frozenset(),
            parts=frozenset(in_flight),
            age=timedelta(seconds=age),
        )
    )


def answer(parts, *part_ids, count=1):
    for _ in range(count):
        reported = parts.record_answer(part_ids)
    return reported


def test_a_part_that_was_never_answered_is_quarantined_after_three_crashes(
    parts, clock
):
    answer(parts, SHARED, count=20)
    for number in range(3):
        assert not parts.is_quarantined(BAD)
        crash(parts, f"u{number}", SHARED, BAD)
    clock.advance(1)
    assert parts.is_quarantined(BAD)
    assert not parts.is_quarantined(SHARED)


def test_a_part_that_was_answered_before_is_quarantined_after_five_crashes(
    parts, clock
):
    answer(parts, SHARED, BAD, count=20)
    for number in range(5):
        assert not parts.is_quarantined(BAD)
        crash(parts, f"u{number}", SHARED, BAD)
        clock.advance(1)
        answer(parts, SHARED)
    assert parts.is_quarantined(BAD)
    assert not parts.is_quarantined(SHARED)


def test_a_shared_part_is_not_quarantined_while_all_upstreams_are_down(parts, clock):
    answer(parts, SHARED, count=20)
    for number in range(8):
        crash(parts, f"u{number}", SHARED, BAD)
        clock.advance(1)
    assert not parts.is_quarantined(SHARED)


def test_a_router_that_has_just_started_does_not_take_a_shared_part_for_a_new_one(
    parts, clock
):
    for number in range(4):
        crash(parts, f"u{number}", SHARED, BAD)
        clock.advance(1)
    assert not parts.is_quarantined(SHARED)


def test_an_answer_at_another_router_clears_a_part(parts, clock):
    answer(parts, OTHER, count=20)
    for number in range(3):
        crash(parts, f"u{number}", SHARED, BAD)
    parts.clear(SHARED, timedelta(0))
    clock.advance(1)
    assert parts.is_quarantined(BAD)
    assert not parts.is_quarantined(SHARED)


def test_an_answer_ends_a_wrong_quarantine(parts, clock):
    answer(parts, OTHER, count=20)
    for number in range(3):
        crash(parts, f"u{number}", SHARED)
    clock.advance(1)
    assert parts.is_quarantined(SHARED)
    parts.clear(SHARED, timedelta(0))
    assert not parts.is_quarantined(SHARED)


def test_an_answer_before_a_crash_does_not_clear_it(parts, clock):
    answer(parts, OTHER, count=20)
    for number in range(3):
        crash(parts, f"u{number}", BAD)
    clock.advance(1)
    parts.clear(BAD, timedelta(seconds=2))
    assert parts.is_quarantined(BAD)


def test_other_routers_are_told_of_an_answer_to_a_part_with_two_crashes(parts):
    crash(parts, "u1", SHARED)
    assert answer(parts, SHARED) == []
    crash(parts, "u2", SHARED)
    crash(parts, "u3", SHARED)
    assert answer(parts, SHARED, OTHER) == [SHARED]
    assert answer(parts, SHARED) == []


def test_a_quarantine_ends(parts, clock):
    answer(parts, OTHER, count=20)
    for number in range(3):
        crash(parts, f"u{number}", BAD)
    clock.advance(1)
    assert parts.quarantines().keys() == {BAD}
    clock.advance(601)
    assert not parts.is_quarantined(BAD)
    assert parts.quarantines() == {}
