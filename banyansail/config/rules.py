"""Rules of the operators: one data class for each kind of line."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum

from banyansail.config.fields import Address


class ServiceKind(Enum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


class InstanceClass(Enum):
    """Whether the platform may take an instance back."""

    RECLAIMABLE = "reclaimable"
    ON_DEMAND = "on-demand"


@dataclass(slots=True, frozen=True)
class ServiceRule:
    """A service that callers may ask for.

    Parameters
    ----------
    latency : timedelta
        Target for the first token of a model or the answer of a service.
    silence : timedelta
        Time without a byte after which a connection is checked.
    lookup : str
        Path with ``{key}`` that tells whether a key was run; empty if none.
    """

    name: str
    kind: ServiceKind
    latency: timedelta = timedelta(milliseconds=330)
    silence: timedelta = timedelta(seconds=2)
    lookup: str = ""


@dataclass(slots=True, frozen=True)
class UpstreamRule:
    """One upstream of a service.

    Parameters
    ----------
    price : float
        Price for one instance and hour.
    fencing : bool
        Whether the upstream refuses an order with an old fencing number.
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
    repeat : bool
        Whether the call is idempotent and may be repeated.
    priority : int
        Larger is served earlier.
    workspace : str
        Only calls of this workspace, if given.
    """

    service: str
    method: str
    path: str
    repeat: bool
    priority: int = 0
    deadline: timedelta = timedelta(seconds=30)
    workspace: str = ""


@dataclass(slots=True, frozen=True)
class WorkspaceRule:
    """A workspace and its weight among others of one priority."""

    name: str
    weight: int = 1


@dataclass(slots=True, frozen=True)
class LimitRule:
    """Bounds of a service at each router.

    Parameters
    ----------
    queue : int
        Requests that may wait.
    body : int
        Largest body of a request, in bytes.
    """

    service: str
    queue: int = 200
    body: int = 1024**2


@dataclass(slots=True, frozen=True)
class RolloutRule:
    """A move of a service's traffic to another version by a deadline.

    Parameters
    ----------
    start : datetime
        When the move may begin.
    first : float
        Share of the traffic that the new version gets while it is unproven.
    unproven_calls : bool
        Whether calls that may not be repeated may meet an unproven version.
    """

    service: str
    old_version: str
    new_version: str
    start: datetime
    deadline: datetime
    first: float = 0.02
    unproven_calls: bool = False


@dataclass(slots=True, frozen=True)
class PlacementRule:
    """How many replicas a service needs and where they may be.

    Parameters
    ----------
    floor : int
        Replicas that must be on on-demand instances.
    zone_share : float
        Largest share of the replicas that one zone may hold.
    """

    service: str
    replicas: int
    floor: int = 0
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
    """All rules in force, by their keys.

    Parameters
    ----------
    text : str
        The operators' text, comments included.
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
        """Return the limits of a service, the default ones if no rule is given."""
        return self.limit_by_service.get(service) or LimitRule(service)

    def weight(self, workspace: str) -> int:
        """Return the weight of a workspace, 1 if no rule is given."""
        rule = self.workspace_by_name.get(workspace)
        return rule.weight if rule else 1
