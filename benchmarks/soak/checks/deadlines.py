"""CONFIG: each request has its final answer, or a close, soon after its deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benchmarks.soak.checks.check import Check
from benchmarks.soak.checks.disturbance import router_faults
from benchmarks.soak.records import Finding, ResponseEnd
from benchmarks.soak.site_config import TIMEOUT_MS_BY_KIND

if TYPE_CHECKING:
    from collections.abc import Iterator


MAX_LATE_S = 0.5


class DeadlineCheck(Check):
    """Checks when a response has ended, at routers that nothing was done to."""

    rule = "CONFIG (deadline)"
    is_timed = True

    def findings(self) -> Iterator[Finding]:
        """Yield the responses that ended late."""
        for response in self.evidence.responses:
            if not response.is_patient or response.end is ResponseEnd.REFUSED:
                continue
            if router_faults(self.evidence, response):
                continue
            self.count += 1
            timeout_s = TIMEOUT_MS_BY_KIND[response.kind] / 1000
            allowed_s = min(response.deadline_s, timeout_s)
            late_s = response.ended_at - response.sent_at - allowed_s
            if late_s > MAX_LATE_S:
                detail = f"{response.router} {response.end} {late_s:.2f} s late"
                yield Finding(self.rule, response.attempt, detail)
