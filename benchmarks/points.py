"""Stores the measured points, from which the pages can be generated again."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from banyansail.commands.table import format_table

POINTS_FILE = Path(__file__).with_name("points.json")


def load_points() -> dict[str, Any]:
    """Return all points by name of the measurement."""
    if not POINTS_FILE.exists():
        return {}
    return json.loads(POINTS_FILE.read_text(encoding="utf-8"))


def save_points(name: str, points: Any) -> None:
    """Replace the points of one measurement."""
    points_by_name = load_points()
    points_by_name[name] = {
        "date": datetime.now(UTC).date().isoformat(),
        "points": points,
    }
    text = json.dumps(points_by_name, indent=1, sort_keys=True)
    POINTS_FILE.write_text(text + "\n", encoding="utf-8")


def report_sizes(
    measurement: str, size_name: str, points: list[dict[str, float]]
) -> None:
    """Save the points of a measurement at several sizes and print them as a table.

    Parameters
    ----------
    size_name : str
        Key of the size in each point.
    """
    for point in points:
        save_points(f"{measurement}-{point[size_name]}", point)
    header = list(points[0])
    rows = [[f"{point[name]:.4g}" for name in header] for point in points]
    print(format_table(header, rows))
