"""Plays a load to the dispatchers of a fleet, which share the slots of upstreams."""

from __future__ import annotations

import heapq
from collections import Counter, deque
from itertools import count
from random import Random

from banyansail.gateway.decisions.queue.dispatch import Dispatcher
from banyansail.gateway.decisions.queue.tickets import Slot, Ticket
from tests.fakes import FakeClock
from tests.gateway.builders import seconds, site, upstream

STEP_S = 0.02
REPORT_S = 0.4  # interval of reports, and the time until their sum arrives
SERVICE_S = 1.0
TIMEOUT_S = 6.0
UPSTREAMS = 1


class PlayedFleet:
    """Routers, their plain upstreams, and what became of the requests.

    An upstream serves as many requests at once as it has slots; more wait there.
    """

    def __init__(self, routers, seed=1, *, is_fair=True, loss=0.0):
        self.clock = FakeClock()
        self.random = Random(seed)
        self.loss = loss
        self.min_routers = 1 if is_fair else None
        self.slots = max(96, 8 * routers)
        self.routers = [self._start() for _ in range(routers)]
        self.cut_off: set[int] = set()  # their own sums only
        self.asked, self.served, self.rejected = Counter(), Counter(), Counter()
        self.waits: list[tuple[str, float]] = []  # until a rejection
        self.is_counting = True
        self._numbers = count()
        self._ends: list = []
        self._running, self._queued = Counter(), {}
        self._sums: deque = deque()
        self._due: Counter = Counter()

    @property
    def capacity(self):
        """Requests per second that the upstreams serve."""
        return UPSTREAMS * self.slots / SERVICE_S

    def _start(self):
        dispatcher = Dispatcher("glasgow", self.clock, self.random, self.min_routers)
        loads = [upstream(f"u{n}", slots=self.slots) for n in range(UPSTREAMS)]
        dispatcher.apply_upstreams(loads, site())
        return dispatcher

    def restart(self, number):
        """Restart a router; its requests in flight are lost."""
        self.routers[number] = self._start()

    def play(self, duration_s, rates, choose_router=None):
        """Play requests per second by workspace (and caller, priority, work)."""
        for _ in range(round(duration_s / STEP_S)):
            self.clock.advance(STEP_S)
            now = self.now()
            while self._ends and self._ends[0][0] <= now:
                self._end(*heapq.heappop(self._ends)[2:])
            if now // REPORT_S != (now - STEP_S) // REPORT_S:
                self._exchange()
            for workspace, rate in rates.items():
                self._due[workspace] += rate * STEP_S * self.random.uniform(0.5, 1.5)
                while self._due[workspace] >= 1:
                    self._due[workspace] -= 1
                    choice = choose_router and choose_router(workspace)
                    number = self.random.randrange(len(self.routers))
                    self.ask(workspace, number if choice is None else choice)
            for dispatcher in self.routers:
                dispatcher.assign_waiting()
        return self

    def now(self):
        return self.clock.monotonic().total_seconds()

    def ask(self, workspace, number, **options):
        now = self.clock.monotonic()
        dispatcher = self.routers[number]
        deadline = now + seconds(TIMEOUT_S)
        options = {"priority": 1, "caller": workspace, **options}
        priority = options.pop("priority")
        ticket = Ticket(
            "depot", None, priority, now, deadline, workspace=workspace, **options
        )
        is_counted = self.is_counting
        self.asked[workspace] += is_counted

        def on_result(result):
            if isinstance(result, Slot):
                self._begin(dispatcher, result, ticket, is_counted)
            else:
                self.rejected[workspace] += is_counted
                self.waits.append((workspace, self.now() - now.total_seconds()))

        dispatcher.request_slot(ticket, on_result)

    def _begin(self, dispatcher, slot, ticket, is_counted):
        name = slot.load.upstream.id
        item = (dispatcher, slot, ticket, is_counted)
        if self._running[name] < self.slots:
            self._run(name, item)
        else:
            self._queued.setdefault(name, deque()).append(item)

    def _run(self, name, item):
        self._running[name] += 1
        end = self.now() + SERVICE_S * self.random.uniform(0.8, 1.2)
        heapq.heappush(self._ends, (end, next(self._numbers), name, item))

    def _end(self, name, item):
        dispatcher, slot, ticket, is_counted = item
        self._running[name] -= 1
        if self._queued.get(name):
            self._run(name, self._queued[name].popleft())
        if self.clock.monotonic() <= ticket.deadline:
            self.served[ticket.workspace] += is_counted
        dispatcher.release(slot)

    def _exchange(self):
        """Deliver the sums of one interval ago, and take new ones."""
        if self._sums:
            loads, assigned = self._sums.popleft()
            for number, dispatcher in enumerate(self.routers):
                if self.random.random() >= self.loss:
                    self._deliver(number, dispatcher, loads, assigned)
        self._sums.append(
            (
                [
                    {load.upstream.id: load.in_flight for load in router.loads()}
                    for router in self.routers
                ],
                [
                    router.fair.assigned_by_name(router.service_by_name)
                    for router in self.routers
                ],
            )
        )

    def _deliver(self, number, dispatcher, loads, assigned):
        is_cut_off = number in self.cut_off
        others = [
            other
            for other in range(len(self.routers))
            if other != number and (other in self.cut_off) is is_cut_off
        ]
        total = Counter()
        for other in others:
            total.update(assigned[other])
        for load in dispatcher.loads():
            name = load.upstream.id
            load.peer_in_flight = sum(loads[other][name] for other in others)
        dispatcher.record_fleet(len(others) + 1, total)
