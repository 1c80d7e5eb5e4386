from __future__ import annotations

from datetime import timedelta

import pytest

from banyansail.gateway.decisions.limits.asked_rate import (
    MAX_RISE,
    OwnAskedRate,
    PeerAskedRate,
)

START = timedelta(seconds=100)


def seconds(value):
    return timedelta(seconds=value)


def ask(asked, start, end, per_s, cost=1.0):
    """Record requests at equal distances."""
    for number in range(round((end - start) * per_s)):
        asked.record(cost, START + seconds(start + number / per_s))


def test_a_steady_rate_shows_no_rise():
    asked = OwnAskedRate()
    ask(asked, 0, 10, per_s=20)
    assert asked.per_s(START + seconds(10)) == pytest.approx(20, rel=0.1)
    assert asked.rise(20.0, START + seconds(10)) == 1.0


def test_a_surge_shows_before_others_report_it():
    """Guards against a surge that routers hear of only from sums."""
    asked = OwnAskedRate()
    ask(asked, 0, 10, per_s=20)
    ask(asked, 10, 10.4, per_s=240)
    assert asked.rise(20.0, START + seconds(10.4)) == MAX_RISE


def test_a_router_that_always_has_more_than_the_others_sees_no_surge():
    asked = OwnAskedRate()
    ask(asked, 0, 10, per_s=200)
    assert asked.rise(20.0, START + seconds(10)) == 1.0


def test_few_requests_at_the_same_time_are_no_surge():
    """Guards against requests that are rejected as two came together."""
    asked = OwnAskedRate()
    ask(asked, 0, 10, per_s=0.5, cost=6000.0)
    for _ in range(2):
        asked.record(6000.0, START + seconds(11))
    assert asked.rise(3000.0, START + seconds(11)) <= 2


def test_a_rise_at_others_is_followed_at_once_and_a_fall_slowly():
    asked = PeerAskedRate(500.0)
    for number in range(1, 41):
        asked.record(500.0 + 10 * number, seconds(0.1))
    assert asked.per_s() == pytest.approx(100, rel=0.1)
    asked.record(1000.0, seconds(0.1))
    assert asked.per_s() == pytest.approx(1000)
    asked.record(1000.0, seconds(0.1))
    assert 100 <= asked.per_s() <= 200


def test_reports_at_the_same_time_give_no_endless_rate():
    asked = PeerAskedRate(0.0)
    asked.record(10.0, timedelta(0))
    assert asked.per_s() == pytest.approx(100)
