"""Simulated routers and upstreams, some of whose prompts crash each upstream.

Routers hear each other's reports late, and some of them are killed and start again.
"""

from __future__ import annotations

import heapq
from itertools import count
from random import Random

import pytest

from banyansail.gateway.decisions.crashes.crash_guard import CrashGuard
from tests.fakes import FakeClock
from tests.gateway.builders import call, upstream

ROUTERS = 9
UPSTREAMS = 5
END = 60.0  # s
SOUND_RATE, BAD_RATE = 27.0, 1.5  # requests a second
RESTART_AT = 24.0  # s
RESTARTED = 4  # routers
DOWN_TIME = 4.0  # s
REPORT_INTERVAL = 0.2  # s
# From the fifth crash on, routers in touch may pass on three more such requests after
# 3 s; sound ones must begin at least half as often as before after 6 s.
CONTACT_TIME = 3.0  # s
MAX_LATE_ARRIVALS = 3
MIN_SOUND_SHARE = 0.5


class Fleet:
    """Routers with their crash guards, and upstreams that bad prompts crash."""

    def __init__(self, seed) -> None:
        self.random = Random(seed)
        self.clock = FakeClock()
        self.now = 0.0
        self.guards = [CrashGuard(self.clock) for _ in range(ROUTERS)]
        self.value_by_router = {}
        self.started_at = [-10.0] * ROUTERS
        self.up_since = dict.fromkeys(range(UPSTREAMS), 0.0)  # without those down
        self.incarnation = dict.fromkeys(range(UPSTREAMS), 0)
        self.in_flight = {number: {} for number in range(UPSTREAMS)}
        self.crash_times = []
        self.bad_arrivals = []  # (time, whether the router was in touch)
        self.sound_sent, self.sound_rejected = [], []
        self._events, self._order = [], count()
        self._ids = count(1)

    def at(self, delay, action, *arguments):
        item = (self.now + delay, next(self._order), action, arguments)
        heapq.heappush(self._events, item)

    def run(self):
        self.at(0, self.arrive, False)
        self.at(2, self.arrive, True)
        self.at(RESTART_AT, self.restart)
        self.at(0, self.report_cleared)
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            if self.now > END:
                return
            self.clock.advance(self.now - self.clock.monotonic().total_seconds())
            action(*arguments)

    def arrive(self, is_bad):
        self.at(
            self.random.expovariate(BAD_RATE if is_bad else SOUND_RATE),
            self.arrive,
            is_bad,
        )
        request = call(next(self._ids), parts=self.draw_parts(is_bad))
        router = self.random.randrange(ROUTERS)
        if self.guards[router].rejection(request) is not None:
            if not is_bad:
                self.sound_rejected.append(self.now)
            return
        if not self.up_since:
            return
        if is_bad:
            is_in_touch = self.now - self.started_at[router] >= CONTACT_TIME
            self.bad_arrivals.append((self.now, is_in_touch))
        else:
            self.sound_sent.append(self.now)
        number = self.random.choice(list(self.up_since))
        target = upstream(f"e{number}", started_at=self.incarnation[number])
        self.in_flight[number][request.fingerprint] = (router, request, target)
        self.guards[router].start_attempt(target, request)
        duration = self.random.uniform(0.05, 0.3 if is_bad else 1.5)
        self.at(duration, self.crash if is_bad else self.answer, number, request)

    def draw_parts(self, is_bad):
        parts = [f"class{self.random.randrange(3)}", f"shop{self.random.randrange(5)}"]
        if is_bad:
            parts[0] = "class0"
            parts.insert(self.random.randrange(3), "bad")
        return parts

    def answer(self, number, request):
        running = self.in_flight[number].pop(request.fingerprint, None)
        if running is None:
            return
        router, _, target = running
        self.guards[router].end_attempt(target, request)
        self.guards[router].record_success(request)

    def report_cleared(self):
        for router, guard in enumerate(self.guards):
            self.publish(router, guard.draw_report(self.random, ROUTERS))
        self.at(REPORT_INTERVAL, self.report_cleared)

    def crash(self, number, request):
        if request.fingerprint not in self.in_flight[number]:
            return
        self.crash_times.append(self.now)
        del self.up_since[number]
        self.incarnation[number] += 1
        for router, running, target in self.in_flight[number].values():
            self.guards[router].end_attempt(target, running)
            self.at(0.002, self.detect, router, running, target)
        self.in_flight[number].clear()
        self.at(DOWN_TIME, self.start_upstream, number)

    def detect(self, router, request, target):
        self.publish(router, self.guards[router].record_crash(target, request))

    def start_upstream(self, number):
        self.up_since[number] = self.now

    def publish(self, router, value):
        if value is None:
            return
        self.value_by_router[router] = value
        for other in range(ROUTERS):
            delay = self.random.choice((0.01, 0.02, 0.2, 0.4, 1.2))
            if other != router:
                self.at(delay, self.receive, other, value)

    def receive(self, router, value):
        self.guards[router].merge_peer_crashes(value)

    def restart(self):
        """Kill some routers; they start with what the others publish and store."""
        stored = self.guards[-1].quarantines()
        for router in range(RESTARTED):
            self.guards[router] = CrashGuard(self.clock)
            self.value_by_router.pop(router, None)
            self.started_at[router] = self.now
            for running in self.in_flight.values():
                for fingerprint, (sender, *_) in list(running.items()):
                    if sender == router:
                        del running[fingerprint]
            for value in self.value_by_router.values():
                self.receive(router, value)
            for subject, remaining in stored.items():
                self.guards[router].restore(subject, remaining)


def share_served(fleet, start, end):
    sent = sum(start <= at < end for at in fleet.sound_sent)
    rejected = sum(start <= at < end for at in fleet.sound_rejected)
    return sent / (sent + rejected)


@pytest.mark.parametrize("seed", range(10))
def test_one_part_that_crashes_upstreams_stops_and_sound_prompts_go_on(seed):
    fleet = Fleet(seed)
    fleet.run()
    fifth = fleet.crash_times[4] if len(fleet.crash_times) > 4 else END
    late = [
        at
        for at, is_in_touch in fleet.bad_arrivals
        if is_in_touch and at > fifth + CONTACT_TIME
    ]
    assert len(late) <= MAX_LATE_ARRIVALS
    assert fleet.crash_times
    assert share_served(fleet, min(fifth + 2 * CONTACT_TIME, 30), END) > MIN_SOUND_SHARE
