"""Command ``explain``: the decisions about one request, from the logs.

Events that may explain the decisions are printed with them: those that the same routers
logged around that time, and those of any router about the upstreams involved.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any

from banyansail.config.findings import Finding
from banyansail.exceptions import ConfigError

OMITTED_FIELDS = (
    "task_uuid",
    "task_level",
    "timestamp",
    "message_type",
    "decision",
    "reason",
    "request",
    "router",
)
STANDARD_INPUT = "-"
UPSTREAM_FIELDS = ("upstream", "upstreams", "names", "added", "leaving", "gone")


@dataclass(slots=True, frozen=True)
class LogLine:
    """One parsed line of a log.

    Parameters
    ----------
    logged_at : float
        Unix time in seconds.
    router : str
        Router that wrote the line; empty in older logs.
    request : str
        Request that the line refers to; empty if none.
    fields : dict
        All fields of the line.
    """

    logged_at: float
    router: str
    request: str
    fields: dict[str, Any]

    def upstream_names(self) -> set[str]:
        """Return the names of the upstreams in the line, without an ``@...`` suffix."""
        names: set[str] = set()
        for field in UPSTREAM_FIELDS:
            value = self.fields.get(field) or []
            found = [value] if isinstance(value, str) else value
            names |= {str(name).partition("@")[0] for name in found}
        return names


def run(arguments: dict[str, Any]) -> int:
    """Print the decisions about a request and the related events in order of time."""
    request = arguments["REQUEST"]
    lines = [line for file in arguments["--log"] for line in _read_lines(file)]
    decisions = [line for line in lines if line.request == request]
    if not decisions:
        print(f"no decision about request {request!r} is logged", file=sys.stderr)
        return 1
    events = _find_related_events(lines, decisions, float(arguments["--around"]))
    for line in sorted([*decisions, *events], key=lambda item: item.logged_at):
        indent = "" if line.request else "  "
        print(indent + format_line(line))
    return 0


def _find_related_events(
    lines: Iterable[LogLine], decisions: list[LogLine], seconds: float
) -> list[LogLine]:
    """Return events of no particular request that may explain the decisions."""
    first = min(line.logged_at for line in decisions) - seconds
    last = max(line.logged_at for line in decisions) + seconds
    routers = {line.router for line in decisions}
    upstream_names = set().union(*(line.upstream_names() for line in decisions))
    return [
        line
        for line in lines
        if not line.request
        and first <= line.logged_at <= last
        and (line.router in routers or line.upstream_names() & upstream_names)
    ]


def format_line(line: LogLine) -> str:
    """Format one log line for reading."""
    logged_at = datetime.fromtimestamp(line.logged_at, UTC)
    fields = line.fields
    label = fields.get("decision") or str(fields["message_type"]).rpartition(":")[2]
    details = ", ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if name not in OMITTED_FIELDS
    )
    parts = [logged_at.isoformat(timespec="milliseconds"), line.router, label]
    prefix = " ".join(part for part in [*parts, fields.get("reason", "")] if part)
    return f"{prefix}: {details}"


def _read_lines(file: str) -> Iterator[LogLine]:
    if file == STANDARD_INPUT:
        yield from _parse_lines(sys.stdin)
        return
    try:
        with open(file, encoding="utf-8") as stream:
            yield from _parse_lines(stream)
    except OSError as error:
        raise ConfigError([Finding(file, 1, 1, f"cannot be read: {error}")]) from None


def _parse_lines(raw_lines: Iterable[str]) -> Iterator[LogLine]:
    for raw_line in raw_lines:
        try:
            fields = json.loads(raw_line)
            yield LogLine(
                float(fields["timestamp"]),
                str(fields.get("router", "")),
                str(fields.get("request", "")),
                fields,
            )
        except (ValueError, KeyError, TypeError):
            continue  # a killed process may leave a truncated last line
