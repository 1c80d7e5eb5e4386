from __future__ import annotations

from random import Random

from banyansail.gateway.decisions.crashes.crash_guard import MEAN_REPORTERS, CrashGuard
from tests.fakes import FakeClock
from tests.gateway.builders import call, upstream


def crash(guard, name, fingerprint):
    target, request = upstream(name), call(fingerprint)
    guard.start_attempt(target, request)
    published = guard.record_crash(target, request)
    guard.end_attempt(target, request)
    return published


def test_a_request_is_refused_after_its_third_crash():
    clock = FakeClock()
    guard = CrashGuard(clock)
    for name in ("u1", "u2"):
        crash(guard, name, 7)
        assert guard.rejection(call(7)) is None
        clock.advance(6)
    crash(guard, "u3", 7)
    assert guard.rejection(call(7)) is not None


def test_crashes_at_other_routers_count():
    clock = FakeClock()
    first, second = CrashGuard(clock), CrashGuard(clock)
    for name in ("u1", "u2", "u3"):
        second.merge_peer_crashes(crash(first, name, 7))
        clock.advance(6)
    assert second.rejection(call(7)) is not None


def test_requests_that_ran_at_one_crash_may_run_again():
    clock = FakeClock()
    guard = CrashGuard(clock)
    target = upstream("u1")
    for fingerprint in range(5):
        guard.start_attempt(target, call(fingerprint))
    guard.record_crash(target, call(0))
    clock.advance(2)
    assert all(guard.rejection(call(number)) is None for number in range(5))


def test_a_wave_of_crashes_rejects_no_request():
    clock = FakeClock()
    guard = CrashGuard(clock)
    for number in range(6):
        crash(guard, f"u{number}", 100 + number)
        crash(guard, f"v{number}", 100 + number)
    clock.advance(2)
    assert all(guard.rejection(call(100 + number)) is None for number in range(6))


def test_a_request_that_an_upstream_answered_is_not_suspected_any_more():
    """It was only in flight while other requests crashed its upstreams."""
    clock = FakeClock()
    guard = CrashGuard(clock)
    for name in ("u1", "u2"):
        crash(guard, name, 7)
        clock.advance(6)
    guard.record_success(call(7))
    crash(guard, "u3", 7)
    clock.advance(2)
    assert guard.rejection(call(7)) is None


def test_old_crashes_published_again_do_not_clear_a_request_that_crashes_upstreams():
    clock = FakeClock()
    first, second, observer = (CrashGuard(clock) for _ in range(3))
    for name in ("old1", "old2"):
        observer.merge_peer_crashes(crash(first, name, 1))
    clock.advance(40)
    for guard, name in ((first, "u1"), (first, "u2"), (second, "u3")):
        observer.merge_peer_crashes(crash(guard, name, 7))
        clock.advance(1)
    assert observer.rejection(call(7)) is not None


def test_crashes_of_other_requests_do_not_lift_a_quarantine():
    clock = FakeClock()
    guard = CrashGuard(clock)
    for name in ("u1", "u2", "u3"):
        crash(guard, name, 7)
    clock.advance(10)
    crash(guard, "u4", 7)
    for number in range(3):
        crash(guard, f"other{number}", 100 + number)
    assert guard.rejection(call(7)) is not None


def test_requests_with_one_part_that_crashes_upstreams_are_rejected():
    clock = FakeClock()
    guard = CrashGuard(clock)
    for number in range(5):
        guard.record_crash(
            upstream(f"u{number}"), call(number, parts=("shared", "bad"))
        )
        clock.advance(1)
        guard.record_success(call(100 + number, parts=("shared",)))
    clock.advance(3)
    assert guard.rejection(call(50, parts=("shared", "bad"))) is not None
    assert guard.rejection(call(60, parts=("shared", "other"))) is None


def test_a_router_that_saw_no_crash_rejects_a_part_that_crashes_upstreams():
    clock = FakeClock()
    first, second = CrashGuard(clock), CrashGuard(clock)
    for number in range(20):
        second.record_success(call(100 + number, parts=("shared",)))
    for number in range(3):
        bad = call(number, parts=("shared", "bad"))
        second.merge_peer_crashes(first.record_crash(upstream(f"u{number}"), bad))
    first.record_success(call(200, parts=("shared",)))
    second.merge_peer_crashes(first.draw_report(Random(1), 1))
    clock.advance(1)
    assert second.rejection(call(50, parts=("other", "bad"))) is not None
    assert second.rejection(call(60, parts=("shared",))) is None


def test_the_last_part_of_a_prompt_is_never_suspected():
    clock = FakeClock()
    guard = CrashGuard(clock)
    for number in range(6):
        guard.record_crash(upstream(f"u{number}"), call(7))
    clock.advance(2)
    assert guard.rejection(call(8, parts=("own7",))) is None


def suspect_shared_part(guard):
    for name in ("u1", "u2"):
        guard.record_crash(upstream(name), call(1, parts=("shared",)))


def test_a_few_of_many_routers_report_a_part_that_all_cleared():
    random, reports = Random(1), 0
    for _ in range(300):
        guard = CrashGuard(FakeClock())
        suspect_shared_part(guard)
        guard.record_success(call(2, parts=("shared",)))
        reports += guard.draw_report(random, 300) is not None
    assert 0 < reports <= 4 * MEAN_REPORTERS


def test_a_part_that_another_router_reported_as_cleared_is_not_reported_again():
    clock = FakeClock()
    first, second = CrashGuard(clock), CrashGuard(clock)
    for guard in (first, second):
        suspect_shared_part(guard)
        guard.record_success(call(2, parts=("shared",)))
    second.merge_peer_crashes(first.draw_report(Random(1), 1))
    assert second.draw_report(Random(1), 1) is None
