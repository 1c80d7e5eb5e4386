"""The allowance of a cold upstream, kept by routers that know each other more or less.

It guards against upstreams that crash because several routers use the same part.
"""

from __future__ import annotations

from collections import deque
from random import Random

import pytest

from banyansail.gateway.decisions.limits.cold_share import (
    MAX_PART_AGE,
    MAX_SILENCE,
    SETTLE_TIME,
    ColdBound,
    ColdShare,
    FleetObserver,
    FleetParts,
    part_of,
)
from tests.gateway.builders import seconds, upstream

UPSTREAM = "u1@1"
PER_S = 9.5
BOUND = ColdBound(over=1.5, slack=5.0)
ALLOWED = PER_S * BOUND.over + BOUND.slack
START = seconds(1000)
STEP = seconds(0.1)
COLD = seconds(10_000)


class Router:
    """What one router knows of the fleet, and its part of one upstream's allowance."""

    def __init__(self, now):
        self.observer = FleetObserver()
        self.share = ColdShare()
        self.fleet, self.part = None, 0
        self.share.per_s = PER_S
        self.share.record_answer(COLD, now)

    def divide(self, name, live, known, expected, now, per_s=PER_S):
        fleet = self.observer.observe(
            live, known, heard=len(live), expected=expected, now=now
        )
        if fleet != self.fleet:
            self.fleet = fleet
            self.part = part_of(UPSTREAM, name, per_s, BOUND, fleet)
        self.share.set_part(self.part, now)


class Fleet:
    """Routers that send to a cold upstream whenever they may.

    `live` maps a router's name to the names that it hears of; by default to all.
    """

    def __init__(self, count, seed, per_s=PER_S):
        self.random = Random(seed)
        self.per_s = per_s
        self.names = [f"r{number}" for number in range(count)]
        self.known = {name: self.names for name in self.names}
        self.live = dict(self.known)
        self.now = START
        self.router_by_name = {name: self._router() for name in self.names}
        self.sent_at = []
        self.expected = 1

    def _router(self):
        router = Router(self.now)
        router.share.per_s = self.per_s
        return router

    def restart(self, name):
        self.router_by_name[name] = self._router()

    def run(self, duration_s):
        end = self.now + seconds(duration_s)
        while self.now < end:
            self.now += STEP
            for name in self.random.sample(self.names, len(self.names)):
                router = self.router_by_name[name]
                known = self.known[name]
                live = self.live[name]
                router.divide(name, live, known, self.expected, self.now, self.per_s)
                while router.share.is_open(self.now):
                    router.share.record_request(self.now)
                    self.sent_at.append(self.now)

    def most_in_a_second(self):
        most, window = 0, deque()
        for at in self.sent_at:
            window.append(at)
            while at - window[0] >= seconds(1):
                window.popleft()
            most = max(most, len(window))
        return most


def test_without_a_share_routers_send_more_than_an_upstream_bears():
    """The load of these tests exceeds the bound if nothing divides the allowance."""
    shares = [ColdShare() for _ in range(77)]
    assert sum(share.is_open(START) for share in shares) > ALLOWED


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("per_s", [0.4, 1.0, 3.0, PER_S])
@pytest.mark.parametrize("routers", [1, 9, 77])
def test_routers_with_a_common_view_send_no_more_than_the_allowance(
    routers, per_s, seed
):
    fleet = Fleet(routers, seed, per_s)
    fleet.run(12)
    assert fleet.most_in_a_second() <= max(1, per_s)
    total = len(fleet.sent_at)
    assert 0.5 * per_s <= total / 10 <= 12 / 10 * per_s + 0.1


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("missing", [0.1, 0.3])
@pytest.mark.parametrize("routers", [9, 77])
def test_routers_whose_views_differ_keep_to_the_bound(routers, missing, seed):
    fleet = Fleet(routers, seed)
    for _ in range(10):
        fleet.live = {
            name: [
                other
                for other in fleet.names
                if other == name or fleet.random.random() > missing
            ]
            for name in fleet.names
        }
        fleet.run(1.5)
    assert 0 < fleet.most_in_a_second() <= ALLOWED


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("groups", [2, 3, 4, 77])
@pytest.mark.parametrize("routers", [9, 77])
def test_routers_cut_off_from_each_other_keep_to_the_bound_and_after_it(
    routers, groups, seed
):
    """Guards against groups that each take the others for lost, and their meeting."""
    fleet = Fleet(routers, seed)
    fleet.run(4)
    group_of = {name: number % groups for number, name in enumerate(fleet.names)}
    cut = {
        name: [other for other in fleet.names if group_of[other] == group_of[name]]
        for name in fleet.names
    }
    fleet.live = cut
    fleet.run(14)
    for share in (0.5, 0.9, 1.0):  # of the others that each one hears of again
        fleet.live = {
            name: [
                other
                for other in fleet.names
                if other in cut[name] or fleet.random.random() < share
            ]
            for name in fleet.names
        }
        fleet.run(3)
    assert 0 < fleet.most_in_a_second() <= ALLOWED


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("routers", [9, 77])
def test_a_lost_data_centre_leaves_its_parts_to_the_others(routers, seed):
    fleet = Fleet(routers, seed)
    fleet.run(4)
    lost = fleet.names[:: 4 if routers == 77 else 3]
    fleet.names = [name for name in fleet.names if name not in lost]
    fleet.live = {name: fleet.names for name in fleet.names}
    fleet.run(4)
    fleet.sent_at.clear()
    fleet.run(10)
    assert fleet.most_in_a_second() <= PER_S
    assert len(fleet.sent_at) >= 0.9 * 10 * int(PER_S)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("routers", [9, 77])
