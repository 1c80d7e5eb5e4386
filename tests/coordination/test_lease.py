"""Leases over conditional updates."""

from __future__ import annotations

from banyansail.coordination.budget import CallKind
from banyansail.coordination.lease import LEASE_TIME, Lease
from tests.fakes import FakeClock, FakePlatform, run_now


def lease(platform: FakePlatform, holder: str, clock: FakeClock) -> Lease:
    return Lease(platform, "lease", holder, clock, CallKind.PLACEMENT)


def test_second_holder_waits_out_the_first():
    clock = FakeClock()
    platform = FakePlatform(clock)
    first, second = (lease(platform, name, clock) for name in ("a", "b"))
    held = run_now(first.acquire())
    assert held is not None
    assert run_now(second.acquire()) is None
    clock.advance(LEASE_TIME.total_seconds() - 0.1)
    assert run_now(second.acquire()) is None
    clock.advance(0.2)
    taken = run_now(second.acquire())
    assert taken.fencing > held.fencing
    assert first.held() is None


def test_renewal_keeps_the_time_of_taking_over():
    clock = FakeClock()
    platform = FakePlatform(clock)
    first = lease(platform, "a", clock)
    since = run_now(first.acquire()).since
    for _ in range(5):
        clock.advance(2.5)
        held = run_now(first.acquire())
        assert held.since == since


def test_paused_holder_does_not_hold_after_waking():
    clock = FakeClock()
    platform = FakePlatform(clock)
    first, second = (lease(platform, name, clock) for name in ("a", "b"))
    run_now(first.acquire())
    run_now(second.acquire())
    clock.advance(60)  # the first is frozen
    assert first.held() is None
    run_now(second.acquire())
    assert run_now(first.acquire()) is None


def test_released_lease_is_free_at_once():
    clock = FakeClock()
    platform = FakePlatform(clock)
    first, second = (lease(platform, name, clock) for name in ("a", "b"))
    run_now(first.acquire())
    run_now(first.release())
    assert run_now(second.acquire()) is not None


def test_two_that_race_for_a_lapsed_lease():
    clock = FakeClock()
    platform = FakePlatform(clock)
    platform.stored["lease"] = (3, {"holder": "gone"})
    rivals = [lease(platform, name, clock) for name in ("a", "b")]
    assert [run_now(item.acquire()) for item in rivals] == [None, None]
    clock.advance(LEASE_TIME.total_seconds())
    results = [run_now(item.acquire()) for item in rivals]
    assert sum(item is not None for item in results) == 1
