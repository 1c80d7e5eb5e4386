"""Command ``explain``: what was decided about one request, from the logs."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
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
)


def run(arguments: dict[str, Any]) -> int:
    """Print the decisions about a request in the order of time."""
    request = arguments["REQUEST"]
    lines = [
        line
        for file in arguments["--log"]
        for line in _read_lines(file)
        if line.get("request") == request
    ]
    if not lines:
        print(f"no decision about request {request!r} is logged", file=sys.stderr)
        return 1
    for line in sorted(lines, key=lambda item: item["timestamp"]):
        print(format_line(line))
    return 0


def format_line(line: dict[str, Any]) -> str:
    """Return one logged decision as a line for a person."""
    at = datetime.fromtimestamp(line["timestamp"], UTC)
    what = line.get("decision") or line["message_type"].rpartition(":")[2]
    details = ", ".join(
        f"{name}={value}" for name, value in line.items() if name not in HIDDEN_FIELDS
    )
    reason = line.get("reason", "")
    return f"{at.isoformat(timespec='milliseconds')} {what} {reason}: {details}"


def _read_lines(file: str) -> Iterator[dict[str, Any]]:
    try:
        with open(file, encoding="utf-8") as stream:
            for text in stream:
                try:
                    yield json.loads(text)
                except ValueError:
                    continue  # the last line of a killed process may be cut short
    except OSError as error:
        raise ConfigError([Finding(file, 1, 1, f"cannot be read: {error}")]) from None
