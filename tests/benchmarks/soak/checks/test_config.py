"""The check of CONFIG finds routers that follow a configuration late."""

from __future__ import annotations

import pytest

from benchmarks.soak.checks.config import IN_FORCE_S, ConfigCheck
from benchmarks.soak.kinds import ALL_ROUTERS
from benchmarks.soak.operator import KEPT_ROUTES
from benchmarks.soak.records import Change, Evidence, Probe
from tests.benchmarks.soak.histories import ROUTER, fault_of

ACKED_AT = 10.0
LATE = ACKED_AT + IN_FORCE_S


def findings(status, sent_at, *, is_removed=False, faults=()):
    changes = [Change(1, ACKED_AT, ACKED_AT)]
    if is_removed:
        changes.append(Change(1 + KEPT_ROUTES, ACKED_AT, ACKED_AT))
    probe = Probe(ROUTER, 1, sent_at, sent_at + 0.1, status)
    evidence = Evidence([], {}, list(faults), changes=changes, probes=[probe])
    return list(ConfigCheck(evidence).findings())


@pytest.mark.parametrize(("status", "is_removed"), [(404, False), (200, True)])
def test_an_older_configuration_is_found_after_its_time(status, is_removed):
    assert findings(status, LATE + 0.01, is_removed=is_removed)
    assert not findings(status, LATE, is_removed=is_removed)


def test_a_router_that_was_disturbed_just_before_is_excused():
    fault = fault_of("silent connections", ALL_ROUTERS, 9.0, 9.1)
    assert findings(404, 12.2, faults=[fault])
    assert not findings(404, 12.05, faults=[fault])
