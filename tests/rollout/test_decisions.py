"""Schedule, verdict, evidence and status of moves."""

from __future__ import annotations

from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.config.rules import RolloutRule
from banyansail.fleet.entries import Entry, Topic
from banyansail.rollout.binomial import binomial_tail
from banyansail.rollout.evidence import (
    EvidenceCell,
    EvidenceKey,
    EvidenceRecorder,
    latency_bucket,
    merge_evidence,
)
from banyansail.rollout.evidence_sum import EvidenceSum
from banyansail.rollout.planner import MovePlanner
from banyansail.rollout.schedule import PROVEN_CALLS, plan_share
from banyansail.rollout.status import (
    MoveState,
    MoveStatus,
    encode_status,
    move_id,
    update_unless_final,
)
from banyansail.rollout.verdict import (
    NoRegression,
    Regression,
    SuspectedRegression,
    judge,
    tally_slice,
)
from banyansail.rollout.windows import subtract_evidence
from banyansail.rollout.zone_evidence import ZoneEvidence
from banyansail.routing.shares import VersionShares
from tests.fakes import START, FakeClock

RULE = RolloutRule("s", "v1", "v2", START, START + timedelta(hours=1))
TARGET = timedelta(milliseconds=330)


def cell(answered: int, failed: int, latency_ms: float = 80) -> EvidenceCell:
    counts = EvidenceCell(answered, failed)
    counts.latencies[latency_bucket(timedelta(milliseconds=latency_ms))] = answered
    return counts


def evidence(old: EvidenceCell, new: EvidenceCell):
    return {
        EvidenceKey("s", "v1", "POST /a", "w", 1): old,
        EvidenceKey("s", "v2", "POST /a", "w", 1): new,
    }


def verdict(old: EvidenceCell, new: EvidenceCell):
    part = evidence(old, new)
    return judge(tally_slice(part, part, "s", "v1", "v2", TARGET))


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        (cell(500, 0), cell(0, 4), Regression),
        (cell(500, 0), cell(8, 2), NoRegression),  # two failures may be chance
        (cell(400, 100), cell(40, 10), NoRegression),  # both versions fail alike
        (cell(400, 100), cell(0, 50), Regression),
        (cell(500, 1), cell(500, 3), NoRegression),
        (cell(500, 0), cell(30, 0, latency_ms=600), Regression),
        (cell(500, 0), cell(30, 0, latency_ms=100), NoRegression),
        (cell(500, 0, latency_ms=600), cell(30, 0, latency_ms=600), NoRegression),
        (cell(2, 0), cell(50, 50), SuspectedRegression),  # too few old calls to compare
    ],
)
def test_verdicts(old, new, expected):
    assert isinstance(verdict(old, new), expected)


@settings(derandomize=True, deadline=None)
@given(st.integers(0, 60), st.integers(1, 60), st.floats(0.01, 0.99))
def test_binomial_tail_is_the_sum_of_its_terms(successes, trials, probability):
    import math

    successes = min(successes, trials)
    exact = sum(
        math.comb(trials, count)
        * probability**count
        * (1 - probability) ** (trials - count)
        for count in range(successes, trials + 1)
    )
    tail = binomial_tail(successes, trials, probability)
    if exact < 0.1:
        assert tail == pytest.approx(exact, rel=1e-6)
    else:
        assert tail >= exact * 0.5  # not exact far from significance


@settings(derandomize=True, deadline=None)
@given(st.floats(-0.5, 1.5), st.floats(0, 0.5), st.integers(0, 300), st.integers(0, 50))
def test_share_never_falls_with_time_or_evidence(elapsed, later, good, more):
    window = RULE.deadline - RULE.start
    now = RULE.start + window * elapsed
    first = plan_share(now, RULE, good)
    second = plan_share(now + window * later, RULE, good + more)
    assert second.share >= first.share
    if good < PROVEN_CALLS and elapsed < 0.97:
        assert first.share <= RULE.first_share


def test_share_is_planned_backwards_from_the_deadline():
    window = RULE.deadline - RULE.start
    assert plan_share(RULE.start + window * 0.86, RULE, 500).share == 1.0
    assert plan_share(RULE.start + window * 0.5, RULE, 500).share == 0.5


def test_non_repeatable_calls_wait_for_proof():
    shares = VersionShares("v1", "v2", 0.5, is_proven=False)
    selected = [
        shares.selects_new_version(str(n), is_repeatable=False) for n in range(200)
    ]
    assert not any(selected)
    selected = [
        shares.selects_new_version(str(n), is_repeatable=True) for n in range(2000)
    ]
    assert 0.45 < sum(selected) / 2000 < 0.55


