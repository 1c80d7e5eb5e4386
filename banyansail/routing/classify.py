"""Finds what the rules say about a request."""

from __future__ import annotations

from datetime import timedelta

from banyansail.config.rules import RouteRule, RuleSet
from banyansail.routing.messages import (
    RanState,
    Refusal,
    RefusalCode,
    RequestClass,
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

    The first matching route wins; routes that name a workspace are tried before
    those that name none.

    Parameters
    ----------
    rules : RuleSet
        Rules in force.
    service, method, path, workspace : str
        What the caller asked for; `path` is relative to the service.
    timeout : timedelta or None
        The caller's own deadline; it can only shorten that of the rules.
    """
    service_rule = rules.service_by_name.get(service)
    if service_rule is None:
        return Refusal(
            404,
            RefusalCode.UNKNOWN_SERVICE,
            RanState.NOT_RUN,
            f"service {service!r} does not exist",
        )
    route = _find_route(rules, service, method, path, workspace)
    if route is None:
        return Refusal(
            404,
            RefusalCode.UNKNOWN_ROUTE,
            RanState.NOT_RUN,
            f"service {service!r} has no route for {method} {path}",
        )
    limit = route.deadline if timeout is None else min(timeout, route.deadline)
    return RequestClass(
        service,
        service_rule.kind,
        f"{route.method} {route.path}",
        workspace,
        route.repeat,
        route.priority,
        limit,
    )


def _find_route(
    rules: RuleSet, service: str, method: str, path: str, workspace: str
) -> RouteRule | None:
    routes = rules.routes_by_service.get(service, [])
    for wanted in (workspace, ""):
        for route in routes:
            same = route.method == method and route.workspace == wanted
            if same and _path_matches(route.path, path):
                return route
    return None


def _path_matches(pattern: str, path: str) -> bool:
    if pattern.endswith("*"):
        return path.startswith(pattern[:-1])
    return path == pattern
