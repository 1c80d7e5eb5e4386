"""What a run shows: counts of each rule, and findings of one detail in one row."""

from __future__ import annotations

from benchmarks.soak.checks.all_checks import CHECK_BY_RULE, checks_of
from benchmarks.soak.records import Evidence
from benchmarks.soak.report import result_table
from benchmarks.soak.soak import check
from tests.benchmarks.soak.histories import (
    ATTEMPT,
    ROUTER,
    fault_of,
    response_of,
    run_of,
)


def test_a_run_without_findings_names_all_rules():
    evidence = Evidence([response_of()], {ATTEMPT: [run_of()]})
    result = check(1, evidence, checks_of(is_timed=True))
    table = result_table(result)
    assert result.findings == []
    assert all(rule in table for rule in CHECK_BY_RULE)


def test_checks_that_were_left_out_are_named():
    evidence = Evidence([response_of()], {ATTEMPT: [run_of()]})
    result = check(1, evidence, checks_of(is_timed=False))
    assert "not made" in result_table(result)


def test_findings_of_the_same_detail_share_a_row():
    responses = [response_of(attempt=f"a1-{number}") for number in range(3)]
    faults = [fault_of("killed router", ROUTER, 10.5, 12.0)]
    result = check(1, Evidence(responses, {}, faults), checks_of(is_timed=True))
    assert len(result.findings) == 3
    assert result.struck_by_kind == {"killed router": 1}
    assert result_table(result).count("looks complete") == 1
