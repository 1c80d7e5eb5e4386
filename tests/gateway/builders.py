"""Builders of routes, upstreams, prompts and sites for tests."""

from __future__ import annotations

from datetime import timedelta

from banyansail.config.fields import Address
from banyansail.gateway.request_types import CallerCall, Prompt, PromptPart
from banyansail.gateway.site import (
    CallerLimits,
    EngineSpec,
    Route,
    RouteKind,
    ScalingSpec,
    ServiceSpec,
    Target,
    Workspace,
    build_site,
)
from banyansail.gateway.upstream import Upstream


def seconds(value: float) -> timedelta:
    return timedelta(seconds=value)


def route(kind=RouteKind.IDEMPOTENT, **options) -> Route:
    values = {
        "name": "r",
        "host": "shop.example",
        "prefix": "/stock/",
        "targets": (Target("depot"),),
        "timeout": seconds(1),
        "latency_objective": seconds(0.2),
        "max_attempts": 2,
    }
    return Route(kind=kind, **{**values, **options})


def upstream(name="u1", service="depot", **options) -> Upstream:
    number = sum(map(ord, name))
    values = {
        "address": Address("10.0.0.1", 1000 + number),
        "zone": "glasgow",
        "version": "v1",
        "slots": 4,
    }
    return Upstream(name, service, **{**values, **options})


def prompt(subject="s", tokens=1000, shared=800, request="q", output=100) -> Prompt:
    parts = (PromptPart(subject, shared), PromptPart(request, tokens - shared))
    return Prompt("m", tokens, output, parts)


def call(fingerprint=1, parts=()) -> CallerCall:
    """Return a request with a prompt of these parts and one of its own."""
    ids = [*parts, f"own{fingerprint}"]
    text = tuple(PromptPart(part_id, 100) for part_id in ids)
    return CallerCall(
        method=b"POST",
        target=b"/draft/1",
        host="shop.example",
        path="/draft/1",
        headers=[],
        body=b"",
        attempt_id=f"a{fingerprint}",
        key="k",
        timeout=None,
        last_event_id="",
        prompt=Prompt("m", 100 * len(ids), 10, text),
        fingerprint=fingerprint,
    )


def workspace(name="w", rate=100.0, burst=100.0, **options) -> Workspace:
    return Workspace(name, (f"key-{name}",), None, rate, burst, **options)


SCALING = ScalingSpec(1, 3, seconds(4), 0.15, {"a": 1.0, "b": 0.8, "c": 1.25, "d": 0.9})
ENGINE = EngineSpec(64, 100_000, 5)


def site(routes=None, workspaces=None, version=1):
    return build_site(
        version,
        routes or [route()],
        [
            ServiceSpec("depot", "/health", 100),
            ServiceSpec("engines", "/health", 100, ENGINE, SCALING),
        ],
        workspaces,
        CallerLimits(),
    )
