"""The page of proofs names only existing tests and has a row for each requirement."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "PROOFS.md").read_text(encoding="utf-8")
TEST_IDS = sorted(set(re.findall(r"`(tests/[\w/]+\.py::\w+)`", PAGE)))

GUARANTEES = (
    "survives any announced reclaim",
    "A bad version gets only a small share",
    "whole answer to its own request",
    'says "not run" is true',
    "at most once",
    "leaving upstream gets no new work",
    "planned stop is graceful",
    "accepted configuration is in force",
)
FAILURES = (
    "in waves",
    "Starts are refused",
    "die mid-reclaim",
    "Bad versions",
    "down or slow",
    "answer is lost after the write",
    "lease lapses",
    "Operators race",
    "crashes each upstream",
    "go silent",
    "cut off from each other",
)


@pytest.mark.parametrize("test_id", TEST_IDS)
def test_named_test_exists(test_id):
    file, _, name = test_id.partition("::")
    source = (ROOT / file).read_text(encoding="utf-8")
    assert re.search(rf"^(def|class) {name}\b", source, re.MULTILINE)


@pytest.mark.parametrize("requirement", [*GUARANTEES, *FAILURES])
def test_point_has_a_row_with_a_test(requirement):
    rows = [
        line
        for line in PAGE.splitlines()
        if line.startswith("|") and requirement in line
    ]
    assert any("`tests/" in row for row in rows)
