"""Choices by old reports: the spread that they need, and its end without reports."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from banyansail.gateway.decisions.upstreams.peer_demand import (
    MAX_AGE,
    MEAN_DELAY,
    PeerDemand,
    draw_by_room,
)
from tests.gateway.builders import seconds

NOW = seconds(100)


def drawn_shares(ranked, added_ms, count=4000):
    random = Random(5)
    counts = Counter(draw_by_room(ranked, added_ms, random) for _ in range(count))
    return [counts[index] / count for index in range(len(ranked))]


def test_the_best_upstream_is_chosen_if_others_add_nothing():
    assert drawn_shares([(10.0, 1.0), (10.5, 1.0), (90.0, 1.0)], 0.0) == [1.0, 0, 0]


def test_draws_fill_the_upstreams_to_one_level():
    """80 ms of work raise 10, 30 and 50 ms to 56.7 ms; 90 ms is above that."""
    ranked = [(10.0, 1.0), (30.0, 1.0), (50.0, 1.0), (90.0, 1.0)]
    shares = drawn_shares(ranked, 80.0)
    expected = [46.7 / 80, 26.7 / 80, 6.7 / 80, 0]
    assert shares == pytest.approx(expected, abs=0.03)


def test_a_slow_upstream_gets_less_but_still_some():
    """An upstream that is only slow must get enough to be seen to recover."""
    fast, slow = drawn_shares([(60.0, 1.0), (100.0, 0.5)], 200.0)
    assert 0.05 < slow < 0.5 * fast


def test_the_rate_follows_the_totals_of_the_others():
    peers = PeerDemand()
    for number in range(60):
        peers.record_total(number * 200.0, NOW + seconds(number * 0.4))
    at = NOW + seconds(59 * 0.4)
    assert peers.added_ms(at) == pytest.approx(500 * MEAN_DELAY.total_seconds(), 0.05)
    assert peers.added_ms(at + seconds(1)) == pytest.approx(700, 0.05)


def test_old_reports_add_nothing():
    peers = PeerDemand()
    peers.record_rate(3.0, NOW)
    assert peers.added_ms(NOW) > 0
    assert peers.added_ms(NOW + MAX_AGE) == 0
    assert PeerDemand().added_ms(NOW) == 0
