"""Upstreams and waiting requests of one service at one router."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING

from banyansail.gateway.decisions.queue.arrival_queue import ArrivalQueue
from banyansail.gateway.decisions.queue.fair_queue import FairQueue
from banyansail.gateway.decisions.upstreams.choice import ServiceDemand, has_free_slot
from banyansail.gateway.decisions.upstreams.peer_demand import PeerDemand
from banyansail.gateway.decisions.upstreams.prefix_spread import PrefixSpread
from banyansail.gateway.decisions.upstreams.upstream_load import (
    AnswerTime,
    PrefillRate,
    UpstreamLoad,
)

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from banyansail.gateway.decisions.queue.slot_budget import SlotBudget
    from banyansail.gateway.decisions.queue.tickets import Ticket
    from banyansail.gateway.decisions.queue.work_shares import WorkShares
    from banyansail.gateway.site import EngineSpec, ServiceSpec
    from banyansail.gateway.upstream import Upstream

INITIAL_SLOT_TIME = timedelta(milliseconds=60)
EPOCH = datetime.fromtimestamp(0, UTC)
MILLISECOND = timedelta(milliseconds=1)


@dataclass(slots=True, frozen=True)
class VersionShare:
    """Share of a service's requests that one version receives."""

    version: str
    share: float


