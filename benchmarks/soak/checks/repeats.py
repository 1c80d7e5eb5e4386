"""TWICE: a request that isn't idempotent runs once at most."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benchmarks.soak.checks.check import Check
from benchmarks.soak.records import Finding

if TYPE_CHECKING:
    from collections.abc import Iterator


class RepeatCheck(Check):
    """Checks how often a request was run from its beginning."""

    rule = "TWICE"

    def findings(self) -> Iterator[Finding]:
        """Yield the requests that ran again."""
        for response in self.evidence.responses:
            if response.kind.is_idempotent:
                continue
            self.count += 1
            runs = self.evidence.runs_of(response.attempt)
            begun = [run for run in runs if not run.is_continuation]
            if len(begun) > 1:
                names = ", ".join(run.upstream for run in begun)
                yield Finding(self.rule, response.attempt, f"ran at {names}")
