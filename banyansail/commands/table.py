"""Plain-text tables."""

from __future__ import annotations


def format_table(header: list[str], rows: list[list[str]]) -> str:
    """Format a header and rows with aligned columns."""
    rows_with_header = [header, *rows]
    widths = [
        max(len(row[column]) for row in rows_with_header)
        for column in range(len(header))
    ]
    formatted = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows_with_header
    ]
    formatted.insert(1, "  ".join("-" * width for width in widths))
    return "\n".join(line.rstrip() for line in formatted)
