"""Deselects the tests listed in KNOWN-RED.txt and prints them."""

from __future__ import annotations

from pathlib import Path

import eliot
import pytest
from hypothesis import settings

# A test must not fail because an example takes long on a busy machine.
settings.register_profile("no deadline", deadline=None)
settings.load_profile("no deadline")

# eliot buffers up to 1,000 messages until the first destination is added and then sends
# them to it; without this one, a test's log would start with lines of earlier tests.
eliot.add_destinations(lambda message: None)

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red() -> dict[str, str]:
    """Return the listed lines, keyed by test id."""
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {line.partition("|")[0].strip(): line for line in entries}


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    entries_by_id = read_known_red()
    deselected = [item for item in items if item.nodeid in entries_by_id]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in entries_by_id]


def pytest_terminal_summary(terminalreporter) -> None:
    for line in read_known_red().values():
        terminalreporter.write_line(f"known red, passed over: {line}")
