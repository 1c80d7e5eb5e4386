"""The check of REFUSED finds a run behind a promise."""

from __future__ import annotations

import pytest

from benchmarks.soak.checks.promises import PromiseCheck
from benchmarks.soak.records import Kind, RunEnd
from tests.benchmarks.soak.histories import findings_of, response_of, run_of

RAN = run_of(end=RunEnd.RESET)


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_request_that_ran_is_found_behind_a_promise(status):
    response = response_of(kind=Kind.ORDERS, status=status)
    assert findings_of(PromiseCheck, response) == []
    assert len(findings_of(PromiseCheck, response, RAN)) == 1


@pytest.mark.parametrize("status", [None, 200, 502, 504])
def test_other_ends_promise_nothing(status):
    response = response_of(kind=Kind.ORDERS, status=status)
    assert findings_of(PromiseCheck, response, RAN) == []