def test_share_bounds_work_in_flight_as_well():
    shares = VersionShares("v1", "v2", 0.05, is_proven=True)
    assert shares.allows_one_more_in_flight(0, 0)
    assert not shares.allows_one_more_in_flight(1, 10)
    assert shares.allows_one_more_in_flight(1, 20)


def status(state: MoveState, writer: str) -> MoveStatus:
    return MoveStatus(move_id(RULE), state, START, "why", writer)


def test_first_final_status_is_permanent():
    body = update_unless_final(None, status(MoveState.MOVING, "r0"))
    body = update_unless_final(body, status(MoveState.REVERTED, "r1"))
    for state in MoveState:
        assert update_unless_final(body, status(state, "r2")) is None
    other = RolloutRule("s", "v1", "v3", START, START + timedelta(hours=1))
    new = MoveStatus(move_id(other), MoveState.MOVING, START, "", "r2")
    assert update_unless_final(body, new) == encode_status(new)


def test_subtracting_evidence_reverts_merging_it():
    first = evidence(cell(5, 1), cell(2, 0))
    second = evidence(cell(7, 0), cell(1, 3))
    merged = merge_evidence([first, second])
    assert merge_evidence([second, first]) == merged
    assert subtract_evidence(merged, first) == second


def test_recorder_keeps_evidence_of_active_moves_only():
    recorder = EvidenceRecorder()
    recorder.set_moves({"s": 1})
    for service in ("s", "other"):
        recorder.record(
            service, "v1", "r", "w", succeeded=True, latency=TARGET, in_flight=1
        )
    assert [key.service for key in recorder.cell_by_key] == ["s"]
    recorder.set_moves({"s": 2})  # a second attempt with the same versions
    assert not recorder.cell_by_key


def entry(value: bytes, incarnation: int, sequence: int) -> Entry:
    return Entry("r1", incarnation, Topic.EVIDENCE, sequence, value)


def test_evidence_sum_continues_when_a_router_is_replaced():
    parts = {
        b"1": evidence(cell(5, 1), cell(2, 0)),
        b"2": evidence(cell(7, 1), cell(3, 0)),
        b"3": evidence(cell(9, 1), cell(4, 1)),  # from the router's next process
    }
    total = EvidenceSum(parts.__getitem__)
    total.merge_entries([entry(b"1", 1, 1)])
    total.merge_entries([entry(b"1", 1, 1)])
    assert total.sum_with({}) == parts[b"1"]
    total.merge_entries([entry(b"2", 1, 2)])
    assert total.sum_with({}) == parts[b"2"]
    total.merge_entries([entry(b"3", 2, 1)])
    total.merge_entries([entry(b"2", 1, 2)])  # arrives late
    assert total.sum_with({}) == merge_evidence([parts[b"2"], parts[b"3"]])
    own = evidence(cell(1, 0), cell(0, 0))
    expected = merge_evidence([parts[b"2"], parts[b"3"], own])
    assert total.sum_with(own) == expected


def test_end_of_one_move_counts_no_call_of_another_twice():
    first = {EvidenceKey("a", "v1", "r", "w", 0, 1): cell(5, 0)}
    second = {EvidenceKey("b", "v1", "r", "w", 0, 2): cell(7, 1)}
    parts = {b"both": {**first, **second}, b"second": second}
    total = EvidenceSum(parts.__getitem__)
    total.merge_entries([entry(b"both", 1, 1)])
    total.merge_entries([entry(b"second", 1, 2)])
    total.retain_moves({2})
    assert total.sum_with({}) == second


def test_two_sums_of_one_zone_count_no_call_twice():
    zones = ZoneEvidence()
    zones.merge_totals("east", evidence(cell(5, 1), cell(2, 0)))
    zones.merge_totals("east", evidence(cell(4, 2), cell(2, 1)))
    zones.merge_totals("west", evidence(cell(1, 0), cell(1, 0)))
    assert zones.of_move(0) == evidence(cell(6, 2), cell(3, 1))


def test_cells_that_shrank_have_no_difference():
    assert (
        subtract_evidence(
            evidence(cell(1, 0), cell(0, 0)), evidence(cell(5, 0), cell(0, 0))
        )
        == {}
    )


def test_isolated_router_does_not_raise_its_share():
    clock = FakeClock()
    planner = MovePlanner(RULE, clock)
    good = evidence(cell(500, 0), cell(200, 0))
    first = planner.plan(good, TARGET, is_isolated=False)
    clock.advance(1800)
    assert planner.plan(good, TARGET, is_isolated=True).share == first.share < 0.95
    assert planner.plan(good, TARGET, is_isolated=False).share == 0.95
    clock.advance(600)
    assert planner.plan(good, TARGET, is_isolated=True).share == 0.95
    assert planner.plan(good, TARGET, is_isolated=False).share == 1.0
