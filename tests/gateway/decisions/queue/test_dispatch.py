"""Queueing at a router: order, limits, rejections and overload."""

from __future__ import annotations

import heapq
from dataclasses import replace
from itertools import count
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.gateway.decisions.queue.dispatch import Dispatcher
from banyansail.gateway.decisions.queue.tickets import Slot, Ticket
from banyansail.gateway.request_types import Cause, Rejection
from tests.fakes import FakeClock
from tests.gateway.builders import seconds, site, upstream

STEP_S = 0.005  # of the simulated loads


class DispatcherHarness:
    """Dispatcher with plain upstreams, and the results of its requests."""

    def __init__(self, upstreams=2, slots=1):
        self.clock = FakeClock()
        self.dispatcher = Dispatcher("glasgow", self.clock, Random(1))
        self.upstreams = [upstream(f"u{n}", slots=slots) for n in range(upstreams)]
        self.apply(self.upstreams)
        self.results: list[tuple[int, Slot | Rejection]] = []

    def apply(self, upstreams):
        self.dispatcher.apply_upstreams(upstreams, site())

    def request(self, number, priority=1, time_s=1.0, **options):
        now = self.clock.monotonic()
        ticket = Ticket("depot", None, priority, now, now + seconds(time_s), **options)
        return self.dispatcher.request_slot(
            ticket, lambda result: self.results.append((number, result))
        )

    def slots(self):
        return [(n, result) for n, result in self.results if isinstance(result, Slot)]

    def rejections(self):
        return {
            n: result for n, result in self.results if isinstance(result, Rejection)
        }


def test_a_request_with_no_upstream_is_refused_at_once():
    harness = DispatcherHarness(upstreams=0)
    harness.request(1)
    assert harness.rejections()[1].cause is Cause.NO_UPSTREAM
    assert harness.rejections()[1].retry_after is not None


def test_a_request_with_too_long_an_expected_wait_is_rejected_at_once():
    harness = DispatcherHarness()
    for number in range(200):
        harness.request(number, time_s=0.5)
    rejections = harness.rejections()
    assert rejections
    assert {item.status for item in rejections.values()} == {503}
    assert harness.clock.monotonic() == FakeClock().monotonic()


def test_a_waiting_request_is_rejected_after_half_of_its_time():
    harness = DispatcherHarness()
    for number in range(4):
        harness.request(number, time_s=2.0)
    assert harness.rejections() == {}
    harness.clock.advance(0.99)
    harness.dispatcher.assign_waiting()
    assert harness.rejections() == {}
    harness.clock.advance(0.02)
    harness.dispatcher.assign_waiting()
    assert sorted(harness.rejections()) == [2, 3]


def test_waiting_requests_are_rejected_once_their_upstreams_are_removed():
    harness = DispatcherHarness()
    for number in range(4):
        harness.request(number)
    harness.apply([])
    assert sorted(harness.rejections()) == [2, 3]


def test_a_cancelled_request_gets_no_slot():
    harness = DispatcherHarness(upstreams=1)
    harness.request(0)
    cancel = harness.request(1)
    harness.request(2)
    cancel()
    harness.dispatcher.release(harness.slots()[0][1])
    assert [number for number, _ in harness.slots()] == [0, 2]


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
def test_slots_are_assigned_in_the_order_of_a_naive_queue(steps):
    """By priority, then by arrival; no upstream gets more requests than slots."""
    harness = DispatcherHarness(upstreams=2, slots=2)
    numbers, order = count(), []
    waiting, free = [], 4
    for action, value in steps:
        harness.clock.advance(0.0001)
        if action == "ask":
            number = next(numbers)
            harness.request(number, priority=value, time_s=100.0)
            heapq.heappush(waiting, (value, number))
        else:
            assigned = [
                result
                for _, result in harness.slots()
                if result.load.is_awaiting_first_byte(result.number)
            ]
            if not assigned:
                continue
            harness.dispatcher.release(assigned[value % len(assigned)])
            free += 1
        while free and waiting:
            order.append(heapq.heappop(waiting)[1])
            free -= 1
        assert [number for number, _ in harness.slots()] == order
        for load in harness.dispatcher.state("depot").load_by_id.values():
            assert 0 <= load.in_flight <= load.upstream.slots


