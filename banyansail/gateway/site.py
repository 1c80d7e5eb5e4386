"""What the operators have configured: routes, services, workspaces and limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum


class RouteKind(Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"  # at most one run for each attempt of the caller
    STREAM = "stream"  # at most one run, unless the stream may be resumed


@dataclass(slots=True, frozen=True)
class Target:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class Route:
    """Requests of one host whose path begins with a prefix.

    Parameters
    ----------
    prefix : str
        Begins and ends with a slash; the longest match wins.
    targets : tuple of Target
        Where the requests go, by weight.
    timeout : timedelta
        Longest time until the final answer.
    objective : timedelta
        Time to the answer, or to a stream's first event.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Upstreams that one attempt of a caller may run on.
    is_open : bool
        Whether no key is asked for.
    is_resumable : bool
        Whether a stream may go on at another upstream.
    max_pause : timedelta
        Longest pause between events of a stream that is on time.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout: timedelta
    objective: timedelta
    priority: int = 0
    max_attempts: int = 1
    is_open: bool = False
    is_resumable: bool = False
    max_pause: timedelta = timedelta(0)

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


@dataclass(slots=True, frozen=True)
class EngineSpec:
    """Published figures of a service's model engines.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    kv_tokens : int
        Memory for running requests and cached prefixes, in tokens.
    stride : int
        Tokens of one event.
    """

    slots: int
    kv_tokens: int
    stride: int = 1


@dataclass(slots=True, frozen=True)
class ScalingSpec:
    """Bounds and prices of a service's replicas.

    Parameters
    ----------
    minimum, maximum : int
        Replicas in one data centre, reclaimable ones included.
    boot : timedelta
        Time from the order to the first request.
    reclaimable_price : float
        Price of a reclaimable replica against an on-demand one.
    price_by_zone : dict
        Price of a replica's second.
    """

    minimum: int
    maximum: int
    boot: timedelta
    reclaimable_price: float
    price_by_zone: dict[str, float]


@dataclass(slots=True, frozen=True)
class ServiceSpec:
    """A service and what its upstreams bear.

    Parameters
    ----------
    max_connections : int
        Connections that one upstream accepts from all callers.
    engine : EngineSpec or None
        Set for model services.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None
    scaling: ScalingSpec | None = None


@dataclass(slots=True, frozen=True)
class Workspace:
    """A customer, its keys and its quota.

    Parameters
    ----------
    rate, burst : float
        Quota in `counts_tokens` units per second and at once; 0 for no limit.
    plain_cost : float
        Cost of a request that declares no tokens.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    rate: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    plain_cost: float = 1.0


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """What a caller may send, and how long it may be idle."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024**2
    header_time: timedelta = timedelta(seconds=3)
    idle_time: timedelta = timedelta(seconds=15)


@dataclass(slots=True, frozen=True)
class SiteConfig:
    """One version of the operators' configuration.

    Parameters
    ----------
    version : int
        0 while no configuration is known.
    has_workspaces : bool
        Whether requests need a key.
    """

    version: int = 0
    routes_by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    service_by_name: dict[str, ServiceSpec] = field(default_factory=dict)
    workspace_by_name: dict[str, Workspace] = field(default_factory=dict)
    workspace_by_key: dict[str, Workspace] = field(default_factory=dict)
    has_workspaces: bool = False
    limits: CallerLimits = CallerLimits()

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
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
    """Index a configuration; the routes of a host stand longest prefix first."""
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
