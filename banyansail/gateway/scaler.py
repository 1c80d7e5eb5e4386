"""Orders replicas for each service that may be scaled, while the lease is held."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.exceptions import BanyansailError
from banyansail.gateway.scaling import (
    Demand,
    ReplicaOrder,
    ZoneReplicas,
    engines_needed,
    plan_replicas,
)
from banyansail.log import log_decision, log_event

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.gateway.dispatch import Dispatcher
    from banyansail.gateway.duty_lease import DutyLease
    from banyansail.gateway.peers import PeerTable
    from banyansail.gateway.site import ServiceSpec, SiteConfig
    from banyansail.platform.cloud import Cloud

REFUSED_PAUSE = timedelta(seconds=4)
REPEAT_AFTER = timedelta(seconds=10)  # an order that did not show is given again
RATE_TIME = timedelta(seconds=4)
LEARN_TIME = timedelta(seconds=8)  # of traffic, until its load is known
HIGH_TIME = timedelta(seconds=15)  # the need of the last while is kept
MS_PER_S = 1000
REFUSED_STATUS = 409

Place = tuple[str, str, bool]  # service, data centre, reclaimable


class _Rate:
    """Rate of a counter, averaged over `RATE_TIME`."""

    def __init__(self) -> None:
        self._total: float | None = None
        self._at = timedelta(0)
        self.value = 0.0

    def update(self, total: float, now: timedelta) -> float:
        elapsed = now - self._at
        if self._total is not None and elapsed > timedelta(0):
            rate = max(0.0, total - self._total) / elapsed.total_seconds()
            self.value += (rate - self.value) * min(1.0, elapsed / RATE_TIME)
        self._total, self._at = total, now
        return self.value


class Scaler:
    """Keeps the ordered replicas at what the load needs."""

    def __init__(
        self,
        clock: Clock,
        cloud: Cloud,
        lease: DutyLease,
        dispatcher: Dispatcher,
        peers: PeerTable,
    ) -> None:
        self._clock = clock
        self._cloud = cloud
        self._lease = lease
        self._dispatcher = dispatcher
        self._peers = peers
        self._rate_by_service: dict[str, _Rate] = {}
        self._needs_by_service: dict[str, list[tuple[timedelta, int]]] = {}
        self._served_since: dict[str, timedelta] = {}
        self._started_with: dict[str, int] = {}
        self._ordered: dict[Place, tuple[int, timedelta]] = {}
        self._refused_at: dict[Place, timedelta] = {}

    async def scale(self, site: SiteConfig) -> None:
        """Order what the load needs now."""
        if self._lease.fence() is None:
            self._ordered.clear()  # another holder may have ordered since
        for service in site.service_by_name.values():
            if service.scaling is None or service.engine is None:
                continue
            needed = self._needed(service)
            if self._lease.fence() is None:
                continue
            replicas = self._replicas(service)
            if not replicas:
                continue  # nothing is known of the service yet
            orders = plan_replicas(
                service.scaling, replicas, needed, self._refused(service.name)
            )
            for order in orders:
                await self._order(service.name, order, replicas, needed)

    def _needed(self, service: ServiceSpec) -> int:
        now = self._clock.monotonic()
        state = self._dispatcher.state(service.name)
        total = state.prefill_tokens_total + self._peers.read_total(service.name)
        rate = self._rate_by_service.setdefault(service.name, _Rate())
        loads = state.usable()
        running = sum(load.in_flight + load.peer_in_flight for load in loads)
        read_rate = state.prefill_rate.tokens_per_ms * MS_PER_S
        demand = Demand(rate.update(total, now), running, read_rate)
        needs = self._needs_by_service.setdefault(service.name, [])
        needed = engines_needed(demand, service.engine)
        if total > 0:
            self._served_since.setdefault(service.name, now)
        first = self._served_since.get(service.name, now)
        if now - first < LEARN_TIME:
            # The load is not known yet: what the operators started has to do.
            on_demand = sum(not load.upstream.is_reclaimable for load in loads)
            most = max(on_demand, self._started_with.get(service.name, 0))
            self._started_with[service.name] = most
            needed = max(needed, most)
        needs.append((now, needed))
        needs[:] = [item for item in needs if now - item[0] <= HIGH_TIME]
        return max(need for _, need in needs)

    def _replicas(self, service: ServiceSpec) -> dict[str, ZoneReplicas]:
        found: dict[str, ZoneReplicas] = {}
        for load in self._dispatcher.state(service.name).usable():
            upstream = load.upstream
            has = found.get(upstream.zone, ZoneReplicas())
            found[upstream.zone] = ZoneReplicas(
                has.on_demand + (not upstream.is_reclaimable),
                has.reclaimable + upstream.is_reclaimable,
            )
        return found

    def _refused(self, service: str) -> frozenset[tuple[str, bool]]:
        now = self._clock.monotonic()
        return frozenset(
            (zone, reclaimable)
            for (name, zone, reclaimable), at in self._refused_at.items()
            if name == service and now - at < REFUSED_PAUSE
        )

    async def _order(
        self,
        service: str,
        order: ReplicaOrder,
        replicas: dict[str, ZoneReplicas],
        needed: int,
    ) -> None:
        place = (service, order.zone, order.is_reclaimable)
        has = replicas.get(order.zone, ZoneReplicas())
        count = has.reclaimable if order.is_reclaimable else has.on_demand
        now = self._clock.monotonic()
        wanted, at = self._ordered.get(place, (count, timedelta(0)))
        is_known = wanted == order.wanted
        if is_known and (count == wanted or now - at < REPEAT_AFTER):
            return
        if now - self._refused_at.get(place, -REFUSED_PAUSE) < REFUSED_PAUSE:
            return
        fence = self._lease.fence()
        if fence is None:
            return
        try:
            status = await self._cloud.order_replicas(
                service,
                order.zone,
                order.wanted,
                fence,
                reclaimable=order.is_reclaimable,
            )
        except BanyansailError as error:
            log_event("order_unsent", service=service, error=error.message)
            return
        log_decision(
            "order_replicas",
            f"{needed} engines are needed",
            service=service,
            zone=order.zone,
            reclaimable=order.is_reclaimable,
            wanted=order.wanted,
            has=count,
            status=status,
        )
        if status < 300:
            self._ordered[place] = (order.wanted, now)
        else:
            self._refused_at[place] = now
