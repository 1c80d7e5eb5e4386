"""Operators' configuration: routes, services, workspaces and limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum


class RouteKind(Enum):
    """Which requests of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"  # at most one run per attempt of the caller
    STREAM = "stream"  # at most one run, unless the stream may be resumed


@dataclass(slots=True, frozen=True)
class Target:
    """A service and its weight in a route's traffic split."""

    service: str
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class Route:
    """A rule for the requests to one host whose paths start with a prefix.

    Parameters
    ----------
    prefix : str
        Starts and ends with a slash; the longest matching prefix wins.
    targets : tuple of Target
        Services that receive the requests, by weight.
    timeout : timedelta
        Maximum time until the final response.
    latency_objective : timedelta
        Target time to the response, or to the first event of a stream.
    priority : int
        0 is the highest priority.
    max_attempts : int
        Maximum number of upstreams tried for one attempt of a caller.
    is_public : bool
        Whether requests need no API key.
    is_resumable : bool
        Whether another upstream may resume an interrupted stream.
    max_event_gap : timedelta
        Target for the longest pause between events of a stream.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout: timedelta
    latency_objective: timedelta
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    max_event_gap: timedelta = timedelta(0)

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


@dataclass(slots=True, frozen=True)
class EngineSpec:
    """Published capacity of a service's model engines.

    Parameters
    ----------
    slots : int
        Requests that run concurrently.
    kv_tokens : int
        KV cache capacity for running requests and cached prefixes, in tokens.
    stride : int
        Tokens per stream event.
    copies_runs : bool
        Whether the memory of a run can be copied to another engine.
    """

    slots: int
    kv_tokens: int
    stride: int = 1
    copies_runs: bool = False


@dataclass(slots=True, frozen=True)
class ScalingSpec:
    """Limits and prices of a service's replicas.

    Parameters
    ----------
    minimum, maximum : int
        Replicas per data centre, including reclaimable ones.
    boot_time : timedelta
        Time from ordering a replica until it serves requests.
    reclaimable_price : float
        Price of a reclaimable replica relative to an on-demand one.
    price_by_zone : dict
        Price of a replica per second.
    """

    minimum: int
    maximum: int
    boot_time: timedelta
    reclaimable_price: float
    price_by_zone: dict[str, float]


@dataclass(slots=True, frozen=True)
class ServiceSpec:
    """A service and the capacity of its upstreams.

    Parameters
    ----------
    max_connections : int
        Connections that one upstream accepts in total.
    engine : EngineSpec or None
        Set for model services.
    cold_start : timedelta
        Time for which an upstream is cold after it started during traffic.
    cold_per_s : float
        Requests per second that an upstream bears while it is cold; 0 for a service
        whose upstreams are never cold.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None
    scaling: ScalingSpec | None = None
    cold_start: timedelta = timedelta(0)
    cold_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Workspace:
    """A customer, its keys and its quota.

    Parameters
    ----------
    rate, burst : float
        Quota per second and bucket size, in tokens if `counts_tokens`, else in
        requests; a rate of 0 means unlimited.
    default_cost : float
        Cost of a request that declares no token count.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    rate: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    default_cost: float = 1.0


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on request sizes and on idle connections of callers."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024**2
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(slots=True, frozen=True)
class SiteConfig:
    """A version of the operators' configuration.

    Parameters
    ----------
    version : int
        0 until the first configuration is received.
    has_workspaces : bool
        Whether requests need an API key, except on public routes.
    """

    version: int = 0
    routes_by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    service_by_name: dict[str, ServiceSpec] = field(default_factory=dict)
    workspace_by_name: dict[str, Workspace] = field(default_factory=dict)
    workspace_by_key: dict[str, Workspace] = field(default_factory=dict)
    has_workspaces: bool = False
    limits: CallerLimits = CallerLimits()

    def match(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest match for a path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def routes(self) -> list[Route]:
        """Return all routes."""
        return [route for routes in self.routes_by_host.values() for route in routes]


def build_site(
    version: int,
    routes: list[Route],
    services: list[ServiceSpec],
    workspaces: list[Workspace] | None,
    limits: CallerLimits,
) -> SiteConfig:
    """Index a configuration; a host's routes are sorted by prefix, longest first."""
    routes_by_host: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda item: -len(item.prefix)):
        routes_by_host.setdefault(route.host, []).append(route)
    return SiteConfig(
        version,
        {host: tuple(items) for host, items in routes_by_host.items()},
        {service.name: service for service in services},
        {workspace.name: workspace for workspace in workspaces or ()},
        {key: workspace for workspace in workspaces or () for key in workspace.keys},
        workspaces is not None,
        limits,
    )
