"""The check of ONE finds reports that differ, and tokens of two holders."""

from __future__ import annotations

import pytest

from benchmarks.soak.checks.duties import DutyCheck
from benchmarks.soak.records import DutyCall, Evidence


def findings(*calls):
    check = DutyCheck(Evidence([], {}, duty_calls=list(calls)))
    return [finding.detail for finding in check.findings()]


def report(at, counts, holder="a", token=1, window=7):
    return DutyCall(at, "/usage", holder, token, window, {"callers": counts})


def test_an_exact_repeat_keeps_the_rule():
    assert findings(report(1, 5), report(9, 5, "b", 2)) == []


@pytest.mark.parametrize("counts", [4, 6])
def test_other_counts_for_a_window_break_the_rule(counts):
    assert len(findings(report(1, 5), report(9, counts, "b", 2))) == 1


def test_a_token_of_two_holders_breaks_the_rule():
    calls = [DutyCall(1, "/scale", "a", 3), DutyCall(2, "/scale", "b", 3)]
    assert len(findings(*calls)) == 1
    assert findings(calls[0], DutyCall(2, "/scale", "b", 4)) == []
