"""Generates the tables of docs/CAPACITY.md from the measured points.

Run with ``python -m benchmarks.capacity`` or ``make capacity``.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

from benchmarks.capacity_rows import (
    EVIDENCE_COLUMNS,
    SHARD_COLUMNS,
    Row,
    control_rows,
    fleet_rows,
    gossip_rows,
    platform_rows,
    point_rows,
    role_rows,
)
from benchmarks.points import load_points

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"


def format_markdown(header: Row, rows: list[Row]) -> str:
    """Return a Markdown table."""
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def format_tables(points: dict[str, Any]) -> dict[str, str]:
    """Return all tables by their names in the page."""
    return {
        "control": format_markdown(
            ["control of a node", "at 320", "bound", "from"], control_rows(points)
        ),
        "gossip": format_markdown(
            [
                "routers, 7 zones",
                "at rest, bytes/s",
                "a change, KB",
                "change known, s",
                "leaving known, s",
                "least heard of",
            ],
            gossip_rows(points),
        ),
        "evidence": format_markdown(
            ["routers", "at rest", "busiest", "in a move", "busiest", "known, s"],
            point_rows(points, "evidence", EVIDENCE_COLUMNS),
        ),
        "shard": format_markdown(
            ["keys", "memory, MB", "start, s", "an order, us", "KB written an order"],
            point_rows(points, "ledger", SHARD_COLUMNS),
        ),
        "fleet": format_markdown(
            [
                "routers, 3 zones",
                "gossip, bytes/s",
                "datagrams/s",
                "core",
                "memory, MB",
                "platform calls/s",
                "calls a change",
                "in force, s",
                "leaving, s",
            ],
            fleet_rows(points),
        ),
        "platform": format_markdown(["calls", "at 320", "how"], platform_rows(points)),
        "roles": format_markdown(
            ["role", "load of a node", "cost", "mechanism", "breaks first"],
            role_rows(points),
        ),
        "dates": format_markdown(
            ["measurement", "date"],
            [[name, str(value["date"])] for name, value in sorted(points.items())],
        ),
    }


def main() -> None:
    """Replace the tables of the page."""
    text = PAGE.read_text(encoding="utf-8")
    for name, table in format_tables(load_points()).items():
        pattern = rf"<!-- {name} -->\n.*?<!-- end -->"
        replacement = f"<!-- {name} -->\n{table}\n<!-- end -->"
        text = re.sub(pattern, lambda _, new=replacement: new, text, flags=re.DOTALL)
    PAGE.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
