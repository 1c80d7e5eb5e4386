"""The check of deadlines finds a late end at a router that nothing was done to."""

from __future__ import annotations

import pytest

from benchmarks.soak.checks.deadlines import MAX_LATE_S, DeadlineCheck
from benchmarks.soak.records import Kind, ResponseEnd
from tests.benchmarks.soak.histories import (
    ROUTER,
    fault_of,
    findings_of,
    response_of,
)

JUST_S = 0.01
LATE = response_of(ended_at=14.0 + MAX_LATE_S + JUST_S, end=ResponseEnd.OVERDUE)


def test_an_end_within_the_bound_keeps_the_rule():
    response = response_of(ended_at=14.0 + MAX_LATE_S - JUST_S)
    assert findings_of(DeadlineCheck, response) == []


def test_an_end_beyond_the_bound_is_found():
    assert len(findings_of(DeadlineCheck, LATE)) == 1


@pytest.mark.parametrize("beyond_s, count", [(-JUST_S, 0), (JUST_S, 1)])
def test_the_timeout_of_the_route_binds_too(beyond_s, count):
    ended_at = 12.0 + MAX_LATE_S + beyond_s
    response = response_of(kind=Kind.STOCK, deadline_s=8.0, ended_at=ended_at)
    assert len(findings_of(DeadlineCheck, response)) == count


@pytest.mark.parametrize(
    "target, began_at, count",
    [(ROUTER, 12.0, 0), (ROUTER, 20.0, 1), ("other", 12.0, 1)],
)
def test_a_fault_of_the_router_itself_excuses(target, began_at, count):
    faults = (fault_of("frozen router", target, began_at, began_at + 1),)
    assert len(findings_of(DeadlineCheck, LATE, faults=faults)) == count


def test_a_slow_reader_has_its_own_pace():
    response = response_of(ended_at=LATE.ended_at, is_patient=False)
    assert findings_of(DeadlineCheck, response) == []
