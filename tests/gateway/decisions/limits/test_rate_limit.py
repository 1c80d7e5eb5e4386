"""A limit that an upstream names, kept by all routers of a fleet together."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from random import Random

import pytest

from banyansail.gateway.decisions.limits.rate_limit import MAX_SILENCE, RateLimit
from banyansail.traffic.report import NamedLimit
from tests.gateway.builders import seconds

UPSTREAM = "u1@1"
WINDOW_S = 4.0
TOLD_S = 0.5  # after an answer, its limit binds the router that passed it on
START = seconds(1000)
STEP = seconds(0.02)
HEARSAY = seconds(1)  # from an answer until all routers know of its limit


class Fleet:
    """Routers that send to one limited upstream whenever they may."""

    def __init__(self, count, per_s, seed):
        self.random = Random(seed)
        self.per_s = per_s
        self.names = [f"r{number}" for number in range(count)]
        self.limits = {name: RateLimit(self.random) for name in self.names}
        self.now = START
        self.sent_at = {name: [] for name in self.names}
        self.told_at = {}
        self.underway = deque()  # what routers tell each other

    def restart(self, name):
        self.limits[name] = RateLimit(self.random)
        self.told_at.pop(name, None)
        self.sent_at[name] = []

    def run(self, duration, chance=1.0):
        end = self.now + duration
        while self.now < end:
            self.now += STEP
            for name, limit in self.limits.items():
                limit.share_among(UPSTREAM, name, self.names, self.now)
                if limit.is_open(self.now) and self.random.random() < chance:
                    self._send(name, limit)
            self._tell_others()

    def _send(self, name, limit):
        limit.record_request(self.now)
        limit.record_answer(self.per_s, self.now)
        limit.share_among(UPSTREAM, name, self.names, self.now)
        self.sent_at[name].append(self.now)
        self.told_at.setdefault(name, self.now)

    def _tell_others(self):
        reports = [limit.report(self.now) for limit in self.limits.values()]
        latest = min(filter(None, reports), key=lambda named: named.age, default=None)
        self.underway.append((self.now, latest))
        while self.underway[0][0] <= self.now - HEARSAY:
            _, named = self.underway.popleft()
            for limit in self.limits.values():
                if named is not None:
                    limit.merge(named.aged(HEARSAY), self.now)

    def counted(self):
        """Return the times of the requests that the platform's rule counts."""
        return sorted(
            at
            for name, times in self.sent_at.items()
            for at in times
            if at >= self.told_at[name] + seconds(TOLD_S)
        )


def most_in_a_window(times):
    window = seconds(WINDOW_S)
    return max(
        (sum(1 for at in times if start <= at < start + window) for start in times),
        default=0,
    )


@pytest.mark.parametrize("per_s", [0.0, 0.4, 1.0, 1.3, 3.0, 10.0])
@pytest.mark.parametrize("routers", [1, 9, 67, 195])
def test_all_routers_together_keep_to_a_limit(routers, per_s):
    fleet = Fleet(routers, per_s, seed=routers)
    fleet.run(seconds(20))
    assert most_in_a_window(fleet.counted()) <= 1.5 * WINDOW_S * per_s + 5


@pytest.mark.parametrize("per_s", [1.0, 3.0, 10.0])
@pytest.mark.parametrize("routers", [1, 9, 67])
def test_most_of_a_limit_is_used(routers, per_s):
    fleet = Fleet(routers, per_s, seed=routers)
    fleet.run(seconds(30))
    last = [at for at in fleet.counted() if at > fleet.now - seconds(20)]
    assert len(last) >= 0.75 * 20 * per_s


@pytest.mark.parametrize("seed", range(5))
def test_routers_that_restart_and_join_keep_to_a_limit(seed):
    fleet = Fleet(9, 1.0, seed)
    for _ in range(10):
        fleet.run(seconds(2), chance=0.2)
        fleet.restart(fleet.random.choice(fleet.names))
    assert most_in_a_window(fleet.counted()) <= 1.5 * WINDOW_S + 5


def test_a_router_keeps_to_a_limit_that_only_others_were_told():
    limit = RateLimit(Random(1))
    assert limit.merge(NamedLimit(1.0, timedelta(0)), START)
    assert not limit.is_open(START)
    assert limit.report(START) is None


def test_the_newest_answer_decides_whoever_got_it():
    limit = RateLimit(Random(1))
    limit.record_answer(1.0, START)
    assert not limit.merge(NamedLimit(None, seconds(2)), START + seconds(1))
    assert limit.per_s == 1.0
    assert limit.merge(NamedLimit(None, seconds(0.5)), START + seconds(1))
    assert limit.is_open(START + seconds(1))


def test_the_end_of_a_limit_is_reported_for_a_while():
    limit = RateLimit(Random(1))
    limit.record_answer(1.0, START)
    limit.record_answer(None, START)
    assert limit.report(START + seconds(1)) == NamedLimit(None, seconds(1))
    limit.record_answer(None, START + seconds(4))
    assert limit.report(START + seconds(4)) == NamedLimit(None, seconds(0))
    limit.record_answer(None, START + seconds(6))
    assert limit.report(START + seconds(10)) is None


def test_an_old_report_that_seems_newer_than_the_end_is_corrected():
    limit, other = RateLimit(Random(1)), RateLimit(Random(2))
    limit.record_answer(1.0, START)
    limit.record_answer(None, START + seconds(1))
    other.record_answer(1.0, START)
    other.record_answer(None, START + seconds(1))
    # Of an answer just before the end, delayed on its way.
    assert other.merge(NamedLimit(1.0, timedelta(0)), START + seconds(1.1))
    limit.record_answer(None, START + seconds(1.2))
    assert other.merge(limit.report(START + seconds(1.2)), START + seconds(1.2))
    assert other.per_s is None


def test_routers_without_a_part_ask_again_when_those_with_one_are_silent():
    names = [f"r{number}" for number in range(20)]
    limits = {name: RateLimit(Random(1)) for name in names}
    for at in (START, START + MAX_SILENCE + seconds(1)):
        for name, limit in limits.items():
            if at == START:
                limit.merge(NamedLimit(1.0, timedelta(0)), at)
            limit.share_among(UPSTREAM, name, names, at)
    later = START + seconds(200)
    assert all(limit.is_open(later) for limit in limits.values())
