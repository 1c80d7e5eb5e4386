"""The operator's side of a rollout, and the check of the rule EXPOSURE."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from review.client import Clients, Kind
from review.fleet import BOUNDS, Fleet
from review.http import Message
from review.platform import Store
from review.record import Record
from review.replica import Replica

SERVICE = "depot-app"
ZONES = ["glasgow", "edinburgh", "aberdeen"]
HOST = "depot.example"
KEY = "k7f3a91c2d07be2a35f6"
REPLICAS = 4
WORK_S = 0.02
SETTLE_S = 4.0  # of traffic, before an order
LOOKUP_SHARE = 0.287  # of the service's requests, as on the sheet of the site
START_S = 0.5  # from an order until the replicas of its target are up
DRAIN_AFTER_S = 3.0  # from `rolled_back` until the new replicas drain
BAD_ANSWERS = 50  # after which a bad version is to be left
IsBad = Callable[[Message], bool]


@dataclass(slots=True, frozen=True)
class Order:
    """An order as the operator wrote it; times since the start of the record."""

    target: str
    written_at: float
    duration_s: float


def kinds(lookup_share: float) -> list[Kind]:
    """Return the two kinds of request of the service."""
    return [
        Kind("orders", HOST, "/orders/", "POST", 1500, 1 - lookup_share, KEY),
        Kind("lookups", HOST, "/lookups/", "GET", 1500, lookup_share, KEY),
    ]


def configuration() -> dict[str, object]:
    """Return the operator's configuration."""
    route = {
        "host": HOST,
        "service": SERVICE,
        "timeoutMs": 1500,
        "sloMs": 200,
        "priority": 1,
        "noAuth": False,
    }
    return {
        "version": 3,
        "routes": [
            {
                **route,
                "name": "orders",
                "pathPrefix": "/orders/",
                "routeType": "unsafe",
                "maxAttempts": 1,
            },
            {
                **route,
                "name": "lookups",
                "pathPrefix": "/lookups/",
                "routeType": "safe",
                "maxAttempts": 2,
            },
        ],
        "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 110}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "shop", "apiKeys": [KEY], "priority": 1, "ratePerS": 0}],
    }


