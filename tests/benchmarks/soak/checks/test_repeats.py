"""The checks of TWICE find a second run, and a run that goes on too long."""

from __future__ import annotations

import pytest

from benchmarks.soak.checks.overlaps import MAX_OVERLAP_S, OverlapCheck
from benchmarks.soak.checks.repeats import RepeatCheck
from benchmarks.soak.records import GIVEN_UP_S, Kind, RunEnd
from tests.benchmarks.soak.histories import (
    fault_of,
    findings_of,
    response_of,
    run_of,
)

JUST_S = 0.01


@pytest.mark.parametrize("kind", [Kind.ORDERS, Kind.DRAFT])
def test_a_second_run_is_found(kind):
    runs = (run_of(end=RunEnd.RESET), run_of("e2", 11.0))
    assert len(findings_of(RepeatCheck, response_of(kind=kind), *runs)) == 1


@pytest.mark.parametrize("kind", [Kind.STOCK, Kind.RESUMABLE])
def test_an_idempotent_request_may_run_again(kind):
    runs = (run_of(end=RunEnd.RESET), run_of("e2", 11.0))
    assert findings_of(RepeatCheck, response_of(kind=kind), *runs) == []


def test_a_run_that_moved_is_the_same_run():
    runs = (run_of(end=RunEnd.STOPPED), run_of("e2", 11.0, is_continuation=True))
    assert findings_of(RepeatCheck, response_of(kind=Kind.DRAFT), *runs) == []


@pytest.mark.parametrize("beyond_s, count", [(-JUST_S, 0), (JUST_S, 1)])
def test_a_run_that_is_worked_on_beside_the_next_is_found(beyond_s, count):
    earlier = run_of(end=RunEnd.LEFT, ended_at=11.0 + MAX_OVERLAP_S + beyond_s)
    found = findings_of(OverlapCheck, response_of(), earlier, run_of("e2", 11.0))
    assert len(found) == count


@pytest.mark.parametrize("lasted_s, count", [(GIVEN_UP_S / 2, 0), (GIVEN_UP_S * 2, 1)])
def test_a_request_that_is_read_after_it_was_given_up_is_left_out(lasted_s, count):
    earlier = run_of(ended_at=12.0)
    later = run_of("e2", 11.0, end=RunEnd.LEFT, ended_at=11.0 + lasted_s)
    found = findings_of(OverlapCheck, response_of(), earlier, later)
    assert len(found) == count


@pytest.mark.parametrize("crashed_at, count", [(11.3, 0), (11.5, 1)])
def test_a_run_without_an_end_has_ended_with_its_upstream(crashed_at, count):
    earlier = run_of(end=RunEnd.CRASHED, ended_at=None)
    faults = (fault_of("crashed upstream", "e1", crashed_at, 12.0),)
    found = findings_of(
        OverlapCheck, response_of(), earlier, run_of("e2", 11.0), faults=faults
    )
    assert len(found) == count
