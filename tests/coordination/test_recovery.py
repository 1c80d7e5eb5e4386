"""Budget of platform calls, backoff, and the call rate after an outage."""

from __future__ import annotations

import time
from datetime import timedelta
from random import Random

from banyansail.coordination.budget import Backoff, CallBudget, CallKind
from tests.fakes import FakeClock
from tests.live import LiveSite
from tests.processes import wait_until


def test_least_important_kinds_are_refused_first():
    clock = FakeClock()
    budget = CallBudget(rate=10, burst=100, clock=clock)
    refused = []
    for _ in range(100):
        for kind in CallKind:
            if kind not in refused and not budget.try_acquire(kind):
                refused.append(kind)
    order = [CallKind.STATUS, CallKind.PLACEMENT, CallKind.ROLLOUT]
    assert refused[:3] == order
    assert refused[-1] is CallKind.LEDGER
    clock.advance(10)
    assert all(budget.try_acquire(kind) for kind in CallKind)


def test_backoff_grows_with_jitter_and_is_capped():
    backoff = Backoff(timedelta(seconds=1), timedelta(seconds=8), Random(1))
    delays = [backoff.next_delay() for _ in range(200)]
    assert max(delays) <= timedelta(seconds=8)
    assert delays[0] <= timedelta(seconds=1)
    assert len(set(delays)) > 150
    backoff.reset()
    assert backoff.next_delay() <= timedelta(seconds=1)


def test_calls_after_an_outage_are_calm():
    """The rate in the ten seconds after an outage is at most twice the steady rate."""
    with LiveSite() as live:
        live.service("s0")
        live.start(*(f"r{n}:{('z0', 'z1', 'z2')[n % 3]}" for n in range(9)))
        calls = live.site.platform_state.calls

        def count() -> int:
            return sum(calls.get(kind, 0) for kind in ("read", "write", "watch"))

        time.sleep(3)
        steady = _count_during(10, count)
        live.platform_faults(outage=True)
        time.sleep(5)
        assert live.call("GET", "/depot-app/stock/a")[0] == 200
        live.platform_faults(outage=False)
        after = _count_during(10, count)
        assert after <= 2 * steady
        version = live.apply()
        routers = live.site.router_by_name.values()
        wait_until(
            lambda: all(r.rules_keeper.rules.version == version for r in routers)
        )


def _count_during(seconds: float, count) -> int:
    before = count()
    time.sleep(seconds)
    return count() - before
