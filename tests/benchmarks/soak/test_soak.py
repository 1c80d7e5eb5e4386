"""A short run of the soak, with the checks that don't measure time."""

from __future__ import annotations

import json
import subprocess
import sys

from benchmarks.soak.failed_seeds import (
    FailedSeed,
    parse_failed_seeds,
    read_failed_seeds,
)
from benchmarks.soak.plan import names_of_kinds

SEED = 7
MINUTES = 0.75
TIMEOUT_S = 300


KINDS = frozenset(names_of_kinds(None))


def test_a_short_run_finds_nothing(tmp_path):
    result_path = tmp_path / "result.json"
    done = subprocess.run(
        [
            *(sys.executable, "-m", "benchmarks.soak", f"--seed={SEED}"),
            *(f"--minutes={MINUTES}", "--without-times"),
            f"--kinds={','.join(sorted(KINDS))}",
            *(f"--json={result_path}", f"--keep={tmp_path}"),
        ],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    (result,) = json.loads(result_path.read_text())
    assert set(result["struck_by_kind"]) == KINDS
    assert result["checks_by_rule"]["ORDER"] > 0
    assert result["findings"] == []


def test_the_list_of_failed_seeds_can_be_read():
    assert all(item.cause for item in read_failed_seeds())
    text = "# a note\n12 0.5 | a cause | and more\n"
    assert parse_failed_seeds(text) == [FailedSeed(12, 0.5, "a cause | and more")]
