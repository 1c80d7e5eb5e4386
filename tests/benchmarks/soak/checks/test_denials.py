"""The check of DENIED finds proper requests that are answered as wrong."""

from __future__ import annotations

import pytest

from benchmarks.soak.checks.denials import DenialCheck
from tests.benchmarks.soak.histories import findings_of, response_of


@pytest.mark.parametrize("status", [302, 400, 401, 403, 404, 413])
def test_a_denial_is_found(status):
    assert len(findings_of(DenialCheck, response_of(status=status))) == 1


@pytest.mark.parametrize("status", [None, 200, 408, 421, 429, 503])
def test_other_answers_deny_nothing(status):
    assert findings_of(DenialCheck, response_of(status=status)) == []