@dataclass(slots=True)
class ServiceState:
    """Upstreams and waiting requests of one service."""

    load_by_id: dict[str, UpstreamLoad] = field(default_factory=dict)
    waiting: ArrivalQueue | FairQueue = field(default_factory=ArrivalQueue)
    # Only where the fair order may be used.
    shares: WorkShares | None = None
    budget: SlotBudget | None = None
    late_checked_at: timedelta = timedelta(0)
    mean_slot_time: timedelta = INITIAL_SLOT_TIME
    prefill_rate: PrefillRate = field(default_factory=PrefillRate)
    answer_time: AnswerTime = field(default_factory=AnswerTime)
    demand: ServiceDemand = field(
        default_factory=lambda: ServiceDemand(PeerDemand(), PrefixSpread())
    )
    version_share: VersionShare | None = None
    prefill_tokens_total: float = 0.0  # expected, of all requests assigned so far
    is_brittle: bool = False  # by the latest answer of an upstream
    engine: EngineSpec | None = None
    evacuated_zones: frozenset[str] = frozenset()
    # Removed upstreams that asked for a pause; their entries may return.
    paused_by_incarnation: dict[tuple[str, int], UpstreamLoad] = field(
        default_factory=dict
    )

    def apply_upstreams(
        self, upstream_by_id: Mapping[str, Upstream], now: timedelta, random: Random
    ) -> None:
        """Replace the known upstreams; requests in flight at removed ones continue."""
        for upstream_id in self.load_by_id.keys() - upstream_by_id.keys():
            load = self.load_by_id.pop(upstream_id)
            if load.pause_left(now):
                self.paused_by_incarnation[load.upstream.incarnation] = load
        for upstream_id, upstream in upstream_by_id.items():
            load = self.load_by_id.get(upstream_id)
            if load is None or load.upstream.incarnation != upstream.incarnation:
                self.load_by_id[upstream_id] = self._new_load(upstream, now, random)
            else:
                load.upstream = upstream

    def _new_load(
        self, upstream: Upstream, now: timedelta, random: Random
    ) -> UpstreamLoad:
        kv_tokens = self.engine.kv_tokens if self.engine else 0
        load = UpstreamLoad(
            upstream, kv_tokens, self.prefill_rate, random, self.answer_time
        )
        removed = self.paused_by_incarnation.pop(upstream.incarnation, None)
        if removed is not None:
            load.pause(removed.pause_left(now), now)
        return load

    def apply_cold_starts(
        self, service: ServiceSpec | None, now: timedelta, wall_time: datetime
    ) -> None:
        """Apply what the entries of the upstreams say of being cold."""
        for load in self.load_by_id.values():
            cold, upstream = load.cold, load.upstream
            is_new = not cold.is_known
            cold.record_entry(upstream, now)
            cold.per_s = service.cold_per_s if service else 0.0
            if is_new and service is not None:
                age = None
                if upstream.started_at:
                    age = wall_time - EPOCH - MILLISECOND * upstream.started_at
                cold.record_start(age, service.cold_start, now)

    def usable(self) -> list[UpstreamLoad]:
        """Return the upstreams that are neither draining nor evacuated."""
        return [
            load
            for load in self.load_by_id.values()
            if not load.upstream.is_leaving
            and load.upstream.zone not in self.evacuated_zones
        ]

    def has_free_slot(self, now: timedelta) -> bool:
        """Return whether any usable upstream takes a request now."""
        return any(has_free_slot(load, now) for load in self.usable())

    def usable_by(self, ticket: Ticket) -> list[UpstreamLoad]:
        """Return the usable upstreams that did not fail a request yet."""
        return [
            load for load in self.usable() if load.upstream.id not in ticket.excluded
        ]

    def usable_for(self, ticket: Ticket) -> list[UpstreamLoad]:
        """Return the usable upstreams of the version that a request is routed to.

        If that version has none, return those of the others; only a version whose share
        is 0 gets no requests even then.
        """
        usable = self.usable()
        if self.version_share is None:
            return usable
        target = [
            load
            for load in usable
            if load.upstream.version == self.version_share.version
        ]
        others = [
            load
            for load in usable
            if load.upstream.version != self.version_share.version
        ]
        if ticket.version_draw < self.version_share.share:
            return target or others
        if self.version_share.share > 0:
            return others or target
        return others

    def expected_wait(self, ticket: Ticket, now: timedelta) -> timedelta | None:
        """Return the expected queueing time, behind all requests served before.

        It is ``None`` if the upstreams' limits leave nothing to this router.
        """
        slot_time_s = self.mean_slot_time.total_seconds()
        per_s = sum(
            load.capped(load.upstream.slots / slot_time_s, now)
            for load in self.usable()
        )
        ahead = self.waiting.count_before(ticket.priority)
        return timedelta(seconds=(ahead + 1) / per_s) if per_s else None

    def fair_wait(
        self, ticket: Ticket, routers: int, now: timedelta, *, is_waiting: bool
    ) -> timedelta | None:
        """Return the expected queueing time of a request in the fair order.

        The slots that this router holds become free for it again; its part of all
        slots is the least that it expects. The wait is ``None`` if the upstreams'
        limits leave nothing to this router.
        """
        slot_time_s = self.mean_slot_time.total_seconds()
        per_s = sum(
            load.capped(
                max(load.in_flight, load.upstream.slots / routers) / slot_time_s, now
            )
            for load in self.usable()
        )
        ahead = self.waiting.count_before(ticket, is_waiting=is_waiting)
        return timedelta(seconds=(ahead + 1) / per_s) if per_s else None

    def record_assigned(self, ticket: Ticket, work: float) -> None:
        """Charge a request that got a slot to its workspace."""
        self.budget.record_assigned()
        if self.is_fair:
            self.waiting.record_assigned(ticket, work)
        else:
            self.shares.charge(ticket.workspace, work)

    def has_budget(self, *, is_waiting: bool) -> bool:
        """Return whether this router may take a free slot of a loaded fleet."""
        return not self.is_fair or self.budget.allows(is_waiting=is_waiting)

    def renew_budget(self, routers: int) -> None:
        """Take the reported load of the other routers into account."""
        usable = self.usable()
        for load in usable:
            load.equal_part = load.upstream.slots / routers if self.is_fair else 0.0
        self.budget.renew(
            sum(load.upstream.slots for load in usable),
            sum(load.in_flight for load in usable),
            sum(load.peer_in_flight for load in usable),
            routers,
        )

    @property
    def is_fair(self) -> bool:
        """Whether waiting requests are taken by the shares of workspaces."""
        return isinstance(self.waiting, FairQueue)

    def is_limited(self, now: timedelta) -> bool:
        """Return whether any usable upstream named a limit or is cold."""
        return any(load.is_limited(now) for load in self.usable())
