"""TWICE: one upstream at a time works on a request."""

from __future__ import annotations

from itertools import pairwise
from typing import TYPE_CHECKING

from benchmarks.soak.checks.check import Check
from benchmarks.soak.plan import Scope, scope_of
from benchmarks.soak.records import Finding, RunEnd

if TYPE_CHECKING:
    from collections.abc import Iterator

    from benchmarks.soak.records import Run

MAX_OVERLAP_S = 0.4


class OverlapCheck(Check):
    """Checks that a run has ended when the next one of its request begins."""

    rule = "TWICE (one at a time)"
    is_timed = True

    def findings(self) -> Iterator[Finding]:
        """Yield the requests that two upstreams worked on."""
        for response in self.evidence.responses:
            runs = self.evidence.wanted_runs_of(response.attempt)
            self.count += len(runs) > 1
            for earlier, later in pairwise(runs):
                overlap = self._end_of(earlier) - later.began_at
                if overlap > MAX_OVERLAP_S:
                    detail = (
                        f"{earlier.upstream} works on for {overlap:.2f} s after "
                        f"{later.upstream} has begun"
                    )
                    yield Finding(self.rule, response.attempt, detail)

    def _end_of(self, run: Run) -> float:
        """Return when a run ended; one without a record ended with its process."""
        if run.end is not RunEnd.CRASHED:
            return run.ended_at
        ends = [
            at
            for fault in self.evidence.faults
            if fault.target == run.upstream and scope_of(fault) is Scope.UPSTREAM
            for at in (fault.began_at, fault.ended_at)
            if at is not None and at >= run.began_at
        ]
        return min(ends, default=run.began_at)
