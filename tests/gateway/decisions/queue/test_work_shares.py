"""Virtual times of workspaces at routers that read the same report."""

from __future__ import annotations

from random import Random

from banyansail.gateway.decisions.queue.work_shares import REPORT_INTERVAL, WorkShares
from tests.fakes import FakeClock

ROUTERS = 77


def make_routers(clock, totals):
    """Return the shares of routers that served each workspace once before a report."""
    random = Random(1)
    routers = [WorkShares(clock, random, {}) for _ in range(ROUTERS)]
    for shares in routers:
        shares.routers = ROUTERS
        shares.record_fleet_work(dict.fromkeys(totals, 0.0))
        for name in totals:
            shares.charge(name, 1.0)
    clock.advance(REPORT_INTERVAL.total_seconds())
    for shares in routers:
        shares.record_fleet_work(totals)
    return routers


def count_next(routers, name, names):
    return sum(min(names, key=shares.tag) == name for shares in routers)


def test_routers_serve_unlike_workspaces_next_after_the_same_report():
    """Guards against a fleet that gives each of its next slots to one workspace."""
    routers = make_routers(FakeClock(), {"w0": ROUTERS * 1.5, "w1": ROUTERS})
    assert 0.7 * ROUTERS < count_next(routers, "w1", ("w0", "w1")) < ROUTERS


def test_all_routers_serve_next_a_workspace_that_is_far_behind():
    routers = make_routers(FakeClock(), {"w0": ROUTERS * 3, "w1": ROUTERS})
    assert count_next(routers, "w1", ("w0", "w1")) == ROUTERS


def test_one_router_serves_next_the_workspace_with_less_work():
    """Guards against random offsets where no other router serves unseen requests."""
    clock = FakeClock()
    shares = WorkShares(clock, Random(1), {})
    for step in range(1, 5):
        shares.charge("w0", step + 0.5)
        shares.charge("w1", step)
        clock.advance(REPORT_INTERVAL.total_seconds())
        assert shares.tag("w1") < shares.tag("w0")
