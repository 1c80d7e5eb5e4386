"""Settings of a gateway, read from a YAML file."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any

import yaml

from banyansail.config.fields import Address, parse_address
from banyansail.config.findings import Finding
from banyansail.exceptions import ConfigError


@dataclass(slots=True, frozen=True)
class GatewaySettings:
    """Settings of one gateway.

    Parameters
    ----------
    name : str
        Unique name of the instance.
    listen, ready : Address
        Listeners for callers and for readiness checks of the load balancer.
    peer : Address
        Listener for other routers, both UDP and TCP.
    relay : Address
        Listener for requests that other routers relay; on the host of `peer`.
    seeds : tuple of str
        IP addresses of routers to contact first; they may be stale.
    store, cloud : Address
        The platform's store and its cloud API, which duty holders call.
    grace : timedelta
        Time from the stop signal until the process is killed.
    retry_ratio, retry_slack, retry_window
        Retry budget of the fleet: share of the requests in a window, plus a constant.
    quota_slack : float
        Tolerated use above a quota within a few seconds, in the unit of the quota.
    usage_window : timedelta
        Length of a usage window.
    usage_late : timedelta
        Maximum time from the end of a window to its report.
    lease : timedelta
        Minimum time until another router takes over a duty; by then the former holder
        no longer acts.
    metrics : Address
        Listener that serves counters and histograms.
    expose_share : float
        Maximum share of a service's requests that an unproven version may get.
    expose_slack : float
        Requests to such a version that are tolerated beyond that share.
    store_watchers : int
        Routers of each data centre that watch the store for the others; 0 if all do.
    evacuate : timedelta or None
        Time after which nothing more may be sent to an evacuated data centre; ``None``
        if none is ever evacuated.
    cold_over, cold_slack : float
        Bound on the requests in any second to a cold upstream: factor of its allowance,
        plus a constant.
    uneven_upstreams : bool
        Whether choices and orders of replicas use the measured speeds of upstreams.
    is_first_start : bool
        Whether the whole system starts for the first time.
    drain : timedelta or None
        Time for which a draining upstream goes on at least; ``None`` if unknown.
    fair_queue_min_routers : int or None
        Size of the fleet from which on waiting requests are taken by the shares of
        their workspaces; ``None`` for never.
    """

    name: str
    zone: str
    region: str
    listen: Address
    ready: Address
    peer: Address
    relay: Address
    seeds: tuple[str, ...]
    store: Address
    cloud: Address
    shared_key: str
    grace: timedelta
    retry_ratio: float
    retry_slack: float
    retry_window: timedelta
    quota_slack: float
    usage_window: timedelta
    usage_late: timedelta
    lease: timedelta
    expose_share: float
    metrics: Address
    expose_slack: float = 0.0
    store_watchers: int = 0
    evacuate: timedelta | None = None
    cold_over: float = 1.0
    cold_slack: float = 0.0
    uneven_upstreams: bool = False
    fair_queue_min_routers: int | None = None
    drain: timedelta | None = None
    is_first_start: bool = False


def _seconds(value: Any) -> timedelta:
    return timedelta(seconds=float(value))


def _milliseconds(value: Any) -> timedelta:
    return timedelta(milliseconds=float(value))


def _positive_int(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        raise ValueError(f"{value!r} is not a positive whole number")
    return value


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value


def _hosts(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list):
        raise ValueError(f"{value!r} is not a list of addresses")
    return tuple(parse_address(str(item)).host for item in value)


def _address(value: Any) -> Address:
    return parse_address(str(value))


def _flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is neither true nor false")
    return value


# Field of `GatewaySettings` and value parser for each setting of the file.
FIELD_AND_PARSER_BY_SETTING: dict[str, tuple[str, Any]] = {
    "name": ("name", _text),
    "zone": ("zone", _text),
    "region": ("region", _text),
    "listen": ("listen", _address),
    "ready": ("ready", _address),
    "peer": ("peer", _address),
    "relay": ("relay", _address),
    "seeds": ("seeds", _hosts),
    "store": ("store", _address),
    "cloud": ("cloud", _address),
    "shared_key": ("shared_key", _text),
    "grace_s": ("grace", _seconds),
    "retry_ratio": ("retry_ratio", float),
    "retry_slack": ("retry_slack", float),
    "retry_window_s": ("retry_window", _seconds),
    "quota_slack": ("quota_slack", float),
    "usage_window_s": ("usage_window", _seconds),
    "usage_late_s": ("usage_late", _seconds),
    "lease_ms": ("lease", _milliseconds),
    "expose_share": ("expose_share", float),
    "expose_slack": ("expose_slack", float),
    "metrics": ("metrics", _address),
    "store_watchers": ("store_watchers", int),
    "evacuate_ms": ("evacuate", _milliseconds),
    "drain_ms": ("drain", _milliseconds),
    "first_start": ("is_first_start", _flag),
    "cold_over": ("cold_over", float),
    "cold_slack": ("cold_slack", float),
    "uneven_upstreams": ("uneven_upstreams", _flag),
    "fair_queue_min_routers": ("fair_queue_min_routers", _positive_int),
}
# May be absent or empty: the platform's template leaves them so where a deployment has
# no such bound.
OPTIONAL_SETTINGS = frozenset(
    {
        "expose_slack",
        "store_watchers",
        "evacuate_ms",
        "drain_ms",
        "first_start",
        "cold_over",
        "cold_slack",
        "uneven_upstreams",
        "fair_queue_min_routers",
    }
)


def parse_gateway_settings(text: str, file: str) -> GatewaySettings:
    """Parse and check settings.

    Raises
    ------
    ConfigError
        With all findings of the file.
    """
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        values = yaml.safe_load(text)
    except yaml.YAMLError as error:
        finding = Finding(file, 1, 1, f"not YAML: {error}")
        raise ConfigError([finding]) from None
    if not isinstance(root, yaml.MappingNode):
        raise ConfigError([Finding(file, 1, 1, "the file must be a YAML mapping")])
    findings: list[Finding] = []
    fields: dict[str, Any] = {}
    for key, _ in root.value:
        name = str(key.value)
        location = (file, key.start_mark.line + 1, key.start_mark.column + 1)
        if name not in FIELD_AND_PARSER_BY_SETTING:
            findings.append(Finding(*location, f"unknown setting {name!r}"))
            continue
        if name in OPTIONAL_SETTINGS and values[name] in (None, ""):
            continue
        field, parse = FIELD_AND_PARSER_BY_SETTING[name]
        try:
            fields[field] = parse(values[name])
        except (TypeError, ValueError) as error:
            findings.append(Finding(*location, f"setting {name!r}: {error}"))
    findings += [
        Finding(file, 1, 1, f"setting {name!r} is missing")
        for name, (field, _) in FIELD_AND_PARSER_BY_SETTING.items()
        if name not in values and name not in OPTIONAL_SETTINGS
    ]
    if findings:
        raise ConfigError(findings)
    return GatewaySettings(**fields)


def load_gateway_settings(path: str) -> GatewaySettings:
    """Read settings from a file; see `parse_gateway_settings`."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError([Finding(path, 1, 1, f"cannot be read: {error}")]) from None
    return parse_gateway_settings(text, path)
