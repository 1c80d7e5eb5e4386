"""Tests of the usual times of answers."""

from __future__ import annotations

import pytest

from banyansail.gateway.moves.answer_times import AnswerTimes
from tests.gateway.builders import seconds

KEY = ("engines", "draft")


@pytest.fixture
def times():
    answer_times = AnswerTimes()
    for _ in range(5):
        answer_times.record(KEY, seconds(0.5))
    return answer_times


def test_an_answer_that_takes_several_times_as_long_as_usual_is_slow(times):
    assert times.is_slow(KEY, seconds(2))
    assert not times.is_slow(KEY, seconds(1))


def test_routes_and_services_are_not_compared_with_each_other(times):
    assert not times.is_slow(("engines", "other"), seconds(2))
    assert not times.is_slow(("depot", "draft"), seconds(2))


def test_nothing_is_slow_before_some_answers():
    times = AnswerTimes()
    times.record(KEY, seconds(0.5))
    assert not times.is_slow(KEY, seconds(60))


def test_a_single_slow_answer_hardly_changes_what_is_usual(times):
    times.record(KEY, seconds(50))
    assert times.is_slow(KEY, seconds(4))


def test_what_is_usual_follows_the_load(times):
    for _ in range(50):
        times.record(KEY, seconds(2))
    assert not times.is_slow(KEY, seconds(4))
