"""A fleet of routers whose upstreams refuse all requests, without a network.

Every request is retried as often as the budgets allow, while routers restart, are cut
off from each other and join, and the store is down.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from dataclasses import dataclass
from datetime import timedelta
from types import SimpleNamespace

from banyansail.gateway.decisions.limits.sharers import Admission, Sharers
from banyansail.gateway.sharing.retry_sharing import RetrySharing
from tests.fakes import FakeClock

RATIO, WINDOW_S = 0.2, 10.0
SERVICE = "engines"
STEP_S = 0.25
HEARING_S = 1.0  # after a start or the end of a cut; then routers know of each other
MAX_RETRIES = 6  # of one request
MAX_AGE_S = 1e6  # of the list of a router that has none


@dataclass(frozen=True)
class Kill:
    """Routers are killed at once; their callers move to the others meanwhile."""

    at: float
    share: float = 1.0
    down_s: float = 0.5


@dataclass(frozen=True)
class Cut:
    """The routers are cut into parts that do not hear of each other."""

    at: float
    for_s: float
    parts: int


@dataclass(frozen=True)
class StoreDown:
    """The store answers nobody."""

    at: float
    for_s: float


@dataclass(frozen=True)
class Join:
    """New routers start."""

    at: float
    count: int


class RetryingRouter:
    """One process of a router."""

    def __init__(self, number, fleet):
        self.name = f"front-{number}"
        self.number = number
        self.started_at = fleet.now
        self.sharers = Sharers(self.name, fleet.clock, timedelta(seconds=WINDOW_S))
        self._heard_at = {self.name: fleet.now}
        self._listed_at = -math.inf
        self._listed_changes = 0
        self.retries = RetrySharing(
            fleet.clock,
            SimpleNamespace(
                retry_ratio=RATIO,
                retry_slack=fleet.slack,
                retry_window=timedelta(seconds=WINDOW_S),
            ),
            SimpleNamespace(count_retry_withdrawal=lambda service, is_granted: None),
            self._count_sharers,
        )

    def _count_sharers(self):
        if not self.sharers.may_use:
            return None
        return len(self.sharers.names(self._heard_at, {}))

    def hear(self, heard_at):
        self._heard_at.update(heard_at)

    def read(self, store, now):
        """Read the list of routers, and write the own entry if it has to change."""
        self._listed_at = now
        if self._listed_changes != store.changes:
            self._listed_changes = store.changes
            self.sharers.record_registered(store.admission_by_name)
        store.register(self.name)
        if self.sharers.is_admissible:
            store.admit(self.name)

    def update(self, now):
        list_age = timedelta(seconds=min(now - self._listed_at, MAX_AGE_S))
        is_silence_needed = list_age or not self.sharers.may_use
        self.sharers.update(list_age, self._silences(now) if is_silence_needed else {})
        self.retries.update()

    def _silences(self, now):
        silence_by_time = {
            at: timedelta(seconds=now - at) for at in set(self._heard_at.values())
        }
        return {name: silence_by_time[at] for name, at in self._heard_at.items()}


class RouterList:
    """Entries of routers in the store."""

    def __init__(self):
        self.admission_by_name = {}
        self.changes = 0

    def register(self, name):
        if name not in self.admission_by_name:
            self._put(name, Admission.PENDING)

    def admit(self, name):
        if self.admission_by_name[name] is not Admission.ADMITTED:
            self._put(name, Admission.ADMITTED)

    def _put(self, name, admission):
        self.admission_by_name[name] = admission
        self.changes += 1


class RetryingFleet:
    """Routers with a constant sum of traffic, all of which is refused.

    Parameters
    ----------
    routers : int
        Routers at the start.
    requests_per_s : float
        Requests of callers at all routers together.
    slack : float
        Retries that are allowed beyond the ratio.
    faults : iterable
        What happens, in any order.
    quiet_s : float
        Time without requests after the start.
    is_new : bool
        Whether the routers at the start have never run before.
    """

    def __init__(
        self, routers, requests_per_s, slack, faults=(), quiet_s=12.0, is_new=False
    ):
        self.quiet_s = quiet_s
        self.clock = FakeClock()
        self.slack = slack
        self.requests_per_s = requests_per_s
        self.faults = list(faults)
        self.requested_at = []
        self.retried_at = []
        self._router_by_number = {}
        self._returns_at_by_number = {}
        self._store = RouterList()
        self._owed_requests = 0.0
        self._begun = set()
        self._start_of_time = self.now
        for number in range(routers):
            self._start(number)
            if not is_new:
                self._store.register(f"front-{number}")
                self._store.admit(f"front-{number}")

    @property
    def now(self):
        return self.clock.monotonic().total_seconds()

    @property
    def elapsed(self):
        return self.now - self._start_of_time

    def run(self, seconds):
        """Play some time; return the fleet."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self._apply_faults()
            if self.elapsed % HEARING_S < STEP_S:
                self._exchange()
                self._update()
            self._serve()
        return self

    def worst_excess(self):
        """Return by how many retries the worst window is over what is allowed."""
        excess = [
            self._count(self.retried_at, end - WINDOW_S, end) - self._allowed(end)
            for end in sorted(set(self.retried_at))
        ]
        return max(excess, default=0.0)

    def _allowed(self, end):
        """Return the retries allowed in a window, by the platform's rule."""
        requests = max(
            self._count(self.requested_at, end - back - WINDOW_S, end - back)
            for back in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        return RATIO * requests + self.slack

    @staticmethod
    def _count(times, after, until):
        return bisect_right(times, until) - bisect_right(times, after)

    def _start(self, number):
        self._router_by_number[number] = RetryingRouter(number, self)

    def _apply_faults(self):
        for index, fault in enumerate(self.faults):
            if index not in self._begun and fault.at <= self.elapsed:
                self._begun.add(index)
                self._begin(fault)
        for number, returns_at in list(self._returns_at_by_number.items()):
            if returns_at <= self.elapsed:
                del self._returns_at_by_number[number]
                self._start(number)

    def _begin(self, fault):
        match fault:
            case Kill(share=share, down_s=down_s):
                killed = sorted(self._router_by_number)
                for number in killed[: math.ceil(share * len(killed))]:
                    del self._router_by_number[number]
                    self._returns_at_by_number[number] = self.elapsed + down_s
            case Join(count=count):
                used = len(self._router_by_number) + len(self._returns_at_by_number)
                for number in range(used, used + count):
                    self._start(number)

    def _is_active(self, fault):
        return fault.at <= self.elapsed < fault.at + fault.for_s

    def _parts(self):
        """Return the number of parts that do not hear of each other."""
        cuts = (fault for fault in self.faults if isinstance(fault, Cut))
        return max((cut.parts for cut in cuts if self._is_active(cut)), default=1)

    def _exchange(self):
        parts = self._parts()
        routers_by_part = {}
        for router in self._router_by_number.values():
            if self.now - router.started_at >= HEARING_S:
                routers_by_part.setdefault(router.number % parts, []).append(router)
        for routers in routers_by_part.values():
            heard_at = dict.fromkeys((router.name for router in routers), self.now)
            for router in routers:
                router.hear(heard_at)

    def _update(self):
        outages = (fault for fault in self.faults if isinstance(fault, StoreDown))
        is_store_down = any(map(self._is_active, outages))
        for router in self._router_by_number.values():
            if not is_store_down:
                router.read(self._store, self.now)
            router.update(self.now)

    def _serve(self):
        if self.elapsed < self.quiet_s:
            return
        self._owed_requests += self.requests_per_s * STEP_S
        routers = list(self._router_by_number.values())
        for _ in range(int(self._owed_requests)):
            self._owed_requests -= 1
            self.requested_at.append(self.now)
            if routers:
                self._serve_one(routers[len(self.requested_at) % len(routers)])

    def _serve_one(self, router):
        router.retries.record_request(SERVICE)
        for _ in range(MAX_RETRIES):
            if not router.retries.withdraw(SERVICE):
                return
            self.retried_at.append(self.now)
