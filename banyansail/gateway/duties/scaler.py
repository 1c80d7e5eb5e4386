"""Orders of replicas for each scalable service, by the holder of the duty lease."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.exceptions import BanyansailError
from banyansail.gateway.duties.scaling import (
    Demand,
    ReplicaOrder,
    ZoneReplicas,
    engines_needed,
    plan_replicas,
)
from banyansail.log import log_decision, log_event

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.gateway.decisions.queue.dispatch import Dispatcher
    from banyansail.gateway.duties.duty_lease import DutyLease
    from banyansail.gateway.site import ServiceSpec, SiteConfig
    from banyansail.platform.cloud import CloudClient
    from banyansail.traffic.fleet_traffic import FleetTraffic

REFUSAL_BACKOFF = timedelta(seconds=4)  # until a refused order is sent again
REORDER_AFTER = timedelta(seconds=10)  # then an order without effect is sent again
RATE_TIME_CONSTANT = timedelta(seconds=4)  # of the moving average of prompt tokens
LOAD_LEARNING_TIME = timedelta(seconds=8)  # of traffic, until its load is known
PEAK_WINDOW = timedelta(seconds=15)  # replicas are ordered for the peak within it
MS_PER_S = 1000
REFUSED_STATUS = 409

PoolKey = tuple[str, str, bool]  # of replicas: service, data centre, is_reclaimable


class _MovingRate:
    """Moving average of a counter's rate over `RATE_TIME_CONSTANT`."""

    def __init__(self) -> None:
        self._total: float | None = None
        self._updated_at = timedelta(0)
        self.value = 0.0

    def update(self, total: float, now: timedelta) -> float:
        elapsed = now - self._updated_at
        if self._total is not None and elapsed > timedelta(0):
            rate = max(0.0, total - self._total) / elapsed.total_seconds()
            self.value += (rate - self.value) * min(1.0, elapsed / RATE_TIME_CONSTANT)
        self._total, self._updated_at = total, now
        return self.value


class Scaler:
    """Orders as many replicas as each service's load needs while the lease is held."""

    def __init__(
        self,
        clock: Clock,
        cloud: CloudClient,
        lease: DutyLease,
        dispatcher: Dispatcher,
        fleet: FleetTraffic,
    ) -> None:
        self._clock = clock
        self._cloud = cloud
        self._lease = lease
        self._dispatcher = dispatcher
        self._fleet = fleet
        self._rate_by_service: dict[str, _MovingRate] = {}
        self._recent_needs_by_service: dict[str, list[tuple[timedelta, int]]] = {}
        self._traffic_since_by_service: dict[str, timedelta] = {}
        self._initial_replicas_by_service: dict[str, int] = {}
        self._last_order_by_pool: dict[PoolKey, tuple[int, timedelta]] = {}
        self._refused_at_by_pool: dict[PoolKey, timedelta] = {}

    async def scale(self, site: SiteConfig) -> None:
        """Order replicas where their number differs from the need of the load."""
        if self._lease.fencing_token() is None:
            # Another holder of the lease may have placed orders since.
            self._last_order_by_pool.clear()
        for service in site.service_by_name.values():
            if service.scaling is None or service.engine is None:
                continue
            needed = self._count_engines_needed(service)
            if self._lease.fencing_token() is None:
                continue
            replicas_by_zone = self._replicas_by_zone(service)
            if not replicas_by_zone:
                continue  # no replica of the service is known yet
            orders = plan_replicas(
                service.scaling,
                replicas_by_zone,
                needed,
                self._refused_pools(service.name),
            )
            for order in orders:
                await self._order(service.name, order, replicas_by_zone, needed)

    def _count_engines_needed(self, service: ServiceSpec) -> int:
        now = self._clock.monotonic()
        state = self._dispatcher.state(service.name)
        prefill_total = state.prefill_tokens_total + self._fleet.prefill_tokens_total(
            service.name
        )
        rate = self._rate_by_service.setdefault(service.name, _MovingRate())
        loads = state.usable()
        in_flight = sum(load.in_flight + load.peer_in_flight for load in loads)
        engine_prefill_rate = state.prefill_rate.tokens_per_ms * MS_PER_S
        mean_speed = 1.0
        if self._dispatcher.is_uneven and loads:
            mean_speed = sum(load.speed for load in loads) / len(loads)
        demand = Demand(
            rate.update(prefill_total, now), in_flight, engine_prefill_rate, mean_speed
        )
        recent_needs = self._recent_needs_by_service.setdefault(service.name, [])
        needed = engines_needed(demand, service.engine)
        if prefill_total > 0:
            self._traffic_since_by_service.setdefault(service.name, now)
        traffic_since = self._traffic_since_by_service.get(service.name, now)
        if now - traffic_since < LOAD_LEARNING_TIME:
            # The load is not known yet; keep the replicas that the operators started.
            on_demand = sum(not load.upstream.is_reclaimable for load in loads)
            initial = max(
                on_demand, self._initial_replicas_by_service.get(service.name, 0)
            )
            self._initial_replicas_by_service[service.name] = initial
            needed = max(needed, initial)
        recent_needs.append((now, needed))
        recent_needs[:] = [
            item for item in recent_needs if now - item[0] <= PEAK_WINDOW
        ]
        return max(need for _, need in recent_needs)

    def _replicas_by_zone(self, service: ServiceSpec) -> dict[str, ZoneReplicas]:
        replicas_by_zone: dict[str, ZoneReplicas] = {}
        for load in self._dispatcher.state(service.name).usable():
            upstream = load.upstream
            current = replicas_by_zone.get(upstream.zone, ZoneReplicas())
            replicas_by_zone[upstream.zone] = ZoneReplicas(
                current.on_demand + (not upstream.is_reclaimable),
                current.reclaimable + upstream.is_reclaimable,
            )
        return replicas_by_zone

    def _refused_pools(self, service: str) -> frozenset[tuple[str, bool]]:
        now = self._clock.monotonic()
        return frozenset(
            (zone, is_reclaimable)
            for (name, zone, is_reclaimable), at in self._refused_at_by_pool.items()
            if name == service and now - at < REFUSAL_BACKOFF
        )

    async def _order(
        self,
        service: str,
        order: ReplicaOrder,
        replicas_by_zone: dict[str, ZoneReplicas],
        needed: int,
    ) -> None:
        pool = (service, order.zone, order.is_reclaimable)
        current = replicas_by_zone.get(order.zone, ZoneReplicas())
        count = current.reclaimable if order.is_reclaimable else current.on_demand
        now = self._clock.monotonic()
        ordered, ordered_at = self._last_order_by_pool.get(pool, (count, timedelta(0)))
        is_ordered = ordered == order.wanted
        if is_ordered and (count == ordered or now - ordered_at < REORDER_AFTER):
            return
        if now - self._refused_at_by_pool.get(pool, -REFUSAL_BACKOFF) < REFUSAL_BACKOFF:
            return
        fencing_token = self._lease.fencing_token()
        if fencing_token is None:
            return
        try:
            status = await self._cloud.order_replicas(
                service,
                order.zone,
                order.wanted,
                fencing_token,
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
            self._last_order_by_pool[pool] = (order.wanted, now)
        else:
            self._refused_at_by_pool[pool] = now
