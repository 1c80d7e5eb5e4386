"""The check of BUDGET finds the first retry beyond what the fleet may send."""

from __future__ import annotations

import pytest

from benchmarks.soak.checks.budget import BudgetCheck
from benchmarks.soak.records import Evidence, Kind, RunEnd
from benchmarks.soak.site_config import RETRY_RATIO, RETRY_WINDOW_S
from tests.benchmarks.soak.histories import response_of, run_of

REQUESTS, RETRY_SLACK = 200, 100
ALLOWED = int(REQUESTS * RETRY_RATIO + RETRY_SLACK)


def findings(repeats_at, requests_at=10.0, kind=Kind.RESUMABLE, **arrival):
    """Check one request that arrives again and again, among others that do not."""
    responses = [
        response_of(attempt=f"a{number}", sent_at=requests_at, kind=kind)
        for number in range(REQUESTS)
    ]
    first = run_of(began_at=min(repeats_at))
    arrivals = [first, *(run_of(began_at=at, **arrival) for at in repeats_at)]
    evidence = Evidence(responses, {"a0": arrivals}, retry_slack=RETRY_SLACK)
    return [finding.detail for finding in BudgetCheck(evidence).findings()]


@pytest.mark.parametrize("end", [RunEnd.FULL, RunEnd.NOT_RUN])
def test_one_retry_beyond_the_budget_is_found_also_if_it_is_rejected(end):
    assert findings([11.0] * ALLOWED, end=end) == []
    assert len(findings([11.0] * (ALLOWED + 1), end=end)) == 1


def test_retries_of_windows_that_do_not_overlap_are_not_added_up():
    later = 11.0 + RETRY_WINDOW_S + 0.1
    assert findings([11.0] * ALLOWED + [later] * ALLOWED) == []
    within = later - 0.2
    assert len(findings([11.0] * ALLOWED + [within] * ALLOWED)) == 1


@pytest.mark.parametrize("back", [0.5, 1, 1.5])
def test_requests_of_the_window_before_allow_retries(back):
    at = 10.0 + back * RETRY_WINDOW_S
    assert findings([at] * ALLOWED) == []
    assert len(findings([at] * (ALLOWED + 1))) == 1


def test_requests_of_longer_ago_allow_nothing():
    at = 10.0 + 2.1 * RETRY_WINDOW_S
    assert findings([at] * RETRY_SLACK) == []
    assert len(findings([at] * (RETRY_SLACK + 1))) == 1