def test_restarted_routers_that_know_nobody_yet_keep_to_the_bound(routers, seed):
    """Guards against a restarted router that takes itself for the whole fleet."""
    fleet = Fleet(routers, seed)
    fleet.run(4)
    for name in fleet.random.sample(fleet.names, routers // 3):
        fleet.restart(name)
        fleet.known = {**fleet.known, name: [name]}
        fleet.live = {**fleet.live, name: [name]}
    fleet.expected = routers  # by the seeds
    fleet.run(12)
    fleet.known = dict.fromkeys(fleet.names, fleet.names)
    fleet.live = dict(fleet.known)
    fleet.run(8)
    assert 0 < fleet.most_in_a_second() <= ALLOWED


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("groups", [2, 3])
@pytest.mark.parametrize("routers", [8, 77])
def test_routers_that_restart_behind_a_cut_keep_to_the_bound(routers, groups, seed):
    """Guards against parts that each take the routers they hear for the fleet."""
    fleet = Fleet(routers, seed)
    fleet.run(4)
    for number, name in enumerate(fleet.names):
        fleet.restart(name)
        fleet.live = {**fleet.live, name: fleet.names[number % groups :: groups]}
    fleet.run(20)
    assert 0 < fleet.most_in_a_second() <= ALLOWED


def test_a_router_that_loses_the_majority_keeps_its_part_for_some_seconds():
    names = [f"r{number}" for number in range(9)]
    observer = FleetObserver()

    def observe(at, heard=9):
        return observer.observe(names, names, heard=heard, expected=9, now=at)

    assert observe(START) == FleetParts(expected=9)
    settled = START + SETTLE_TIME
    assert observe(settled).sharers == tuple(sorted(names))
    assert observe(settled + MAX_SILENCE - STEP, heard=1).sharers
    alone = observe(settled + MAX_SILENCE, heard=1)
    assert (alone.sharers, alone.known) == ((), tuple(sorted(names)))


def test_a_process_that_was_frozen_sends_nothing_before_it_divides_anew():
    share = ColdShare()
    share.per_s = PER_S
    share.record_answer(COLD, START)
    share.set_part(3, START)
    assert share.is_open(START + MAX_PART_AGE)
    assert not share.is_open(START + MAX_PART_AGE + STEP)


def test_requests_sent_before_the_upstream_became_cold_count():
    share = ColdShare()
    share.per_s = PER_S
    for _ in range(3):
        share.record_request(START)
    share.record_answer(COLD, START)
    share.set_part(3, START)
    assert not share.is_open(START + seconds(0.9))
    assert share.is_open(START + seconds(1))


def test_the_evidence_that_gives_the_longest_time_wins():
    share = ColdShare()
    share.per_s = PER_S
    share.record_start(seconds(0), seconds(3), START)
    share.record_entry(upstream(cold_left=seconds(5)), START)
    share.record_answer(seconds(1), START)
    assert share.left(START) == seconds(5)
    share.record_answer(seconds(9), START)
    assert share.left(START + seconds(2)) == seconds(7)
    share.record_answer(seconds(0), START + seconds(2))
    assert share.left(START + seconds(2)) == seconds(3)


def test_an_entry_counts_once_however_often_it_is_read():
    share = ColdShare()
    share.per_s = PER_S
    for at in (0, 2, 4):
        share.record_entry(
            upstream(cold_left=seconds(5), entry_revision=1), START + seconds(at)
        )
    assert share.left(START + seconds(4)) == seconds(1)
    share.record_entry(upstream(cold_left=seconds(5), entry_revision=2), START)
    assert share.left(START) == seconds(5)


@pytest.mark.parametrize(
    ("age", "left"), [(-100, 8), (0, 8), (2, 8), (5, 5), (10, 0), (1e6, 0)]
)
def test_a_start_counts_with_the_errors_of_clocks(age, left):
    """A start time in the future counts as now; one in the past may be wrong."""
    share = ColdShare()
    share.per_s = PER_S
    share.record_start(seconds(age), seconds(8), START)
    assert share.left(START) == seconds(left)


def test_an_upstream_of_a_service_without_an_allowance_is_never_cold():
    share = ColdShare()
    share.record_entry(upstream(cold_left=seconds(5)), START)
    share.record_answer(COLD, START)
    assert share.left(START) == seconds(0)
    assert share.is_open(START)


def test_a_bound_without_room_leaves_nothing_to_routers_that_are_alone():
    names = tuple(f"r{number}" for number in range(9))
    alone = FleetParts((), names, 9)
    assert part_of(UPSTREAM, "r1", PER_S, BOUND, FleetParts(expected=9)) == 0
    assert not any(part_of(UPSTREAM, n, PER_S, ColdBound(), alone) for n in names)
    parts = [part_of(UPSTREAM, name, PER_S, BOUND, alone) for name in names]
    assert sum(parts) == BOUND.reserve(PER_S) > 0
