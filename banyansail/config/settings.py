"""Settings of one router, read from a YAML file."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from typing import Any

import yaml

from banyansail.config import fields
from banyansail.config.fields import Address
from banyansail.config.findings import Finding
from banyansail.exceptions import ConfigError

MIN_SHARED_KEY_CHARS = 16


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one router.

    Parameters
    ----------
    name : str
        Name of the instance, unique in the fleet.
    zone, region : str
        Data centre of the instance and the region around it.
    listen : Address
        Listener for callers.
    peer : Address
        Listener for other routers, both TCP and UDP.
    platform : Address
        The platform's HTTP API.
    shared_key : str
        Secret with which routers authenticate their messages to each other.
    peers : tuple of Address
        Seeds: other routers to contact first.
    statsd : Address or None
        Address of the statsd daemon.
    admin : Address or None
        Listener where operators read the router's state.
    log : str or None
        File of the decision log; standard output if absent.
    stop_notice : timedelta
        Time that a planned stop may take.
    max_connections : int
        Maximum number of concurrent connections of callers.
    upstream_ca : str or None
        PEM file of the certificate authorities for upstreams; the system's if absent.
    certificate, private_key : str or None
        PEM files; if both are set, callers are served over TLS.
    """

    name: str
    zone: str
    region: str
    listen: Address
    peer: Address
    platform: Address
    shared_key: str
    peers: tuple[Address, ...] = ()
    statsd: Address | None = None
    admin: Address | None = None
    log: str | None = None
    stop_notice: timedelta = timedelta(seconds=30)
    max_connections: int = 2000
    upstream_ca: str | None = None
    certificate: str | None = None
    private_key: str | None = None


@dataclass(slots=True, frozen=True)
class _Option:
    parse: Callable[[str], Any]
    required: bool = False
    is_list: bool = False


def _parse_shared_key(text: str) -> str:
    if len(text) < MIN_SHARED_KEY_CHARS:
        raise ValueError(f"the shared key needs {MIN_SHARED_KEY_CHARS} characters")
    return text


OPTION_BY_NAME = {
    "name": _Option(fields.parse_name, required=True),
    "zone": _Option(fields.parse_name, required=True),
    "region": _Option(fields.parse_name, required=True),
    "listen": _Option(fields.parse_address, required=True),
    "peer": _Option(fields.parse_address, required=True),
    "platform": _Option(fields.parse_address, required=True),
    "shared_key": _Option(_parse_shared_key, required=True),
    "peers": _Option(fields.parse_address, is_list=True),
    "statsd": _Option(fields.parse_address),
    "admin": _Option(fields.parse_address),
    "log": _Option(str),
    "stop_notice": _Option(fields.parse_duration),
    "max_connections": _Option(fields.parse_count),
    "upstream_ca": _Option(str),
    "certificate": _Option(str),
    "private_key": _Option(str),
}


@dataclass(slots=True)
class _Reader:
    """Collects the values and findings of one file."""

    file: str
    findings: list[Finding] = field(default_factory=list)
    values: dict[str, Any] = field(default_factory=dict)

    def report(self, node: yaml.Node, message: str) -> None:
        mark = node.start_mark
        self.findings.append(
            Finding(self.file, mark.line + 1, mark.column + 1, message)
        )

    def read(self, key: yaml.Node, node: yaml.Node) -> None:
        name = str(key.value)
        option = OPTION_BY_NAME.get(name)
        if option is None:
            self.report(key, f"unknown setting {name!r}")
            return
        if name in self.values:
            self.report(key, f"setting {name!r} is given twice")
            return
        self.values[name] = (
            self._parse_list(name, option, node)
            if option.is_list
            else self._parse(name, option, node)
        )

    def _parse(self, name: str, option: _Option, node: yaml.Node) -> Any:
        if not isinstance(node, yaml.ScalarNode):
            self.report(node, f"setting {name!r} takes a single value")
            return None
        try:
            return option.parse(str(node.value))
        except ValueError as error:
            self.report(node, f"setting {name!r}: {error}")
            return None

    def _parse_list(self, name: str, option: _Option, node: yaml.Node) -> Any:
        if not isinstance(node, yaml.SequenceNode):
            self.report(node, f"setting {name!r} takes a list")
            return ()
        return tuple(self._parse(name, option, item) for item in node.value)


def parse_settings(text: str, file: str) -> Settings:
    """Parse and check settings.

    Parameters
    ----------
    text : str
        YAML text.
    file : str
        Name of the file, for findings.

    Returns
    -------
    Settings
        The checked settings.

    Raises
    ------
    ConfigError
        With all findings of the file.
    """
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.YAMLError as error:
        raise ConfigError([_yaml_finding(error, file)]) from None
    if not isinstance(root, yaml.MappingNode):
        raise ConfigError([Finding(file, 1, 1, "the file must be a YAML mapping")])
    reader = _Reader(file)
    for key, node in root.value:
        reader.read(key, node)
    for name, option in OPTION_BY_NAME.items():
        if option.required and name not in reader.values:
            reader.report(root, f"setting {name!r} is missing")
    if ("certificate" in reader.values) != ("private_key" in reader.values):
        reader.report(root, "'certificate' and 'private_key' must be given together")
    if reader.findings:
        raise ConfigError(reader.findings)
    return Settings(**reader.values)


def load_settings(path: str) -> Settings:
    """Read settings from a file; see `parse_settings`."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError([Finding(path, 1, 1, f"cannot be read: {error}")]) from None
    return parse_settings(text, path)


def _yaml_finding(error: yaml.YAMLError, file: str) -> Finding:
    mark = getattr(error, "problem_mark", None)
    problem = getattr(error, "problem", None) or str(error).splitlines()[0]
    if mark is None:
        return Finding(file, 1, 1, f"not YAML: {problem}")
    return Finding(file, mark.line + 1, mark.column + 1, f"not YAML: {problem}")
