"""Configuration of the fleet under test, as its operator writes it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from benchmarks.soak.http_caller import HOST, KEY, PREFIX_BY_KIND
from benchmarks.soak.records import Kind

if TYPE_CHECKING:
    from collections.abc import Iterable

DEPOT, ENGINES = "depot", "engines"
SLOTS = 32
GRACE_S = 3.0
ZONES = ("glasgow", "leith")
TIMEOUT_MS_BY_KIND = {
    Kind.STOCK: 2000,
    Kind.ORDERS: 2000,
    Kind.DRAFT: 9000,
    Kind.RESUMABLE: 9000,
}
TYPE_BY_KIND = {
    Kind.STOCK: "safe",
    Kind.ORDERS: "unsafe",
    Kind.DRAFT: "streaming",
    Kind.RESUMABLE: "streaming",
}
SERVICE_BY_KIND = {kind: ENGINES if kind.is_stream else DEPOT for kind in Kind}
MAX_ATTEMPTS = 3
RETRY_RATIO, RETRY_WINDOW_S = 0.2, 10
STORE_WATCHERS = 3  # in each data centre
ADDED_HOST = "added.example"


def added_prefix(number: int) -> str:
    """Return the path of an added route."""
    return f"/stock/added-{number}/"


def site_config(version: int = 1, added: Iterable[int] = ()) -> dict[str, Any]:
    """Return the configuration, with routes that were added since the first one."""
    engine = {"slots": SLOTS, "kvTokens": 100_000, "stride": 1, "moves": True}
    service = {"healthPath": "/health", "maxConns": 200}
    return {
        "version": version,
        "routes": [
            *(_route(kind) for kind in Kind),
            *(_added_route(number) for number in added),
        ],
        "services": [
            {"name": DEPOT, **service},
            {"name": ENGINES, "engine": engine, **service},
        ],
        "limits": {"idleTimeoutMs": 5000},
        "tenants": [{"name": "callers", "apiKeys": [KEY], "ratePerS": 0}],
    }


def _route(kind: Kind) -> dict[str, Any]:
    return {
        "name": kind.value,
        "host": HOST,
        "pathPrefix": PREFIX_BY_KIND[kind],
        "routeType": TYPE_BY_KIND[kind],
        "service": SERVICE_BY_KIND[kind],
        "timeoutMs": TIMEOUT_MS_BY_KIND[kind],
        "sloMs": 500,
        "priority": 1,
        "maxAttempts": MAX_ATTEMPTS if kind.is_idempotent else 1,
        "streamResume": kind is Kind.RESUMABLE,
    }


def _added_route(number: int) -> dict[str, Any]:
    place = {"host": ADDED_HOST, "pathPrefix": added_prefix(number)}
    return {**_route(Kind.STOCK), "name": f"added-{number}", **place}


def upstream_entry(
    service: str, address: str, zone: str, born_ms: int, **fields: Any
) -> dict[str, Any]:
    """Return the entry that an upstream writes to the store."""
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": SLOTS,
        "state": "ready",
        "seq": 1,
        "born": born_ms,
        **fields,
    }


def gateway_settings(
    number: int,
    routers: int,
    ports: dict[str, int],
    peer_port: int,
    store: str,
    retry_slack: float,
) -> dict[str, Any]:
    """Return the settings of a router; routers are numbered from 1."""
    host = f"127.0.0.{number}"
    return {
        "name": f"front-{number}",
        "zone": ZONES[number % len(ZONES)],
        "region": "scotland",
        "listen": f"127.0.0.1:{ports['listen']}",
        "ready": f"127.0.0.1:{ports['ready']}",
        "metrics": f"127.0.0.1:{ports['metrics']}",
        "relay": f"{host}:{ports['relay']}",
        "peer": f"{host}:{peer_port}",
        "seeds": [f"127.0.0.{item + 1}:1" for item in range(routers)],
        "store": store,
        "cloud": store,
        "shared_key": "0123456789abcdef",
        "grace_s": GRACE_S,
        "retry_ratio": RETRY_RATIO,
        "retry_slack": retry_slack,
        "retry_window_s": RETRY_WINDOW_S,
        "quota_slack": 1000,
        "usage_window_s": 5,
        "usage_late_s": 10,
        "lease_ms": 3000,
        "expose_share": 0.5,
        "store_watchers": STORE_WATCHERS,
    }
