"""Leases by conditional updates."""

from __future__ import annotations

from banyansail.coordination.budget import CallKind
from banyansail.coordination.lease import LEASE_TIME, Lease
from tests.fakes import FakeClock, FakePlatform, run_now


def make_lease(platform: FakePlatform, holder: str, clock: FakeClock) -> Lease:
    return Lease(platform, "lease", holder, clock, CallKind.PLACEMENT)


def test_second_holder_waits_until_the_first_lease_expires():
    clock = FakeClock()
    platform = FakePlatform(clock)
    first, second = (make_lease(platform, name, clock) for name in ("a", "b"))
    held = run_now(first.acquire())
    assert held is not None
    assert run_now(second.acquire()) is None
    clock.advance(LEASE_TIME.total_seconds() - 0.1)
    assert run_now(second.acquire()) is None
    clock.advance(0.2)
    successor = run_now(second.acquire())
    assert successor.fencing_token > held.fencing_token
    assert first.held_lease() is None


def test_renewal_keeps_the_acquisition_time():
    clock = FakeClock()
    platform = FakePlatform(clock)
    first = make_lease(platform, "a", clock)
    acquired_at = run_now(first.acquire()).acquired_at
    for _ in range(5):
        clock.advance(2.5)
        held = run_now(first.acquire())
        assert held.acquired_at == acquired_at


def test_paused_holder_does_not_hold_after_waking():
    clock = FakeClock()
    platform = FakePlatform(clock)
    first, second = (make_lease(platform, name, clock) for name in ("a", "b"))
    run_now(first.acquire())
    run_now(second.acquire())
    clock.advance(60)  # the first holder's process is paused
    assert first.held_lease() is None
    run_now(second.acquire())
    assert run_now(first.acquire()) is None


def test_released_lease_can_be_acquired_at_once():
    clock = FakeClock()
    platform = FakePlatform(clock)
    first, second = (make_lease(platform, name, clock) for name in ("a", "b"))
    run_now(first.acquire())
    run_now(first.release())
    assert run_now(second.acquire()) is not None


def test_one_of_two_rivals_acquires_an_expired_lease():
    clock = FakeClock()
    platform = FakePlatform(clock)
    platform.stored["lease"] = (3, {"holder": "gone"})
    rivals = [make_lease(platform, name, clock) for name in ("a", "b")]
    assert [run_now(item.acquire()) for item in rivals] == [None, None]
    clock.advance(LEASE_TIME.total_seconds())
    results = [run_now(item.acquire()) for item in rivals]
    assert sum(item is not None for item in results) == 1
