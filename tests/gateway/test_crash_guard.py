from __future__ import annotations

from banyansail.gateway.crash_guard import CrashGuard
from tests.fakes import FakeClock
from tests.gateway.builders import upstream


def crash(guard, name, fingerprint):
    target = upstream(name)
    guard.start(target, fingerprint)
    told = guard.record_death(target, fingerprint)
    guard.end(target, fingerprint, survived=False)
    return told


def test_a_request_is_refused_after_its_third_crash():
    clock = FakeClock()
    guard = CrashGuard(clock)
    for name in ("u1", "u2"):
        crash(guard, name, 7)
        assert guard.refused_for(7) is None
        clock.advance(6)
    crash(guard, "u3", 7)
    assert guard.refused_for(7) is not None


def test_crashes_at_other_routers_count():
    clock = FakeClock()
    first, second = CrashGuard(clock), CrashGuard(clock)
    for name in ("u1", "u2", "u3"):
        second.hear(crash(first, name, 7))
        clock.advance(6)
    assert second.refused_for(7) is not None


def test_companions_of_one_crash_may_run():
    guard = CrashGuard(FakeClock())
    target = upstream("u1")
    for fingerprint in range(5):
        guard.start(target, fingerprint)
    guard.record_death(target, 0)
    assert all(guard.refused_for(number) is None for number in range(5))


def test_a_wave_of_deaths_refuses_nobody():
    guard = CrashGuard(FakeClock())
    for number in range(6):
        crash(guard, f"u{number}", 100 + number)
        crash(guard, f"v{number}", 100 + number)
    assert all(guard.refused_for(100 + number) is None for number in range(6))
