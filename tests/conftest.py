"""Passes over the tests that are listed in KNOWN-RED.txt, and prints them."""

from __future__ import annotations

from pathlib import Path

import eliot
import pytest
from hypothesis import settings

# A verdict must not depend on how long an example takes on a busy machine.
settings.register_profile("no deadline", deadline=None)
settings.load_profile("no deadline")

# eliot keeps up to 1,000 messages until the first destination is added and then hands
# them to it; without this one, a test's log begins with the lines of earlier tests.
eliot.add_destinations(lambda message: None)

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red() -> dict[str, str]:
    """Return the listed lines by test id."""
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {line.partition("|")[0].strip(): line for line in entries}


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    listed = known_red()
    passed_over = [item for item in items if item.nodeid in listed]
    if passed_over:
        config.hook.pytest_deselected(items=passed_over)
        items[:] = [item for item in items if item.nodeid not in listed]


def pytest_terminal_summary(terminalreporter) -> None:
    for line in known_red().values():
        terminalreporter.write_line(f"known red, passed over: {line}")
