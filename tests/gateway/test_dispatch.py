"""Queueing at a router: order, bounds, refusals, and a day of overload."""

from __future__ import annotations

import heapq
from itertools import count
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.gateway.dispatch import Dispatcher, Slot, Ticket
from banyansail.gateway.messages import Cause, Rejection
from tests.fakes import FakeClock
from tests.gateway.builders import seconds, site, upstream

STEP_S = 0.005  # of the loads that are played


class Desk:
    """A dispatcher with plain upstreams, and the places that it gave."""

    def __init__(self, upstreams=2, slots=1):
        self.clock = FakeClock()
        self.dispatcher = Dispatcher("glasgow", self.clock, Random(1))
        self.known = [upstream(f"u{n}", slots=slots) for n in range(upstreams)]
        self.apply(self.known)
        self.granted: list[tuple[int, Slot | Rejection]] = []

    def apply(self, upstreams):
        self.dispatcher.apply_upstreams(upstreams, site())

    def ask(self, number, priority=1, time_s=1.0, **options):
        now = self.clock.monotonic()
        ticket = Ticket("depot", None, priority, now, now + seconds(time_s), **options)
        return self.dispatcher.request(
            ticket, lambda given: self.granted.append((number, given))
        )

    def slots(self):
        return [(n, given) for n, given in self.granted if isinstance(given, Slot)]

    def rejections(self):
        return {n: given for n, given in self.granted if isinstance(given, Rejection)}


def test_a_request_with_no_upstream_is_refused_at_once():
    desk = Desk(upstreams=0)
    desk.ask(1)
    assert desk.rejections()[1].cause is Cause.NO_UPSTREAM
    assert desk.rejections()[1].retry_after is not None


def test_a_request_whose_wait_would_use_up_its_time_is_refused_at_once():
    desk = Desk()
    for number in range(200):
        desk.ask(number, time_s=0.5)
    refused = desk.rejections()
    assert refused
    assert {item.status for item in refused.values()} == {503}
    assert desk.clock.monotonic() == FakeClock().monotonic()


def test_a_request_that_waits_is_given_up_at_half_of_its_time():
    desk = Desk()
    for number in range(4):
        desk.ask(number, time_s=2.0)
    assert desk.rejections() == {}
    desk.clock.advance(0.99)
    desk.dispatcher.pump()
    assert desk.rejections() == {}
    desk.clock.advance(0.02)
    desk.dispatcher.pump()
    assert sorted(desk.rejections()) == [2, 3]


def test_those_who_wait_are_refused_once_their_upstreams_are_gone():
    desk = Desk()
    for number in range(4):
        desk.ask(number)
    desk.apply([])
    assert sorted(desk.rejections()) == [2, 3]


def test_who_stops_asking_gets_no_place():
    desk = Desk(upstreams=1)
    desk.ask(0)
    stop = desk.ask(1)
    desk.ask(2)
    stop()
    desk.dispatcher.release(desk.slots()[0][1])
    assert [number for number, _ in desk.slots()] == [0, 2]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("ask"), st.integers(0, 2)),
            st.tuples(st.just("release"), st.integers(0, 9)),
        ),
        max_size=60,
    )
)
def test_places_are_given_as_by_the_naive_queue(steps):
    """By priority, then by arrival; no upstream gets more than it has room for."""
    desk = Desk(upstreams=2, slots=2)
    numbers, order = count(), []
    waiting, free = [], 4
    for what, value in steps:
        desk.clock.advance(0.0001)
        if what == "ask":
            number = next(numbers)
            desk.ask(number, priority=value, time_s=100.0)
            heapq.heappush(waiting, (value, number))
        else:
            held = [
                given
                for _, given in desk.slots()
                if given.load.is_unanswered(given.number)
            ]
            if not held:
                continue
            desk.dispatcher.release(held[value % len(held)])
            free += 1
        while free and waiting:
            order.append(heapq.heappop(waiting)[1])
            free -= 1
        assert [number for number, _ in desk.slots()] == order
        for load in desk.dispatcher.state("depot").load_by_id.values():
            assert 0 <= load.in_flight <= load.upstream.slots


def play_overload(asked_per_s, seconds_long=20, work_s=0.045):
    """Return the shares served in time, by priority, and the longest refusals took.

    Four upstreams of six places, as the plain services have; each third request is
    of the first priority.
    """
    desk = Desk(upstreams=4, slots=6)
    step = STEP_S
    asked, served, ends = {0: 0, 1: 0}, {0: 0, 1: 0}, []
    asked_at, told_at, priority_of = {}, {}, {}
    numbers = count()
    due = 0.0
    seen = 0
    for tick in range(int(seconds_long / step)):
        at = tick * step
        desk.clock.advance(step)
        while ends and ends[0][0] <= at:
            _, number, slot = heapq.heappop(ends)
            desk.dispatcher.release(slot)
            if at - asked_at[number] <= 0.2:
                served[priority_of[number]] += 1
        due += asked_per_s * step
        while due >= 1:
            due -= 1
            number = next(numbers)
            priority_of[number] = 0 if number % 3 == 0 else 1
            asked[priority_of[number]] += 1
            asked_at[number] = at
            desk.ask(number, priority=priority_of[number], time_s=1.5)
        desk.dispatcher.pump()
        for number, item in desk.granted[seen:]:
            told_at[number] = at
            if isinstance(item, Slot):
                heapq.heappush(ends, (at + work_s, number, item))
        seen = len(desk.granted)
    shares = {priority: served[priority] / asked[priority] for priority in asked}
    refused = desk.rejections()
    waits = [told_at[number] - asked_at[number] for number in refused]
    return shares, max(waits, default=0.0)


def test_under_the_load_that_fits_all_are_served_in_time():
    shares, _ = play_overload(asked_per_s=400)
    assert min(shares.values()) >= 0.99


def test_at_twice_the_load_the_urgent_are_served_and_refusals_come_early():
    """Places for 533 a second; refusals come within half of the time callers have."""
    shares, longest = play_overload(asked_per_s=1066)
    assert shares[0] >= 0.95
    assert longest <= 0.75 + STEP_S