def simulate_overload(requests_per_s, duration_s=20, service_time_s=0.045):
    """Return the shares served in time, by priority, and the longest rejection time.

    Four upstreams with six slots each, as the plain services have; every third request
    has the highest priority.
    """
    harness = DispatcherHarness(upstreams=4, slots=6)
    step = STEP_S
    requested, served, ends = {0: 0, 1: 0}, {0: 0, 1: 0}, []
    requested_at, decided_at, priority_of = {}, {}, {}
    numbers = count()
    due = 0.0
    seen = 0
    for tick in range(int(duration_s / step)):
        at = tick * step
        harness.clock.advance(step)
        while ends and ends[0][0] <= at:
            _, number, slot = heapq.heappop(ends)
            harness.dispatcher.release(slot)
            if at - requested_at[number] <= 0.2:
                served[priority_of[number]] += 1
        due += requests_per_s * step
        while due >= 1:
            due -= 1
            number = next(numbers)
            priority_of[number] = 0 if number % 3 == 0 else 1
            requested[priority_of[number]] += 1
            requested_at[number] = at
            harness.request(number, priority=priority_of[number], time_s=1.5)
        harness.dispatcher.assign_waiting()
        for number, item in harness.results[seen:]:
            decided_at[number] = at
            if isinstance(item, Slot):
                heapq.heappush(ends, (at + service_time_s, number, item))
        seen = len(harness.results)
    shares = {
        priority: served[priority] / requested[priority] for priority in requested
    }
    rejections = harness.rejections()
    waits = [decided_at[number] - requested_at[number] for number in rejections]
    return shares, max(waits, default=0.0)


def test_below_capacity_all_requests_are_served_in_time():
    shares, _ = simulate_overload(requests_per_s=400)
    assert min(shares.values()) >= 0.99


def test_at_twice_the_load_the_urgent_are_served_and_refusals_come_early():
    """Capacity for 533/s; rejections are sent within half of the callers' time."""
    shares, longest = simulate_overload(requests_per_s=1066)
    assert shares[0] >= 0.95
    assert longest <= 0.75 + STEP_S


def pause(harness, name, duration_s):
    load = harness.dispatcher.load_of(name)
    load.pause(seconds(duration_s), harness.clock.monotonic())


def test_a_paused_upstream_gets_nothing_until_the_pause_ends():
    harness = DispatcherHarness(slots=20)
    pause(harness, "u0", 5)
    for number in range(10):
        harness.request(number)
    assert {slot.load.upstream.id for _, slot in harness.slots()} == {"u1"}
    harness.clock.advance(5)
    for number in range(10, 30):
        harness.request(number)
    assert "u0" in {slot.load.upstream.id for _, slot in harness.slots()}


def test_a_request_is_rejected_at_once_if_all_upstreams_pause_for_too_long():
    harness = DispatcherHarness()
    pause(harness, "u0", 5)
    pause(harness, "u1", 3)
    harness.request(1, time_s=1.0)
    rejection = harness.rejections()[1]
    assert (rejection.status, rejection.cause) == (503, Cause.PAUSED)
    assert rejection.retry_after == seconds(3)


def test_a_request_waits_for_a_pause_that_ends_in_time():
    harness = DispatcherHarness(upstreams=1)
    pause(harness, "u0", 0.3)
    harness.request(1, time_s=1.0)
    assert harness.results == []
    harness.clock.advance(0.31)
    harness.dispatcher.assign_waiting()
    assert len(harness.slots()) == 1


def test_a_waiting_request_is_rejected_when_its_last_upstream_pauses_or_leaves():
    harness = DispatcherHarness(upstreams=1)
    for number in range(3):
        harness.request(number, time_s=2.0)
    pause(harness, "u0", 30)
    harness.dispatcher.assign_waiting()
    assert set(harness.rejections()) == {1, 2}
    assert {item.cause for item in harness.rejections().values()} == {Cause.PAUSED}

    harness = DispatcherHarness(upstreams=1)
    for number in range(3):
        harness.request(number, time_s=2.0)
    harness.apply([replace(harness.upstreams[0], is_leaving=True)])
    assert set(harness.rejections()) == {1, 2}


def test_a_pause_outlives_an_entry_that_goes_and_returns():
    harness = DispatcherHarness(upstreams=1)
    pause(harness, "u0", 30)
    harness.apply([])
    harness.apply(harness.upstreams)
    harness.request(1)
    assert harness.rejections()[1].cause is Cause.PAUSED
    harness.apply([replace(harness.upstreams[0], started_at=7)])
    harness.request(2)
    assert [number for number, _ in harness.slots()] == [2]


