"""Charges of one request to the quota of its workspace."""

from __future__ import annotations

from random import Random

import pytest

from banyansail.gateway.decisions.limits.quota import QuotaLimiter
from banyansail.gateway.requests.quota_charge import QuotaCharge
from tests.fakes import FakeClock
from tests.gateway.builders import workspace

COST = 10.0


@pytest.mark.parametrize(
    ("attempts", "runs"), [(1, 0), (1, 1), (2, 1), (2, 2), (3, 0), (3, 2)]
)
def test_as_many_runs_are_charged_as_may_have_happened(attempts, runs):
    """Guards against retries that no quota counts, and refunds of what ran."""
    clock = FakeClock()
    quota = QuotaLimiter(clock, Random(1))
    owner = workspace(rate=100, burst=100)
    clock.advance(10)
    quota.charge(owner, COST)
    charge = QuotaCharge(quota, owner, COST)
    for attempt in range(1, attempts + 1):
        charge.cover(attempt)
        assert quota.used_by_workspace[owner.name] == attempt * COST
    charge.settle(runs)
    assert quota.used_by_workspace[owner.name] == runs * COST


def test_a_request_without_a_workspace_is_charged_nowhere():
    quota = QuotaLimiter(FakeClock(), Random(1))
    charge = QuotaCharge(quota, None, COST)
    charge.cover(2)
    charge.settle(0)
    assert quota.used_by_workspace == {}
