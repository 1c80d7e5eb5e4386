"""Rules of the operators, with one data class for each kind."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum

from banyansail.config.fields import Address


class ServiceKind(Enum):
    """Kind of upstreams that a service has."""

    MODEL = "model"
    PLAIN = "plain"


class InstanceClass(Enum):
    """Whether the platform may reclaim an instance."""

    RECLAIMABLE = "reclaimable"
    ON_DEMAND = "on-demand"


@dataclass(slots=True, frozen=True)
class ServiceRule:
    """A service that callers can request.

    Parameters
    ----------
    latency : timedelta
        Latency target: first token of a model, whole answer of a plain service.
    silence : timedelta
        Time without received bytes after which a connection is checked.
    lookup_path : str
        Path with ``{key}`` that returns whether an idempotency key was run; empty if
        there is none.
    """

    name: str
    kind: ServiceKind
    latency: timedelta = timedelta(milliseconds=330)
    silence: timedelta = timedelta(seconds=2)
    lookup_path: str = ""


@dataclass(slots=True, frozen=True)
class UpstreamRule:
    """One upstream of a service.

    Parameters
    ----------
    price : float
        Price of the instance for one hour.
    fencing : bool
        Whether the upstream rejects a call with an outdated fencing token.
    tls : bool
        Whether it is called over TLS.
    """

    name: str
    service: str
    version: str
    address: Address
    zone: str
    instance_class: InstanceClass = InstanceClass.RECLAIMABLE
    price: float = 1.0
    fencing: bool = False
    tls: bool = False


@dataclass(slots=True, frozen=True)
class RouteRule:
    """Class of the calls of a service that match a method and a path.

    Parameters
    ----------
    path : str
        Path pattern; a final ``*`` matches any rest.
    is_repeatable : bool
        Whether the call is idempotent and may be repeated.
    priority : int
        Requests of a larger priority are served first.
    workspace : str
        Restricts the rule to calls of this workspace; empty for all.
    """

    service: str
    method: str
    path: str
    is_repeatable: bool
    priority: int = 0
    deadline: timedelta = timedelta(seconds=30)
    workspace: str = ""


@dataclass(slots=True, frozen=True)
class WorkspaceRule:
    """A workspace and its weight among workspaces of the same priority."""

    name: str
    weight: int = 1


@dataclass(slots=True, frozen=True)
class LimitRule:
    """Limits of a service at each router.

    Parameters
    ----------
    max_queued : int
        Maximum number of queued requests.
    max_body_bytes : int
        Maximum size of a request body.
    """

    service: str
    max_queued: int = 200
    max_body_bytes: int = 1024**2


@dataclass(slots=True, frozen=True)
class RolloutRule:
    """A move of a service's traffic to another version by a deadline.

    Parameters
    ----------
    start : datetime
        Earliest start of the move.
    first_share : float
        Share of the traffic that the new version gets while it is unproven.
    unproven_calls : bool
        Whether calls that are not repeatable may be sent to an unproven version.
    """

    service: str
    old_version: str
    new_version: str
    start: datetime
    deadline: datetime
    first_share: float = 0.02
    unproven_calls: bool = False


@dataclass(slots=True, frozen=True)
class PlacementRule:
    """Number of replicas that a service needs, and limits on their placement.

    Parameters
    ----------
    min_on_demand : int
        Minimum number of replicas on on-demand instances.
    zone_share : float
        Maximum share of the replicas in one zone.
    """

    service: str
    replicas: int
    min_on_demand: int = 0
    zone_share: float = 0.5


Rule = (
    ServiceRule
    | UpstreamRule
    | RouteRule
    | WorkspaceRule
    | LimitRule
    | RolloutRule
    | PlacementRule
)


@dataclass(slots=True, frozen=True)
class RuleSet:
    """All rules of one version, by their keys.

    Parameters
    ----------
    text : str
        The operators' text, including comments.
    version : int
        Version of the platform's object; 0 for rules that were not applied.
    """

    text: str = ""
    version: int = 0
    service_by_name: dict[str, ServiceRule] = field(default_factory=dict)
    upstream_by_name: dict[str, UpstreamRule] = field(default_factory=dict)
    routes_by_service: dict[str, list[RouteRule]] = field(default_factory=dict)
    workspace_by_name: dict[str, WorkspaceRule] = field(default_factory=dict)
    limit_by_service: dict[str, LimitRule] = field(default_factory=dict)
    rollout_by_service: dict[str, RolloutRule] = field(default_factory=dict)
    placement_by_service: dict[str, PlacementRule] = field(default_factory=dict)

    def limit(self, service: str) -> LimitRule:
        """Return the limits of a service, or the defaults if it has no rule."""
        return self.limit_by_service.get(service) or LimitRule(service)

    def weight(self, workspace: str) -> int:
        """Return the weight of a workspace, or 1 if it has no rule."""
        rule = self.workspace_by_name.get(workspace)
        return rule.weight if rule else 1
