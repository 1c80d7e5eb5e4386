"""Admission of requests to services and assignment of upstreams' slots to them.

A request that no upstream has room for is queued at the router, not at an upstream. It
is rejected at once if the expected wait is too long for its deadline.
"""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.gateway.decisions.queue.admission import Admission, max_wait, resolve
from banyansail.gateway.decisions.queue.fair_order import FairOrder
from banyansail.gateway.decisions.queue.service_state import ServiceState, VersionShare
from banyansail.gateway.decisions.queue.tickets import QueueEntry, Slot, Ticket
from banyansail.gateway.decisions.queue.work import assigned_work
from banyansail.gateway.decisions.upstreams.choice import (
    Chosen,
    affinity_key,
    choose,
)
from banyansail.gateway.request_types import Rejection

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping
    from random import Random

    from banyansail.clock import Clock
    from banyansail.gateway.decisions.upstreams.upstream_load import UpstreamLoad
    from banyansail.gateway.site import SiteConfig
    from banyansail.gateway.upstream import Upstream

SLOT_TIME_WEIGHT = 0.1  # of a new sample in the moving average
# After its start, a router hears of the traffic of others within a few seconds.
HEARING_TIME = timedelta(seconds=5)


class Dispatcher:
    """Queues and upstreams of all services at one router.

    Parameters
    ----------
    zone : str
        Data centre of the router.
    clock : Clock
        Source of time.
    random : Random
        Source of random choices.
    fair_queue_min_routers : int or None
        Size of the fleet from which on waiting requests are taken by the shares of
        their workspaces; ``None`` for never.
    """

    def __init__(
        self,
        zone: str,
        clock: Clock,
        random: Random,
        fair_queue_min_routers: int | None = None,
    ) -> None:
        self._zone = zone
        self._clock = clock
        self._random = random
        self._last_slot_number = 0
        self.is_uneven = False  # whether upstreams may differ, by the settings
        self.service_by_name: dict[str, ServiceState] = {}
        self._started_at = clock.monotonic()
        self._has_traffic = False
        self._evacuated_zones: frozenset[str] = frozenset()
        self.fair = FairOrder(clock, random, fair_queue_min_routers)
        self._admission = Admission(self.fair, random)

    def state(self, service: str) -> ServiceState:
        """Return the state of a service."""
        state = self.service_by_name.get(service)
        if state is None:
            state = ServiceState(evacuated_zones=self._evacuated_zones)
            self.service_by_name[service] = state
        return state

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Data centres to which nothing is sent."""
        return self._evacuated_zones

    @evacuated_zones.setter
    def evacuated_zones(self, zones: frozenset[str]) -> None:
        """Reject at once the waiting requests that only these zones could serve."""
        self._evacuated_zones = zones
        for state in self.service_by_name.values():
            state.evacuated_zones = zones
        self.assign_waiting()

    def loads(self) -> list[UpstreamLoad]:
        """Return the loads of all known upstreams."""
        return [
            load
            for state in self.service_by_name.values()
            for load in state.load_by_id.values()
        ]

    def load_of(self, upstream_id: str) -> UpstreamLoad | None:
        """Return the load of an upstream, if it is known."""
        for state in self.service_by_name.values():
            if upstream_id in state.load_by_id:
                return state.load_by_id[upstream_id]
        return None

    def apply_upstreams(self, upstreams: Iterable[Upstream], site: SiteConfig) -> None:
        """Replace the known upstreams; requests in flight at removed ones continue."""
        now = self._clock.monotonic()
        upstreams_by_service: dict[str, dict[str, Upstream]] = {}
        for upstream in upstreams:
            upstreams_by_service.setdefault(upstream.service, {})[upstream.id] = (
                upstream
            )
        for name in {*upstreams_by_service, *self.service_by_name}:
            service = site.service_by_name.get(name)
            state = self.state(name)
            state.engine = service.engine if service else None
            state.apply_upstreams(upstreams_by_service.get(name, {}), now, self._random)
            state.apply_cold_starts(service, now, self._clock.now())
        self.assign_waiting()

    def record_traffic(self) -> None:
        """Record that this router or another one has had requests.

        Upstreams that were known before are warm. If there is traffic soon after the
        start of this router, it probably had begun before that.
        """
        if self._has_traffic:
            return
        self._has_traffic = True
        if self._clock.monotonic() - self._started_at < HEARING_TIME:
            return
        for load in self.loads():
            load.cold.forget_start()

    def set_share(self, service: str, version: str, share: float) -> None:
        """Set the share of a service's requests that a version receives."""
        self.state(service).version_share = VersionShare(version, share)

    def in_flight_at_other_versions(self, service: str, version: str) -> int:
        """Return the requests in flight at other versions, over all routers."""
        return sum(
            load.in_flight + load.peer_in_flight
            for load in self.state(service).load_by_id.values()
            if load.upstream.version != version
        )

    def record_fleet(
        self, routers: int, assigned_by_name: Mapping[str, float] | None = None
    ) -> None:
        """Use the size of the fleet and the work that other routers assigned.

        Parameters
        ----------
        assigned_by_name : mapping or None
            Totals by service and workspace; ``None`` if nothing new was heard.
        """
        self.fair.record_fleet_size(routers)
        for name, state in self.service_by_name.items():
            self.fair.apply_to(name, state, assigned_by_name)

    def request_slot(
        self, ticket: Ticket, on_result: Callable[[Slot | Rejection], None]
    ) -> Callable[[], None]:
        """Request a slot; return a function that withdraws the ticket.

        `on_result` is called once, at once or later, with a slot or a rejection.
        """
        self.record_traffic()
        state = self.state(ticket.service)
        now = self._clock.monotonic()
        entry = QueueEntry(ticket, on_result)
        self.fair.observe(state, ticket)
        rejection = self._admission.check(state, ticket, now)
        if rejection is not None:
            self.fair.record_rejection(ticket.fingerprint, rejection)
            on_result(rejection)
            return lambda: None
        slot = None
        if not state.waiting and state.has_budget(is_waiting=False):
            slot = self._assign_slot(state, ticket, now)
        if slot is not None:
            on_result(slot)
            return lambda: None
        self.fair.prepare_to_wait(ticket)
        if state.is_fair and not ticket.excluded:
            last_start = ticket.deadline - self._admission.answer_time(state, ticket)
            entry.check_at = min(ticket.arrived_at + max_wait(ticket), last_start)
        state.waiting.push(entry)
        self._assign_free_slots(state, now)
        if state.is_fair and not entry.is_resolved:
            self._admission.reject_excess(state, entry, now)
        return lambda: _withdraw(state, entry)

    def try_slot(self, ticket: Ticket) -> Slot | None:
        """Return a free slot for a run that continues with its memory, if any."""
        state = self.state(ticket.service)
        if not state.has_budget(is_waiting=False):
            return None
        now = self._clock.monotonic()
        return self._assign_slot(state, ticket, now, has_memory=True)

    def take_slot(self, load: UpstreamLoad) -> Slot:
        """Return a slot at an upstream for a run that continues where it stopped."""
        self._last_slot_number += 1
        now = self._clock.monotonic()
        load.start_attempt(self._last_slot_number, 0, now)
        reason = "it holds the memory of the run"
        return Slot(self._last_slot_number, Chosen(load, 0, timedelta(0), reason), now)

    def release(self, slot: Slot) -> None:
        """Release a slot after its attempt and assign it to a waiting request."""
        slot.load.end_attempt(slot.number, slot.chosen.prefill_tokens)
        state = self.state(slot.load.upstream.service)
        now = self._clock.monotonic()
        if state.budget is not None:
            state.budget.record_released()
        slot_time = now - slot.assigned_at
        state.mean_slot_time += (slot_time - state.mean_slot_time) * SLOT_TIME_WEIGHT
        self._assign_free_slots(state, now)

    def assign_waiting(self) -> None:
        """Assign free slots to waiting requests; reject those that waited too long."""
        now = self._clock.monotonic()
        for state in list(self.service_by_name.values()):
            self._assign_free_slots(state, now)
            self._admission.reject_waiting(state, now)

    def _assign_free_slots(self, state: ServiceState, now: timedelta) -> None:
        """Assign free slots to waiting requests; it ends with the last free slot."""
        candidates = state.waiting.candidates()
        while (
            state.waiting
            and state.has_budget(is_waiting=True)
            and state.has_free_slot(now)
        ):
            entry = next(candidates, None)
            if entry is None:
                return
            if not entry.is_resolved:  # by a result that was delivered meanwhile
                slot = self._assign_slot(state, entry.ticket, now)
                if slot is not None:
                    if state.is_fair:
                        slot.share = state.shares.share_use(entry.ticket.workspace)
                    resolve(state, entry, slot)

    def _assign_slot(
        self,
        state: ServiceState,
        ticket: Ticket,
        now: timedelta,
        *,
        has_memory: bool = False,
    ) -> Slot | None:
        """Assign a slot at the best upstream, if any has one.

        Parameters
        ----------
        has_memory : bool
            Whether the upstream need not read the prompt.
        """
        chosen = choose(
            state.usable_for(ticket),
            ticket.prompt,
            zone=self._zone,
            now=now,
            random=self._random,
            excluded=frozenset(ticket.excluded),
            demand=state.demand if self.is_uneven else None,
        )
        if chosen is None:
            return None
        if has_memory:
            chosen = replace(chosen, prefill_tokens=0)
        self._last_slot_number += 1
        chosen.load.start_attempt(self._last_slot_number, chosen.prefill_tokens, now)
        state.prefill_tokens_total += chosen.prefill_tokens
        if self.is_uneven and ticket.prompt is not None:
            key = affinity_key(ticket.prompt)
            state.demand.spread.record(key, chosen.prefill_tokens, now)
        if state.shares is not None:
            work = assigned_work(ticket.prompt, chosen.prefill_tokens)
            state.record_assigned(ticket, work)
        if ticket.prompt is not None and chosen.load.cache is not None:
            chosen.load.cache.record(ticket.prompt)
        return Slot(self._last_slot_number, chosen, now)


def _withdraw(state: ServiceState, entry: QueueEntry) -> None:
    entry.is_resolved = True
    state.waiting.discard(entry)
