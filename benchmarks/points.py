"""Measured points, kept so that the pages can be made again."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from banyansail.commands.table import format_table

POINTS_FILE = Path(__file__).with_name("points.json")


def load_points() -> dict[str, Any]:
    """Return all points by the name of the measurement."""
    if not POINTS_FILE.exists():
        return {}
    return json.loads(POINTS_FILE.read_text(encoding="utf-8"))


def save_points(name: str, points: Any) -> None:
    """Replace the points of one measurement."""
    held = load_points()
    held[name] = {"date": datetime.now(UTC).date().isoformat(), "points": points}
    text = json.dumps(held, indent=1, sort_keys=True)
    POINTS_FILE.write_text(text + "\n", encoding="utf-8")


def report_sizes(measurement: str, size: str, points: list[dict[str, float]]) -> None:
    """Keep the points of a measurement at several sizes and print them as a table.

    Parameters
    ----------
    size : str
        Name of the value that tells the sizes apart.
    """
    for point in points:
        save_points(f"{measurement}-{point[size]}", point)
    header = list(points[0])
    rows = [[f"{point[name]:.4g}" for name in header] for point in points]
    print(format_table(header, rows))
