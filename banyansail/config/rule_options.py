"""Syntax tables of the rule language: kinds of rules and their options."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from banyansail.config import fields
from banyansail.config.rules import (
    InstanceClass,
    LimitRule,
    PlacementRule,
    RolloutRule,
    RouteRule,
    ServiceKind,
    ServiceRule,
    UpstreamRule,
    WorkspaceRule,
)


@dataclass(slots=True, frozen=True)
class RuleOption:
    """One positional word or ``key=value`` option of a rule.

    Parameters
    ----------
    attribute : str
        Attribute of the rule's data class.
    parse : callable
        Converts the text to a value or raises ``ValueError``.
    required : bool
        Whether its absence is an error.
    help : str
        Description for the rules reference, one line.
    """

    attribute: str
    parse: Callable[[str], Any]
    required: bool
    help: str


@dataclass(slots=True, frozen=True)
class RuleSyntax:
    """Syntax of one kind of rule.

    Parameters
    ----------
    rule_class : type
        Data class of the rule.
    words : tuple of RuleOption
        Positional words after the kind, in order.
    option_by_key : dict
        Options that follow, in any order.
    help : str
        Description for the rules reference, one sentence.
    """

    rule_class: type
    words: tuple[RuleOption, ...]
    option_by_key: dict[str, RuleOption]
    help: str


def _parse_service_kind(text: str) -> ServiceKind:
    if text not in [kind.value for kind in ServiceKind]:
        raise ValueError(f"{text!r} is neither model nor plain")
    return ServiceKind(text)


def _parse_instance_class(text: str) -> InstanceClass:
    if text not in [item.value for item in InstanceClass]:
        raise ValueError(f"{text!r} is neither reclaimable nor on-demand")
    return InstanceClass(text)


def _parse_method(text: str) -> str:
    if text not in ("GET", "POST", "PUT", "DELETE", "PATCH"):
        raise ValueError(f"{text!r} is not one of GET, POST, PUT, DELETE, PATCH")
    return text


def _parse_lookup(text: str) -> str:
    if not text.startswith("/") or "{key}" not in text:
        raise ValueError(f"{text!r} is not a path with {{key}}")
    return text


def _parse_positive(text: str) -> int:
    count = fields.parse_count(text)
    if count == 0:
        raise ValueError("0 is not positive")
    return count


def _required(attribute: str, parse: Callable[[str], Any], help: str) -> RuleOption:
    return RuleOption(attribute, parse, True, help)


def _optional(attribute: str, parse: Callable[[str], Any], help: str) -> RuleOption:
    return RuleOption(attribute, parse, False, help)


_SERVICE = _required("service", fields.parse_name, "name of the service")
_NAME = _required("name", fields.parse_name, "name, unique in its kind")

SYNTAX_BY_KIND = {
    "service": RuleSyntax(
        ServiceRule,
        (_NAME,),
        {
            "kind": _required("kind", _parse_service_kind, "model or plain"),
            "latency": _optional(
                "latency", fields.parse_duration, "target for the first token or answer"
            ),
            "silence": _optional(
                "silence", fields.parse_duration, "silence that makes a check due"
            ),
            "lookup": _optional(
                "lookup_path", _parse_lookup, "path with {key} that tells what was run"
            ),
        },
        "A service that callers may ask for.",
    ),
    "upstream": RuleSyntax(
        UpstreamRule,
        (_NAME,),
        {
            "service": _SERVICE,
            "version": _required("version", fields.parse_name, "version it runs"),
            "address": _required("address", fields.parse_address, "IP number and port"),
            "zone": _required("zone", fields.parse_name, "data centre"),
            "class": _optional(
                "instance_class", _parse_instance_class, "reclaimable or on-demand"
            ),
            "price": _optional("price", fields.parse_price, "price for an hour"),
            "fencing": _optional(
                "fencing", fields.parse_flag, "whether it refuses old fencing numbers"
            ),
            "tls": _optional("tls", fields.parse_flag, "whether it is called over TLS"),
        },
        "One upstream of a service.",
    ),
    "route": RuleSyntax(
        RouteRule,
        (
            _SERVICE,
            _required("method", _parse_method, "HTTP method"),
            _required("path", fields.parse_path, "path; a final * matches any rest"),
        ),
        {
            "repeat": _required(
                "is_repeatable", fields.parse_flag, "whether it may repeat"
            ),
            "priority": _optional(
                "priority", fields.parse_count, "larger is served earlier"
            ),
            "deadline": _optional(
                "deadline", fields.parse_duration, "time for the whole answer"
            ),
            "workspace": _optional(
                "workspace", fields.parse_name, "only calls of this workspace"
            ),
        },
        "Class of the calls of a service that match a method and a path.",
    ),
    "workspace": RuleSyntax(
        WorkspaceRule,
        (_NAME,),
        {"weight": _optional("weight", _parse_positive, "share among equals")},
        "A workspace and its weight among others of one priority.",
    ),
    "limit": RuleSyntax(
        LimitRule,
        (_SERVICE,),
        {
            "queue": _optional("max_queued", _parse_positive, "requests that may wait"),
            "body": _optional("max_body_bytes", fields.parse_size, "largest body"),
        },
        "Bounds of a service at each router.",
    ),
    "rollout": RuleSyntax(
        RolloutRule,
        (_SERVICE,),
        {
            "from": _required("old_version", fields.parse_name, "version to leave"),
            "to": _required("new_version", fields.parse_name, "version to reach"),
            "start": _required("start", fields.parse_time, "when it may begin"),
            "deadline": _required("deadline", fields.parse_time, "when it is done"),
            "first": _optional(
                "first_share", fields.parse_share, "share while unproven"
            ),
            "unproven-calls": _optional(
                "unproven_calls",
                fields.parse_flag,
                "whether calls that may not repeat may meet an unproven version",
            ),
        },
        "A move of a service's traffic to another version by a deadline.",
    ),
    "placement": RuleSyntax(
        PlacementRule,
        (_SERVICE,),
        {
            "replicas": _required("replicas", _parse_positive, "replicas wanted"),
            "floor": _optional(
                "min_on_demand", fields.parse_count, "replicas on-demand"
            ),
            "zone-share": _optional(
                "zone_share", fields.parse_share, "largest share in one zone"
            ),
        },
        "How many replicas a service needs and where they may be.",
    ),
}
