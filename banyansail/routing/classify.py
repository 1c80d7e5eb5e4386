"""Classification of requests by the rules."""

from __future__ import annotations

from datetime import timedelta

from banyansail.config.rules import RouteRule, RuleSet
from banyansail.routing.request_types import (
    Refusal,
    RefusalCode,
    RequestClass,
    RunStatus,
)


def classify(
    rules: RuleSet,
    service: str,
    method: str,
    path: str,
    workspace: str,
    timeout: timedelta | None,
) -> RequestClass | Refusal:
    """Find the class of a request.

    The first matching route wins; routes for the request's workspace are tried
    before those for all workspaces.

    Parameters
    ----------
    rules : RuleSet
        Rules in force.
    service, method, path, workspace : str
        Target and sender of the request; `path` is relative to the service.
    timeout : timedelta or None
        The caller's timeout; it can only shorten that of the rules.
    """
    service_rule = rules.service_by_name.get(service)
    if service_rule is None:
        return Refusal(
            404,
            RefusalCode.UNKNOWN_SERVICE,
            RunStatus.NOT_RUN,
            f"service {service!r} does not exist",
        )
    route = _find_route(rules, service, method, path, workspace)
    if route is None:
        return Refusal(
            404,
            RefusalCode.UNKNOWN_ROUTE,
            RunStatus.NOT_RUN,
            f"service {service!r} has no route for {method} {path}",
        )
    effective_timeout = (
        route.deadline if timeout is None else min(timeout, route.deadline)
    )
    return RequestClass(
        service,
        service_rule.kind,
        f"{route.method} {route.path}",
        workspace,
        route.is_repeatable,
        route.priority,
        effective_timeout,
    )


def _find_route(
    rules: RuleSet, service: str, method: str, path: str, workspace: str
) -> RouteRule | None:
    routes = rules.routes_by_service.get(service, [])
    for route_workspace in (workspace, ""):
        for route in routes:
            is_candidate = route.method == method and route.workspace == route_workspace
            if is_candidate and _path_matches(route.path, path):
                return route
    return None


def _path_matches(pattern: str, path: str) -> bool:
    if pattern.endswith("*"):
        return path.startswith(pattern[:-1])
    return path == pattern