class PausingUpstream:
    """Rejects what arrives while it is full, and records arrivals in its pauses."""

    def __init__(self, random):
        self.random = random
        self.paused_from = self.paused_until = seconds(-1)
        self.arrivals_in_pause = 0

    def arrive(self, at):
        """Take a request; return the pause that it asks for, or ``None``."""
        # A request may have been on its way for half a second.
        if self.paused_from + seconds(0.5) <= at < self.paused_until:
            self.arrivals_in_pause += 1
        if self.random.random() > 0.1:
            return None
        duration = seconds(self.random.choice([0.2, 1.0, 4.0]))
        self.paused_from = at
        self.paused_until = max(self.paused_until, at + duration)
        return duration


@given(st.integers(0, 2**16))
@settings(max_examples=10, derandomize=True)
def test_no_request_reaches_an_upstream_in_a_pause_nor_is_rejected_without_one(seed):
    """Upstreams ask for pauses, also all at once, while entries come and go."""
    random = Random(seed)
    harness = DispatcherHarness(upstreams=3, slots=4)
    upstreams = {item.id: PausingUpstream(random) for item in harness.upstreams}
    for step in range(600):
        harness.clock.advance(0.02)
        at = harness.clock.monotonic()
        lost: set[str] = set()
        if step % 100 == 50:
            kept = random.sample(harness.upstreams, 2)
            harness.apply(kept)
            harness.apply(harness.upstreams)
            lost = {item.id for item in harness.upstreams} - {item.id for item in kept}
        harness.request(step)
        harness.dispatcher.assign_waiting()
        results, harness.results = harness.results, []
        for _, result in results:
            if isinstance(result, Rejection):
                assert result.status == 503
                is_one_free = any(
                    at >= item.paused_until
                    for name, item in upstreams.items()
                    if name not in lost
                )
                # After a pause, more may wait than there are slots.
                assert result.cause is Cause.OVERLOADED or not is_one_free
                continue
            duration = upstreams[result.load.upstream.id].arrive(at)
            if duration is not None:
                result.load.pause(duration, harness.clock.monotonic())
            harness.dispatcher.release(result)
    assert all(item.arrivals_in_pause == 0 for item in upstreams.values())


def test_a_request_is_sent_to_another_upstream_while_one_is_limited():
    harness = DispatcherHarness(upstreams=2, slots=4)
    harness.dispatcher.load_of("u0").limit.record_answer(1.0, harness.clock.monotonic())
    for number in range(4):
        harness.request(number)
    assert {slot.load.upstream.id for _, slot in harness.slots()} == {"u1"}


def test_a_request_that_all_limits_leave_no_room_for_is_rejected_at_once():
    harness = DispatcherHarness(upstreams=2)
    for load in harness.dispatcher.loads():
        load.limit.record_answer(1.0, harness.clock.monotonic())
    harness.request(1)
    rejection = harness.rejections()[1]
    assert (rejection.status, rejection.cause) == (503, Cause.LIMITED)
    assert rejection.retry_after is not None


def test_an_evacuated_data_centre_gets_no_request_and_waiting_ones_are_rejected():
    """Guards against requests that wait for an upstream that may get nothing."""
    harness = DispatcherHarness()
    near = upstream("near", slots=1, zone="leeds")
    harness.apply([near, upstream("far", slots=1)])
    for number in range(3):
        harness.request(number)
    assert len(harness.slots()) == 2
    harness.dispatcher.evacuated_zones = frozenset({"leeds", "glasgow"})
    assert sorted(harness.rejections()) == [2]
    assert harness.rejections()[2].cause is Cause.NO_UPSTREAM
    assert harness.rejections()[2].retry_after is not None
    for _, slot in harness.slots():
        harness.dispatcher.release(slot)
    harness.dispatcher.evacuated_zones = frozenset({"leeds"})
    harness.request(4)
    assert harness.slots()[-1][1].load.upstream.id == "far"
    harness.dispatcher.evacuated_zones = frozenset()
    harness.request(5)
    assert harness.slots()[-1][1].load.upstream.id == "near"


def test_a_service_seen_first_during_an_evacuation_is_not_sent_there():
    harness = DispatcherHarness()
    harness.dispatcher.evacuated_zones = frozenset({"leeds"})
    harness.apply([upstream("e1", "engines", zone="leeds")])
    assert harness.dispatcher.state("engines").usable() == []
