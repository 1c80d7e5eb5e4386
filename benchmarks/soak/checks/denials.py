"""DENIED: proper requests are not turned away as if they were wrong."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benchmarks.soak.checks.check import Check
from benchmarks.soak.checks.promises import NOT_RUN_STATUSES
from benchmarks.soak.records import Finding

if TYPE_CHECKING:
    from collections.abc import Iterator

FIRST_WRONG_STATUS, FIRST_FAILURE_STATUS = 300, 500


class DenialCheck(Check):
    """Checks the answers to requests that all configurations allow."""

    rule = "DENIED"

    def findings(self) -> Iterator[Finding]:
        """Yield the requests that were denied."""
        for response in self.evidence.responses:
            self.count += 1
            status = response.status or 0
            is_denied = FIRST_WRONG_STATUS <= status < FIRST_FAILURE_STATUS
            if is_denied and status not in NOT_RUN_STATUSES:
                detail = f"{response.router} answered {status}"
                yield Finding(self.rule, response.attempt, detail)
