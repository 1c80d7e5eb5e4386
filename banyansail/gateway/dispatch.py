"""Admission of requests to services and their assignment to upstreams.

A request that no upstream has room for waits at the router, not at an upstream, and
is refused at once if its wait would use up its time.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.gateway.choice import Chosen, choose, has_room
from banyansail.gateway.messages import Cause, Rejection
from banyansail.gateway.upstream_load import ReadPace, UpstreamLoad

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from banyansail.clock import Clock
    from banyansail.gateway.messages import Prompt
    from banyansail.gateway.site import SiteConfig
    from banyansail.gateway.upstream import Upstream

HOLD_TIME_WEIGHT = 0.1  # of a new sample in the moving average
START_HOLD_TIME = timedelta(milliseconds=60)
WAIT_SHARE = 0.5  # of the remaining time that a request may spend waiting
NO_UPSTREAM_RETRY = timedelta(milliseconds=400)
SHORTEST_RETRY = timedelta(milliseconds=100)
MAX_WAITING = 500


@dataclass(slots=True, eq=False)
class Ticket:
    """A request that asks for an upstream.

    Parameters
    ----------
    priority : int
        0 is served first.
    deadline : timedelta
        Monotonic time of the final answer.
    excluded : set of str
        Upstreams that failed the request before.
    draw : float
        From 0 to 1; below a version's share it goes to that version.
    is_retry : bool
        Whether the request was admitted before.
    """

    service: str
    prompt: Prompt | None
    priority: int
    arrived: timedelta
    deadline: timedelta
    excluded: set[str] = field(default_factory=set)
    draw: float = 0.0
    is_retry: bool = False


@dataclass(slots=True, eq=False)
class Slot:
    """A place at an upstream that a request holds."""

    number: int
    chosen: Chosen
    taken_at: timedelta

    @property
    def load(self) -> UpstreamLoad:
        """Load of the upstream."""
        return self.chosen.load


@dataclass(slots=True, eq=False)
class _Waiting:
    ticket: Ticket
    grant: Callable[[Slot | Rejection], None]


@dataclass(slots=True, frozen=True)
class VersionShare:
    """Share of a service's requests that one version gets."""

    target: str
    share: float


@dataclass(slots=True)
class ServiceState:
    """Upstreams and waiting requests of one service."""

    load_by_id: dict[str, UpstreamLoad] = field(default_factory=dict)
    waiting: list[_Waiting] = field(default_factory=list)
    hold_time: timedelta = START_HOLD_TIME
    pace: ReadPace = field(default_factory=ReadPace)
    share: VersionShare | None = None
    read_total: float = 0.0  # prompt tokens given to engines to read

    def usable(self) -> list[UpstreamLoad]:
        """Return the upstreams that may take new work."""
        return [
            load for load in self.load_by_id.values() if not load.upstream.is_leaving
        ]

    def usable_for(self, ticket: Ticket) -> list[UpstreamLoad]:
        """Return the upstreams of the version that a request is drawn for."""
        usable = self.usable()
        if self.share is None:
            return usable
        target = [load for load in usable if load.upstream.version == self.share.target]
        others = [load for load in usable if load.upstream.version != self.share.target]
        if ticket.draw < self.share.share:
            return target or others
        if self.share.share > 0:
            return others or target
        return others

    def expected_wait(self, ticket: Ticket) -> timedelta:
        """Return how long a request would wait behind those that go first."""
        slots = sum(load.upstream.slots for load in self.usable())
        ahead = sum(
            1 for item in self.waiting if item.ticket.priority <= ticket.priority
        )
        return self.hold_time * (ahead + 1) / max(1, slots)


