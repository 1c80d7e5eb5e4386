"""Placement controller of a router: instances and the versions of engines."""

from __future__ import annotations

import json
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from banyansail.config.rules import InstanceClass, PlacementRule, ServiceKind
from banyansail.coordination.budget import CallKind
from banyansail.coordination.lease import LEASE_TIME, HeldLease, Lease
from banyansail.log import log_decision, log_event
from banyansail.placement.backoff import StartBackoff
from banyansail.placement.demand import PeakDemand
from banyansail.placement.orders import (
    EngineReport,
    LoadRateLimit,
    LoadVersion,
    due_orders,
    plan_versions,
)
from banyansail.placement.planner import (
    InstancePool,
    Offer,
    PlacementAction,
    RunningInstance,
    StartInstance,
    StopInstance,
    plan_actions,
)

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.config.rules import RuleSet
    from banyansail.coordination.client import PlatformClient
    from banyansail.fleet.duties import Duties
    from banyansail.routing.dispatch import Dispatcher
    from banyansail.upstreams.upstream_clients import UpstreamClients

ORDER_TIMEOUT = timedelta(seconds=2)  # of load reports and orders


class _ServicePlacement:
    """State of the placement of a service while this router has the duty for it."""

    __slots__ = ("backoff", "demand", "lease", "load_limit")

    def __init__(self, lease: Lease, clock: Clock) -> None:
        self.demand = PeakDemand(clock)
        self.lease = lease
        self.backoff = StartBackoff(clock)
        self.load_limit = LoadRateLimit(clock)


