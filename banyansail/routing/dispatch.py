"""Admission of requests to queues and their assignment to upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.routing.choice import Chosen, ZoneLatency, choose_upstream
from banyansail.routing.pool import UpstreamPool
from banyansail.routing.queue import FairQueue
from banyansail.routing.request_types import Refusal, RefusalCode, RunStatus, Ticket
from banyansail.routing.service_dispatch import ServiceDispatch
from banyansail.routing.upstream_state import UpstreamState

if TYPE_CHECKING:
    from random import Random

    from banyansail.clock import Clock
    from banyansail.config.rules import RuleSet, UpstreamRule

SERVICE_TIME_EWMA_WEIGHT = 0.1  # weight of a new sample
MIN_RETRY_AFTER = timedelta(seconds=1)


@dataclass(slots=True, eq=False)
class Assignment:
    """A request assigned to an upstream.

    Parameters
    ----------
    in_flight : int
        Calls of this router in flight at the upstream, including this one.
    """

    ticket: Ticket
    state: UpstreamState
    reason: str
    alternatives: tuple[str, ...]
    in_flight: int


class Dispatcher:
    """Queues, upstream pools and limits of all services at one router.

    Parameters
    ----------
    zone : str
        Zone of this router.
    zone_latency : ZoneLatency
        Network latency to each zone.
    clock : Clock
        Source of time.
    random : Random
        Source of randomness for the choice of upstreams.
    queue_class : type
        Class of the services' queues.
    """

    __slots__ = (
        "_clock",
        "_leaving",
        "_queue_class",
        "_random",
        "_rules",
        "_zone",
        "_zone_latency",
        "dispatch_by_service",
        "state_by_name",
    )

    def __init__(
        self,
        zone: str,
        zone_latency: ZoneLatency,
        clock: Clock,
        random: Random,
        queue_class: type[FairQueue] = FairQueue,
    ) -> None:
        self._queue_class = queue_class
        self._zone = zone
        self._zone_latency = zone_latency
        self._clock = clock
        self._random = random
        self._rules: RuleSet | None = None
        self._leaving: set[str] = set()
        self.dispatch_by_service: dict[str, ServiceDispatch] = {}
        self.state_by_name: dict[str, UpstreamState] = {}

    def apply_rules(self, rules: RuleSet) -> None:
        """Apply services and limits; waiting requests stay in their queues."""
        self._rules = rules
        for name, rule in rules.service_by_name.items():
            capacity = rules.limit(name).max_queued
            dispatch = self.dispatch_by_service.get(name)
            if dispatch is None:
                queue = self._queue_class(capacity, self._weight_of)
                dispatch = ServiceDispatch(queue, rule.latency)
                self.dispatch_by_service[name] = dispatch
            dispatch.queue.capacity = capacity
            dispatch.latency_target = rule.latency

    def apply_upstreams(self, rule_by_name: dict[str, UpstreamRule]) -> None:
        """Replace the known upstreams; calls in flight are not interrupted."""
        for name in [item for item in self.state_by_name if item not in rule_by_name]:
            self._remove(name)
        for name, rule in rule_by_name.items():
            state = self.state_by_name.get(name)
            if state is not None and state.rule == rule:
                continue
            if state is not None:
                self._remove(name)
            self._add(rule)

    def mark_leaving(self, names: set[str]) -> set[str]:
        """Permanently mark upstreams as draining; return those newly marked."""
        new_names = names - self._leaving
        self._leaving |= new_names
        for name in new_names & self.state_by_name.keys():
            state = self.state_by_name[name]
            state.is_leaving = True
            self._refresh(state)
        return new_names

    def mark_suspect(self, name: str) -> None:
        """Send no new calls to an upstream for a while."""
        state = self.state_by_name.get(name)
        if state is not None:
            state.mark_suspect(self._clock.monotonic())
            self._refresh(state)

    def clear_suspect(self, name: str) -> None:
        """Allow new calls to an upstream that answered a probe."""
        state = self.state_by_name.get(name)
        if state is not None:
            state.clear_suspect()
            self._refresh(state)

    def refresh_suspects(self) -> None:
        """Allow new calls to upstreams whose time as suspects has expired."""
        now = self._clock.monotonic()
        for state in self.state_by_name.values():
            if state.suspect_until and now >= state.suspect_until:
                state.clear_suspect()
                self._refresh(state)

    def admit(self, ticket: Ticket) -> Refusal | None:
        """Add a request to its queue, or return the reason for refusing it."""
        dispatch = self.dispatch_by_service[ticket.request_class.service]
        now = self._clock.monotonic()
        if dispatch.queue.is_full:
            wait = dispatch.estimate_wait(ticket.priority, now)
            return _unavailable_refusal(
                RefusalCode.QUEUE_FULL, "the queue is full", wait
            )
        if not dispatch.pool_by_version:
            return _unavailable_refusal(
                RefusalCode.NO_UPSTREAM, "the service has no upstream", MIN_RETRY_AFTER
            )
        wait = dispatch.estimate_wait(ticket.priority, now)
        if now + wait > ticket.deadline:
            text = f"the estimated wait of {wait.total_seconds():.2f} s is too long"
            return _unavailable_refusal(RefusalCode.CANNOT_MEET_DEADLINE, text, wait)
        dispatch.queue.push(ticket)
        return None

    def requeue(self, ticket: Ticket) -> None:
        """Queue a request that was admitted before, without admission checks."""
        self.dispatch_by_service[ticket.request_class.service].queue.push(ticket)

    def cancel(self, ticket: Ticket) -> None:
        """Remove a waiting request from its queue."""
        self.dispatch_by_service[ticket.request_class.service].queue.cancel(ticket)

    def assign(self) -> list[Assignment]:
        """Assign waiting requests to upstreams with room."""
        assignments: list[Assignment] = []
        for dispatch in self.dispatch_by_service.values():
            if len(dispatch.queue):
                assignments.extend(self._assign_service(dispatch))
        return assignments

    def release(
        self, assignment: Assignment, latency: timedelta | None, duration: timedelta
    ) -> None:
        """Record the end of a call.

        Parameters
        ----------
        latency : timedelta or None
            Time to the first token or answer; ``None`` if there was no answer.
        duration : timedelta
            Time that the call occupied the upstream.
        """
        state = assignment.state
        now = self._clock.monotonic()
        state.record_call_end()
        if assignment.ticket.is_exclusive:
            state.is_exclusive = False
        if latency is None:
            state.limit.back_off(now)
        else:
            state.limit.record_latency(latency, assignment.in_flight, now)
            state.suspicions = 0
            dispatch = self.dispatch_by_service[state.rule.service]
            change = (duration - dispatch.service_time) * SERVICE_TIME_EWMA_WEIGHT
            dispatch.service_time += change
        pool = self._pool(state.rule)
        if pool is not None:
            pool.in_flight -= 1
        self._refresh(state)

    def _assign_service(self, dispatch: ServiceDispatch) -> list[Assignment]:
        assignments: list[Assignment] = []
        blocked: list[Ticket] = []
        while dispatch.has_room():
            ticket = dispatch.queue.pop()
            if ticket is None:
                break
            chosen = self._choose(dispatch, ticket)
            if chosen is not None:
                assignments.append(self._start(ticket, chosen))
                continue
            blocked.append(ticket)
            if not ticket.is_exclusive and not ticket.excluded:
                break
        for ticket in blocked:
            dispatch.queue.push(ticket)
        return assignments

    def _choose(self, dispatch: ServiceDispatch, ticket: Ticket) -> Chosen | None:
        for pool in dispatch.pools_for_ticket(ticket):
            chosen = choose_upstream(
                ticket,
                pool,
                home_zone=self._zone,
                zone_latency=self._zone_latency,
                latency_target=dispatch.latency_target,
                now=self._clock.monotonic(),
                random=self._random,
            )
            if chosen is not None:
                return chosen
        return None

    def _start(self, ticket: Ticket, chosen: Chosen) -> Assignment:
        state = chosen.state
        state.record_call_start()
        state.is_exclusive = ticket.is_exclusive
        dispatch = self.dispatch_by_service[state.rule.service]
        if dispatch.shares is not None:
            dispatch.exposure.record(dispatch.shares, state.rule.version)
        pool = self._pool(state.rule)
        if pool is not None:
            pool.in_flight += 1
        self._refresh(state)
        return Assignment(
            ticket, state, chosen.reason, chosen.alternatives, state.in_flight
        )

    def _add(self, rule: UpstreamRule) -> None:
        dispatch = self.dispatch_by_service.get(rule.service)
        if dispatch is None:
            return
        state = UpstreamState(rule, dispatch.latency_target)
        state.is_leaving = rule.name in self._leaving
        self.state_by_name[rule.name] = state
        pool = dispatch.pool_by_version.setdefault(rule.version, UpstreamPool())
        pool.add(state, self._clock.monotonic())

    def _remove(self, name: str) -> None:
        rule = self.state_by_name.pop(name).rule
        pools = self.dispatch_by_service[rule.service].pool_by_version
        pool = pools[rule.version]
        pool.in_flight -= pool.state_by_name[name].in_flight
        pool.remove(name)
        if not len(pool):
            del pools[rule.version]

    def _pool(self, rule: UpstreamRule) -> UpstreamPool | None:
        dispatch = self.dispatch_by_service[rule.service]
        pool = dispatch.pool_by_version.get(rule.version)
        if pool is None or rule.name not in pool.state_by_name:
            return None
        return pool

    def _refresh(self, state: UpstreamState) -> None:
        pool = self._pool(state.rule)
        if pool is not None:
            pool.refresh(state, self._clock.monotonic())

    def _weight_of(self, workspace: str) -> int:
        return self._rules.weight(workspace) if self._rules else 1


def _unavailable_refusal(code: RefusalCode, message: str, wait: timedelta) -> Refusal:
    retry_after = max(wait, MIN_RETRY_AFTER)
    return Refusal(503, code, RunStatus.NOT_RUN, message, retry_after)
