"""REFUSED: what is answered as not run has not run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benchmarks.soak.checks.check import Check
from benchmarks.soak.records import Finding

if TYPE_CHECKING:
    from collections.abc import Iterator

NOT_RUN_STATUSES = (408, 421, 429, 503)


class PromiseCheck(Check):
    """Checks that a request with a status that promises "not run" has no run."""

    rule = "REFUSED"

    def findings(self) -> Iterator[Finding]:
        """Yield the requests whose answer promised too much."""
        for response in self.evidence.responses:
            if response.status not in NOT_RUN_STATUSES:
                continue
            self.count += 1
            runs = self.evidence.runs_of(response.attempt)
            if runs:
                names = ", ".join(run.upstream for run in runs)
                detail = f"answered {response.status}, ran at {names}"
                yield Finding(self.rule, response.attempt, detail)
