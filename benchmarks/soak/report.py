"""Output of the soak: progress, tables, and what a failing run leaves."""

from __future__ import annotations

import json
import sys
from dataclasses import asdict
from typing import TYPE_CHECKING

from banyansail.commands.table import format_table
from benchmarks.soak.checks.all_checks import CHECK_BY_RULE

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from benchmarks.soak.records import Fault, Finding
    from benchmarks.soak.soak import Result


class Progress:
    """A line that tells the latest fault."""

    __slots__ = ("_count",)

    def __init__(self) -> None:
        self._count = 0

    def show(self, fault: Fault) -> None:
        """Show a fault that has begun."""
        self._count += 1
        text = f"{fault.start_s:6.1f} s  {self._count} faults  {fault.kind}"
        print(f"\r{text}, {fault.target}".ljust(70), end="", file=sys.stderr)


def result_table(result: Result) -> str:
    """Return the tables of a run."""
    struck = [[name, str(count)] for name, count in result.struck_by_kind.items()]
    found_by_rule = {rule: 0 for rule in CHECK_BY_RULE}
    for finding in result.findings:
        found_by_rule[finding.rule] += 1
    made = [
        [rule, str(result.checks_by_rule.get(rule, "not made")), str(found)]
        for rule, found in found_by_rule.items()
    ]
    lines = [
        f"seed {result.seed}: {result.requests} requests, {result.complete} complete",
        format_table(["kind", "struck"], struck),
        format_table(["rule", "checks", "findings"], made),
    ]
    if result.findings:
        lines.append(_findings_table(result.findings))
    return "\n\n".join(lines)


def _findings_table(findings: list[Finding]) -> str:
    """Return the findings, those of the same detail in one row."""
    attempts_by_detail: dict[tuple[str, str], list[str]] = {}
    for item in findings:
        attempts_by_detail.setdefault((item.rule, item.detail), []).append(item.attempt)
    rows = [
        [rule, str(len(attempts)), attempts[0], detail]
        for (rule, detail), attempts in attempts_by_detail.items()
    ]
    return format_table(["rule", "findings", "first request", "detail"], rows)


def save_results(results: Sequence[Result], path: Path) -> None:
    """Write results as JSON."""
    path.write_text(json.dumps([asdict(item) for item in results], indent=1) + "\n")
