"""Which runs migrate from an engine that is reclaimed with more than it can copy."""

from __future__ import annotations

import random
from datetime import timedelta

import pytest

from banyansail.gateway.decisions.streams.migration_order import (
    RunInProgress,
    order_migrations,
)
from banyansail.gateway.decisions.streams.stream_pace import StreamPace

SECOND = timedelta(seconds=1)


def run(name, *, is_resumable=False, tokens=1000, time_to_end=10 * SECOND):
    return RunInProgress(name, is_resumable, tokens, time_to_end)


def names(runs, time_left=2 * SECOND):
    return [item.attempt_id for item in order_migrations(runs, time_left)]


def test_runs_that_can_not_be_resumed_go_first_and_short_ones_before_long_ones():
    runs = [
        run("report", is_resumable=True, tokens=500),
        run("long", tokens=12_000),
        run("short", tokens=800),
    ]
    assert names(runs) == ["short", "long", "report"]


def test_runs_that_end_in_time_stay():
    """Guards against copies that carry what would have been done anyway."""
    runs = [run("soon", time_to_end=SECOND), run("late", time_to_end=1.9 * SECOND)]
    assert names(runs) == ["late"]


def test_all_go_from_an_engine_whose_time_is_not_known():
    runs = [run("a", time_to_end=timedelta(0)), run("b", time_to_end=None)]
    assert names(runs, time_left=None) == ["a", "b"]


def test_none_goes_when_there_is_no_time_left():
    assert names([run("a")], time_left=timedelta(milliseconds=50)) == []


@pytest.mark.parametrize("seed", range(5))
def test_more_are_saved_than_in_the_order_of_arrival(seed):
    """Load: 60 streams at an engine whose link carries 8 s of copies in 2 s."""
    rng = random.Random(seed)
    runs = [
        run(
            str(number),
            is_resumable=rng.random() < 0.4,
            tokens=rng.choice((800, 2400, 12_000)),
        )
        for number in range(60)
    ]

    def lost(order):
        budget = 0.25 * sum(item.tokens for item in runs)
        saved = set()
        for item in order:
            if item.tokens > budget:
                break
            budget -= item.tokens
            saved.add(item.attempt_id)
        return sum(
            item.attempt_id not in saved and not item.is_resumable for item in runs
        )

    assert lost(order_migrations(runs, 2 * SECOND)) < lost(runs)


def test_the_pace_of_a_stream_tells_its_end():
    pace = StreamPace()
    pace.record(SECOND)
    assert pace.time_to_end(10) is None
    pace.record(1.5 * SECOND)
    assert pace.time_to_end(10) == 4 * SECOND
    assert pace.time_to_end(1) == timedelta(0)