class Dispatcher:
    """All services at one router.

    Parameters
    ----------
    zone : str
        Data centre of the router.
    clock : Clock
        Source of time.
    random : Random
        Source of the draws.
    """

    def __init__(self, zone: str, clock: Clock, random: Random) -> None:
        self._zone = zone
        self._clock = clock
        self._random = random
        self._next_number = 0
        self.service_by_name: dict[str, ServiceState] = {}

    def state(self, service: str) -> ServiceState:
        """Return the state of a service."""
        return self.service_by_name.setdefault(service, ServiceState())

    def load_of(self, upstream_id: str) -> UpstreamLoad | None:
        """Return the load of an upstream, if it is known."""
        for state in self.service_by_name.values():
            if upstream_id in state.load_by_id:
                return state.load_by_id[upstream_id]
        return None

    def apply_upstreams(self, upstreams: Iterable[Upstream], site: SiteConfig) -> None:
        """Take over the known upstreams; what runs at others ends as it may."""
        wanted: dict[str, dict[str, Upstream]] = {}
        for upstream in upstreams:
            wanted.setdefault(upstream.service, {})[upstream.id] = upstream
        for name in {*wanted, *self.service_by_name}:
            service = site.service_by_name.get(name)
            engine = service.engine if service else None
            kv_tokens = engine.kv_tokens if engine else 0
            self._apply(self.state(name), wanted.get(name, {}), kv_tokens)
        self.pump()

    def set_share(self, service: str, target: str, share: float) -> None:
        """Give a version a share of a service's requests."""
        self.state(service).share = VersionShare(target, share)

    def in_flight_beside(self, service: str, target: str) -> int:
        """Return the requests in flight at other versions, at all routers."""
        return sum(
            load.in_flight + load.peer_in_flight
            for load in self.state(service).load_by_id.values()
            if load.upstream.version != target
        )

    def request(
        self, ticket: Ticket, grant: Callable[[Slot | Rejection], None]
    ) -> Callable[[], None]:
        """Ask for a place; return how to stop asking.

        `grant` is called with a slot or a rejection, at once or later.
        """
        state = self.state(ticket.service)
        now = self._clock.monotonic()
        waiting = _Waiting(ticket, grant)
        rejection = self._refuse(state, ticket, now)
        if rejection is not None:
            grant(rejection)
            return lambda: None
        slot = None if state.waiting else self._take(state, ticket, now)
        if slot is not None:
            grant(slot)
            return lambda: None
        state.waiting.append(waiting)
        state.waiting.sort(key=lambda item: (item.ticket.priority, item.ticket.arrived))
        self.pump()
        return lambda: _discard(state.waiting, waiting)

    def release(self, slot: Slot) -> None:
        """Free a place."""
        slot.load.end(slot.number, slot.chosen.work)
        state = self.state(slot.load.upstream.service)
        held = self._clock.monotonic() - slot.taken_at
        state.hold_time += (held - state.hold_time) * HOLD_TIME_WEIGHT
        self.pump()

    def pump(self) -> None:
        """Give free places to waiting requests and refuse those without time."""
        now = self._clock.monotonic()
        for state in self.service_by_name.values():
            for waiting in list(state.waiting):
                given = self._try(state, waiting.ticket, now)
                if given is not None:
                    _discard(state.waiting, waiting)
                    waiting.grant(given)

    def _try(
        self, state: ServiceState, ticket: Ticket, now: timedelta
    ) -> Slot | Rejection | None:
        slot = self._take(state, ticket, now)
        if slot is not None:
            return slot
        waited_share = (now - ticket.arrived) / max(
            ticket.deadline - ticket.arrived, timedelta(microseconds=1)
        )
        if not state.usable() or waited_share >= WAIT_SHARE:
            return self._overloaded(state, ticket)
        return None

    def _refuse(
        self, state: ServiceState, ticket: Ticket, now: timedelta
    ) -> Rejection | None:
        usable = [
            load for load in state.usable() if load.upstream.id not in ticket.excluded
        ]
        if not usable:
            return Rejection(
                503, Cause.NO_UPSTREAM, "no upstream is left", NO_UPSTREAM_RETRY
            )
        if ticket.is_retry or any(has_room(load) for load in usable):
            return None
        wait = state.expected_wait(ticket)
        remaining = ticket.deadline - now
        if wait > remaining * WAIT_SHARE or len(state.waiting) >= MAX_WAITING:
            return self._overloaded(state, ticket)
        return None

    def _overloaded(self, state: ServiceState, ticket: Ticket) -> Rejection:
        wait = state.expected_wait(ticket)
        spread = wait * (0.5 + self._random.random())
        return Rejection(
            503,
            Cause.OVERLOADED,
            f"no upstream has room; the wait is {wait.total_seconds():.2f} s",
            max(SHORTEST_RETRY, spread),
        )

    def _take(self, state: ServiceState, ticket: Ticket, now: timedelta) -> Slot | None:
        chosen = choose(
            state.usable_for(ticket),
            ticket.prompt,
            zone=self._zone,
            now=now,
            random=self._random,
            excluded=frozenset(ticket.excluded),
        )
        if chosen is None:
            return None
        self._next_number += 1
        chosen.load.start(self._next_number, chosen.work, now)
        state.read_total += chosen.work
        if ticket.prompt is not None and chosen.load.cache is not None:
            chosen.load.cache.record(ticket.prompt)
        return Slot(self._next_number, chosen, now)

    def _apply(
        self, state: ServiceState, upstreams: dict[str, Upstream], kv_tokens: int
    ) -> None:
        for name in state.load_by_id.keys() - upstreams.keys():
            del state.load_by_id[name]
        for name, upstream in upstreams.items():
            load = state.load_by_id.get(name)
            if load is None or load.upstream.incarnation != upstream.incarnation:
                state.load_by_id[name] = UpstreamLoad(upstream, kv_tokens, state.pace)
            else:
                load.upstream = upstream


def _discard(items: list[_Waiting], item: _Waiting) -> None:
    if item in items:
        items.remove(item)