class Operator:
    """Orders moves of the service, starts replicas for them and stops others."""

    def __init__(self, store: Store, fleet: Fleet, record: Record) -> None:
        self._store = store
        self._fleet = fleet
        self._record = record
        self._replicas: dict[str, list[Replica]] = {}
        self._number = 0
        self._following: asyncio.Task[None] | None = None

    async def start_replicas(
        self, version: str, is_bad: IsBad = lambda request: False
    ) -> None:
        """Start the replicas of a version."""
        self._replicas[version] = []
        for index in range(REPLICAS):
            self._number += 1
            replica = Replica(
                self._store,
                self._record,
                name=f"i-{self._number:08x}",
                service=SERVICE,
                version=version,
                zone=ZONES[index % len(ZONES)],
                work_s=WORK_S,
                is_bad=is_bad,
            )
            await replica.start(self._fleet.host(100 + self._number))
            self._replicas[version].append(replica)

    async def stop_replicas(self, version: str) -> None:
        """Stop the replicas of a version at once."""
        for replica in self._replicas.pop(version, []):
            await replica.stop()

    async def order(
        self, old: str, target: str, duration_s: float, is_bad: IsBad
    ) -> Order:
        """Order that the traffic be moved to a target, and start its replicas."""
        spec = {"service": SERVICE, "target": target, "durationS": duration_s}
        self._store.put("rollouts", SERVICE, spec=spec)
        written_at = self._record.write("order", target, f"{duration_s} s")
        self._following = asyncio.create_task(self._follow(old, target))
        await asyncio.sleep(START_S)
        await self.start_replicas(target, is_bad)
        return Order(target, written_at, duration_s)

    async def _follow(self, old: str, target: str) -> None:
        """Do what the platform does as the system writes the status."""
        seen = ""
        while True:
            status = self._store.objects["rollouts", SERVICE]["status"] or {}
            state = status.get("state", "")
            if status.get("target") == target and state != seen:
                seen = state
                self._record.write("status", target, state)
                if state == "completed":
                    await self.stop_replicas(old)
                    return
                if state == "rolled_back":
                    await asyncio.sleep(DRAIN_AFTER_S)
                    await self.stop_replicas(target)
                    return
            await asyncio.sleep(0.02)

    async def wait_for_end(self, order: Order, seconds: float) -> str:
        """Return the state of an order once it is final, or after some time."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            status = self._store.objects["rollouts", SERVICE]["status"] or {}
            state = status.get("state", "")
            is_for_order = status.get("target") == order.target
            if is_for_order and state in ("completed", "rolled_back"):
                return state
            await asyncio.sleep(0.05)
        return "running"


async def start_site(
    fleet: Fleet, record: Record, requests_per_s: float
) -> tuple[Operator, Clients]:
    """Start the store, the replicas of v1, the gateways and the clients."""
    store = Store()
    host = fleet.host(250)
    fleet.store_address = f"{host}:{await store.server().listen(host)}"
    store.put("config", "main", spec=configuration())
    operator = Operator(store, fleet, record)
    await operator.start_replicas("v1")
    await fleet.start()
    clients = Clients(fleet.gateways, kinds(LOOKUP_SHARE), requests_per_s, record)
    clients.start()
    await asyncio.sleep(SETTLE_S)
    return operator, clients


@dataclass(slots=True, frozen=True)
class Plan:
    """A move to a version, and how long to go on after its deadline."""

    requests_per_s: float
    duration_s: float
    time_after_s: float


async def play_move(
    fleet: Fleet, record: Record, plan: Plan, fails: IsBad, *, has_trouble: bool
) -> list[str]:
    """Order one move to v2, bad or good; return how the rule was broken."""
    operator, clients = await start_site(fleet, record, plan.requests_per_s)
    order = await operator.order(
        "v1", "v2", plan.duration_s, lambda request: has_trouble and fails(request)
    )
    await asyncio.sleep(plan.duration_s + plan.time_after_s)
    await clients.stop()
    if has_trouble:
        return exposure_findings(record, order)
    return await good_move_findings(operator, order)


async def good_move_findings(operator: Operator, order: Order) -> list[str]:
    """Return a finding if a move to a good version is not completed."""
    state = await operator.wait_for_end(order, 0.1)
    return [] if state == "completed" else [f"the move to a good version is {state}"]


def exposure_findings(record: Record, order: Order) -> list[str]:
    """Return how EXPOSURE was broken for a bad version that an order named.

    All gateways are in touch and the core is stable from `contactMs` after their start
    on, which is before any order: nothing was done to them, their links or the store.
    """
    sent_at = {item[0]: at for at, event, item in record.lines if event == "send"}
    deadline = order.written_at + order.duration_s
    total = exposed = 0
    for at, event, details in record.lines:
        if event == "arrive" and order.written_at <= at <= deadline:
            total += 1
            exposed += details[2] == order.target
    allowed = BOUNDS["exposeShare"] * total + BOUNDS["exposeSlack"]
    record.write(
        "count", f"{exposed} of {total} before the deadline, allowed {allowed}"
    )
    findings = []
    if exposed > allowed:
        findings.append(
            f"EXPOSURE: {exposed} of {total} requests reached the bad version before "
            f"the deadline, allowed {allowed:.0f}"
        )
    replicas = {
        details[1]
        for at, event, details in record.lines
        if event == "arrive" and details[2] == order.target and at >= order.written_at
    }
    bad = [
        at
        for at, event, details in record.lines
        if event == "end"
        and details[1] in replicas
        and details[2] == "bad"
        and at >= order.written_at
    ]
    record.write("count", f"{len(bad)} bad answers of {order.target}")
    if len(bad) < BAD_ANSWERS:
        return findings
    limit = bad[BAD_ANSWERS - 1] + BOUNDS["rollbackMs"] / 1000
    late = [
        details[0]
        for at, event, details in record.lines
        if event == "arrive" and details[1] in replicas and sent_at[details[0]] > limit
    ]
    if late:
        findings.append(
            f"EXPOSURE: {len(late)} requests sent later than {BOUNDS['rollbackMs']} ms "
            f"after the 50th bad answer reached the bad version"
        )
    return findings
