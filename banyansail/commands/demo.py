"""Command ``demo``."""

from __future__ import annotations

from typing import Any


def run(arguments: dict[str, Any]) -> int:
    """Run the demo and print its results as a table."""
    from banyansail.demo.run import run_demo

    return run_demo(float(arguments["--seconds"]), int(arguments["--seed"]))
