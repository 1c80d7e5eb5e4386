"""Evidence of a cut between a router and all upstreams."""

from __future__ import annotations

from datetime import timedelta

from banyansail.gateway.decisions.upstreams.upstream_reach import UpstreamReach
from tests.fakes import FakeClock
from tests.gateway.builders import seconds

NO_WAIT = timedelta(0)


def started():
    clock = FakeClock()
    reach = UpstreamReach(clock)
    clock.advance(10)
    return clock, reach


def test_nothing_is_tried_while_answers_arrive():
    _, reach = started()
    reach.record_bytes()
    assert not reach.needs_check(seconds(5))


def test_a_refused_connection_is_checked_though_answers_arrive():
    _, reach = started()
    reach.record_failure()
    reach.record_bytes()
    assert reach.needs_check(NO_WAIT)


def test_silence_is_checked_only_while_a_request_waits():
    _, reach = started()
    assert not reach.needs_check(NO_WAIT)
    assert reach.needs_check(seconds(1))


def test_a_router_is_cut_off_from_a_failed_check_until_one_succeeds():
    clock, reach = started()
    assert reach.record_check(has_contact=False)
    assert reach.is_cut_off
    assert not reach.needs_check(NO_WAIT)
    clock.advance(1)
    assert reach.needs_check(NO_WAIT)
    assert not reach.record_check(has_contact=False)
    assert reach.record_check(has_contact=True)
    assert not reach.is_cut_off


def test_a_connection_after_the_failure_ends_the_suspicion():
    clock, reach = started()
    reach.record_failure()
    clock.advance(0.1)
    reach.record_contact()
    assert not reach.needs_check(NO_WAIT)