class PlacementController:
    """Reconciles instances and engine versions with the rules.

    Parameters
    ----------
    router_id : str
        Identity of this process, as lease holder.
    clock : Clock
        Source of time.
    platform : PlatformClient
        Cloud API and leases.
    duties : Duties
        Decides which router has the duty of a service's placement.
    dispatcher : Dispatcher
        Provides the upstreams, their load and the shares of versions.
    upstream_clients : UpstreamClients
        Connections to the engines.
    """

    def __init__(
        self,
        router_id: str,
        clock: Clock,
        platform: PlatformClient,
        duties: Duties,
        dispatcher: Dispatcher,
        upstream_clients: UpstreamClients,
    ) -> None:
        self._router_id = router_id
        self._clock = clock
        self._platform = platform
        self._duties = duties
        self._dispatcher = dispatcher
        self._upstream_clients = upstream_clients
        self._rules: RuleSet | None = None
        self._placement_by_service: dict[str, _ServicePlacement] = {}

    def apply_rules(self, rules: RuleSet) -> None:
        """Use the placements of new rules."""
        self._rules = rules

    async def reconcile(self) -> None:
        """Reconcile the services for which this router has the duty.

        The leases of services that the rules do not place any more are released.
        """
        if self._rules is None:
            return
        dropped = self._placement_by_service.keys() - self._rules.placement_by_service
        for service in dropped:
            await self._release(service)
        for service, rule in self._rules.placement_by_service.items():
            if self._duties.owner_of(f"placement/{service}") is None:
                await self._reconcile_service(service, rule)
            else:
                await self._release(service)

    async def _release(self, service: str) -> None:
        placement = self._placement_by_service.pop(service, None)
        if placement is not None:
            await placement.lease.release()

    async def _reconcile_service(self, service: str, rule: PlacementRule) -> None:
        placement = self._placement_by_service.get(service)
        if placement is None:
            placement = _ServicePlacement(self._new_lease(service), self._clock)
            self._placement_by_service[service] = placement
        held_lease = await placement.lease.acquire()
        if held_lease is None:
            return
        await self._order_versions(service, placement, held_lease)
        await self._adjust_instances(service, rule, placement)

    def _new_lease(self, service: str) -> Lease:
        return Lease(
            self._platform,
            f"lease/placement/{service}",
            self._router_id,
            self._clock,
            CallKind.PLACEMENT,
        )

    async def _adjust_instances(
        self, service: str, rule: PlacementRule, placement: _ServicePlacement
    ) -> None:
        offers = [_decode_offer(item) for item in await self._platform.list_offers()]
        instances = await self._platform.list_cloud_instances()
        running = [
            RunningInstance(str(item["id"]), _decode_pool(item))
            for item in instances
            if item.get("service") == service and item.get("state") != "leaving"
        ]
        dispatch = self._dispatcher.dispatch_by_service.get(service)
        load = dispatch.in_flight + len(dispatch.queue) if dispatch else 0
        capacity_per_replica = 1.0
        if dispatch is not None:
            capacity = dispatch.capacity(self._clock.monotonic())
            capacity_per_replica = capacity / max(1, len(running))
        replicas = placement.demand.required_replicas(rule, load, capacity_per_replica)
        usable_offers = placement.backoff.available_offers(offers)
        for action in plan_actions(replicas, rule, usable_offers, running):
            if placement.lease.held_lease() is None:
                return
            await self._execute(service, placement, action)

    async def _execute(
        self, service: str, placement: _ServicePlacement, action: PlacementAction
    ) -> None:
        match action:
            case StartInstance(pool, reason):
                await self._start_instance(service, placement, pool, reason)
            case StopInstance(name, reason):
                log_decision("stop_instance", reason, service=service, instance=name)
                await self._platform.release_instance(name)

    async def _start_instance(
        self,
        service: str,
        placement: _ServicePlacement,
        pool: InstancePool,
        reason: str,
    ) -> None:
        started = await self._platform.start_instance(
            {
                "service": service,
                "version": self._version_to_start(service),
                "zone": pool.zone,
                "class": pool.instance_class.value,
            }
        )
        granted = started is not None
        if granted:
            placement.backoff.record_success(pool)
        else:
            placement.backoff.record_refusal(pool)
        log_decision(
            "start_instance",
            reason,
            service=service,
            zone=pool.zone,
            instance_class=pool.instance_class.value,
            granted=granted,
            instance=started["id"] if granted else "",
        )

    def _version_to_start(self, service: str) -> str:
        rollout = self._rules.rollout_by_service.get(service)
        if rollout is not None:
            dispatch = self._dispatcher.dispatch_by_service.get(service)
            is_complete = (
                dispatch and dispatch.shares and dispatch.shares.new_share >= 1
            )
            return rollout.new_version if is_complete else rollout.old_version
        versions = [
            state.rule.version
            for state in self._dispatcher.state_by_name.values()
            if state.rule.service == service
        ]
        return max(versions, key=versions.count, default="")

    async def _order_versions(
        self, service: str, placement: _ServicePlacement, held_lease: HeldLease
    ) -> None:
        rollout = self._rules.rollout_by_service.get(service)
        kind = self._rules.service_by_name[service].kind
        dispatch = self._dispatcher.dispatch_by_service.get(service)
        if rollout is None or kind is not ServiceKind.MODEL or dispatch is None:
            return
        share = dispatch.shares.new_share if dispatch.shares else 0.0
        reports = await self._fetch_reports(service)
        version_by_engine = plan_versions(
            reports, rollout.old_version, rollout.new_version, share
        )
        lease_age = self._clock.monotonic() - held_lease.acquired_at
        for order in due_orders(
            reports, version_by_engine, held_lease.fencing_token, lease_age, LEASE_TIME
        ):
            if (
                placement.lease.held_lease() is None
                or not placement.load_limit.try_acquire()
            ):
                return
            await self._send_order(order)

    async def _fetch_reports(self, service: str) -> list[EngineReport]:
        names = [
            name
            for name, state in self._dispatcher.state_by_name.items()
            if state.rule.service == service and not state.is_leaving
        ]
        answers = await defer.DeferredList(
            [defer.Deferred.fromCoroutine(self._fetch_report(name)) for name in names]
        )
        return [report for done, report in answers if done and report is not None]

    async def _fetch_report(self, name: str) -> EngineReport | None:
        body = await self._request_json(name, "GET", "/load")
        state = self._dispatcher.state_by_name.get(name)
        if body is None or state is None:
            return None
        wanted = body.get("wanted") or {}
        return EngineReport(
            name,
            wanted.get("version") or body.get("version", state.rule.version),
            int(body.get("fencing", 0)),
            state.rule.fencing,
        )

    async def _send_order(self, order: LoadVersion) -> None:
        body = {"fencing": order.fencing_token, "wanted": {"version": order.version}}
        data = json.dumps(body).encode()
        answer = await self._request_json(order.engine, "POST", "/orders", data)
        log_decision(
            "load_version",
            "the engine does not have the wanted version",
            upstream=order.engine,
            version=order.version,
            fencing=order.fencing_token,
            taken=answer is not None,
        )

    async def _request_json(
        self, name: str, method: str, path: str, body: bytes = b""
    ) -> Any:
        client = self._upstream_clients.get(name)
        if client is None:
            return None
        answer = await client.request_json(method, path, body, timeout=ORDER_TIMEOUT)
        if answer is None:
            log_event("order_failed", upstream=name, path=path)
        return answer


def _decode_offer(item: dict[str, Any]) -> Offer:
    return Offer(
        item["zone"],
        InstanceClass(item["class"]),
        float(item["price"]),
        float(item.get("reclaims_per_hour", 0.0)),
    )


def _decode_pool(item: dict[str, Any]) -> InstancePool:
    return InstancePool(item["zone"], InstanceClass(item.get("class", "reclaimable")))
