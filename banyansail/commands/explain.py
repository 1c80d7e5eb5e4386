"""Command ``explain``: what was decided about one request, from the logs.

With the decisions come the events that may explain them: what the same routers came
to believe meanwhile, and what any router said of the upstreams that were used.
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

HIDDEN_FIELDS = (
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
    """One line of a log.

    Parameters
    ----------
    at : float
        Seconds since the start of 1970.
    router : str
        Process that wrote it; empty in older logs.
    request : str
        Request that it is about; empty if none.
    fields : dict
        All of it.
    """

    at: float
    router: str
    request: str
    fields: dict[str, Any]

    def upstreams(self) -> set[str]:
        """Return the upstreams that it names; marks of one start are cut to them."""
        names: set[str] = set()
        for field in UPSTREAM_FIELDS:
            value = self.fields.get(field) or []
            found = [value] if isinstance(value, str) else value
            names |= {str(name).partition("@")[0] for name in found}
        return names


def run(arguments: dict[str, Any]) -> int:
    """Print the decisions about a request, and what explains them, by time."""
    request = arguments["REQUEST"]
    lines = [line for file in arguments["--log"] for line in _read_lines(file)]
    decisions = [line for line in lines if line.request == request]
    if not decisions:
        print(f"no decision about request {request!r} is logged", file=sys.stderr)
        return 1
    events = _events_around(lines, decisions, float(arguments["--around"]))
    for line in sorted([*decisions, *events], key=lambda item: item.at):
        mark = "" if line.request else "  "
        print(mark + format_line(line))
    return 0


def _events_around(
    lines: Iterable[LogLine], decisions: list[LogLine], seconds: float
) -> list[LogLine]:
    """Return the events of no request that may explain the decisions."""
    first = min(line.at for line in decisions) - seconds
    last = max(line.at for line in decisions) + seconds
    routers = {line.router for line in decisions}
    upstreams = set().union(*(line.upstreams() for line in decisions))
    return [
        line
        for line in lines
        if not line.request
        and first <= line.at <= last
        and (line.router in routers or line.upstreams() & upstreams)
    ]


def format_line(line: LogLine) -> str:
    """Return one line of a log for a person."""
    at = datetime.fromtimestamp(line.at, UTC)
    fields = line.fields
    what = fields.get("decision") or str(fields["message_type"]).rpartition(":")[2]
    details = ", ".join(
        f"{name}={value}" for name, value in fields.items() if name not in HIDDEN_FIELDS
    )
    parts = [at.isoformat(timespec="milliseconds"), line.router, what]
    head = " ".join(part for part in [*parts, fields.get("reason", "")] if part)
    return f"{head}: {details}"


def _read_lines(file: str) -> Iterator[LogLine]:
    if file == STANDARD_INPUT:
        yield from _parse_lines(sys.stdin)
        return
    try:
        with open(file, encoding="utf-8") as stream:
            yield from _parse_lines(stream)
    except OSError as error:
        raise ConfigError([Finding(file, 1, 1, f"cannot be read: {error}")]) from None


def _parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    for text in texts:
        try:
            fields = json.loads(text)
            yield LogLine(
                float(fields["timestamp"]),
                str(fields.get("router", "")),
                str(fields.get("request", "")),
                fields,
            )
        except (ValueError, KeyError, TypeError):
            continue  # the last line of a killed process may be cut short
