"""Decoding of the operators' configuration and of upstream registrations."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

from banyansail.config.fields import parse_address
from banyansail.exceptions import WireError
from banyansail.gateway.site import (
    CallerLimits,
    EngineSpec,
    Route,
    RouteKind,
    ScalingSpec,
    ServiceSpec,
    SiteConfig,
    Target,
    Workspace,
    build_site,
)
from banyansail.gateway.upstream import Upstream

ROUTE_KIND_BY_TYPE = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.ONCE,
    "streaming": RouteKind.STREAM,
}
UPSTREAM_STATES = ("ready", "draining")
COLD_TIME = "coldLeftMs"
# `seq` counts the writes of an entry.
MINOR_FIELDS = (COLD_TIME, "seq")
DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


def _milliseconds(value: float) -> timedelta:
    return timedelta(milliseconds=value)


def decode_config(body: Any) -> SiteConfig:
    """Decode a configuration.

    Raises
    ------
    WireError
        If it is malformed.
    """
    try:
        tenants = body.get("tenants")
        return build_site(
            int(body["version"]),
            [_decode_route(item) for item in body["routes"]],
            [_decode_service(item) for item in body["services"]],
            None if tenants is None else [_decode_workspace(item) for item in tenants],
            _decode_limits(body.get("limits") or {}),
        )
    except DECODE_ERRORS as error:
        raise WireError(f"malformed configuration: {error!r}") from None


def _decode_route(item: dict[str, Any]) -> Route:
    # A route has one service or several weighted ones.
    traffic_split = item.get("trafficSplit")
    targets = (
        tuple(Target(part["service"], float(part["weight"])) for part in traffic_split)
        if traffic_split
        else (Target(item["service"]),)
    )
    return Route(
        name=item["name"],
        host=item["host"].lower(),
        prefix=item["pathPrefix"],
        # A request of a type that this build does not know runs at most once.
        kind=ROUTE_KIND_BY_TYPE.get(item["routeType"], RouteKind.ONCE),
        targets=targets,
        timeout=_milliseconds(item["timeoutMs"]),
        latency_objective=_milliseconds(item.get("sloMs") or item["timeoutMs"]),
        priority=int(item.get("priority") or 0),
        max_attempts=int(item.get("maxAttempts") or 1),
        is_public=bool(item.get("noAuth")),
        is_resumable=bool(item.get("streamResume")),
        max_event_gap=_milliseconds(item.get("gapTargetMs") or 0),
    )


def _decode_service(item: dict[str, Any]) -> ServiceSpec:
    engine = item.get("engine")
    scaling = item.get("scaling")
    return ServiceSpec(
        item["name"],
        item.get("healthPath") or "/",
        int(item.get("maxConns") or 0),
        _decode_engine(engine) if engine else None,
        _decode_scaling(scaling) if scaling else None,
        cold_start=timedelta(seconds=item.get("coldStartS") or 0),
        cold_per_s=float(item.get("coldPerS") or 0),
    )


def _decode_engine(item: dict[str, Any]) -> EngineSpec:
    return EngineSpec(
        int(item["slots"]),
        int(item["kvTokens"]),
        int(item.get("stride") or 1),
        copies_runs=bool(item.get("moves")),
    )


def _decode_scaling(item: dict[str, Any]) -> ScalingSpec:
    return ScalingSpec(
        int(item["min"]),
        int(item["max"]),
        timedelta(seconds=item.get("bootS") or 0),
        float(item.get("spotPrice") or 1.0),
        {zone: float(price) for zone, price in (item.get("zonePrices") or {}).items()},
    )


def _decode_workspace(item: dict[str, Any]) -> Workspace:
    priority = item.get("priority")
    return Workspace(
        item["name"],
        tuple(item.get("apiKeys") or ()),
        None if priority is None else int(priority),
        float(item.get("ratePerS") or 0),
        float(item.get("burst") or 0),
        item.get("unit") == "tokens",
        float(item.get("plainTokens") or 1),
    )


def _decode_limits(item: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        int(item.get("maxHeaderBytes") or default.max_header_bytes),
        int(item.get("maxBodyBytes") or default.max_body_bytes),
        _milliseconds(item["headerTimeoutMs"])
        if item.get("headerTimeoutMs")
        else default.header_timeout,
        _milliseconds(item["idleTimeoutMs"])
        if item.get("idleTimeoutMs")
        else default.idle_timeout,
    )


def decode_upstream(upstream_id: str, item: Any) -> Upstream:
    """Decode the registration of an upstream.

    Raises
    ------
    WireError
        If it is malformed or in an unknown state; such an upstream is not used.
    """
    try:
        if item["state"] not in UPSTREAM_STATES:
            raise WireError(f"upstream {upstream_id}: unknown state {item['state']!r}")
        slots = item["slots"]
        for name in ("service", "zone", "version", "address"):
            if not isinstance(item[name], str):
                raise WireError(f"upstream {upstream_id}: {name} is not a string")
        if not isinstance(slots, int) or isinstance(slots, bool) or slots < 1:
            raise WireError(f"upstream {upstream_id}: invalid slots {slots!r}")
        time_left_ms = item.get("leaves_ms")
        started_at = item.get("born", 0)  # wall-clock time
        return Upstream(
            upstream_id,
            item["service"],
            parse_address(item["address"]),
            item["zone"],
            item["version"],
            slots,
            item["state"] == "draining",
            bool(item.get("spot")),  # reclaimable, in our terms
            started_at if isinstance(started_at, int) else 0,
            None if time_left_ms is None else _milliseconds(time_left_ms),
            is_cold=bool(item.get("coldLeftMs")),
            cold_left=_milliseconds(max(0, item.get("coldLeftMs") or 0)),
        )
    except DECODE_ERRORS as error:
        raise WireError(f"malformed upstream {upstream_id}: {error!r}") from None


def differs_in_cold_time_only(before: Any, after: Any) -> bool:
    """Return whether two registrations differ only in how long an upstream stays cold.

    An upstream that becomes cold, or stops being cold, differs in more than that.
    """
    if not isinstance(before, dict) or not isinstance(after, dict):
        return False
    if bool(before.get(COLD_TIME)) is not bool(after.get(COLD_TIME)):
        return False
    return _without_cold_time(before) == _without_cold_time(after)


def _without_cold_time(item: dict[str, Any]) -> dict[str, Any]:
    return {key: value for key, value in item.items() if key not in MINOR_FIELDS}
