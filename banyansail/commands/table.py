"""Tables that a person can read."""

from __future__ import annotations


def format_table(header: list[str], rows: list[list[str]]) -> str:
    """Return rows under a header, in aligned columns."""
    lines = [header, *rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    formatted = [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    ]
    formatted.insert(1, "  ".join("-" * width for width in widths))
    return "\n".join(line.rstrip() for line in formatted)
