"""BUDGET: the fleet retries no more than a share of its requests, and a slack."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from typing import TYPE_CHECKING

from benchmarks.soak.checks.check import Check
from benchmarks.soak.records import Finding
from benchmarks.soak.site_config import (
    RETRY_RATIO,
    RETRY_WINDOW_S,
    SERVICE_BY_KIND,
)

if TYPE_CHECKING:
    from collections.abc import Iterator


class BudgetCheck(Check):
    """Checks the arrivals beyond the first of each request, in sliding windows.

    The requests of a window are those that callers sent in it, in the one before it or
    in the one half a window before it, whichever has most.
    """

    rule = "BUDGET"

    def findings(self) -> Iterator[Finding]:
        """Yield the worst window of each service that got too many arrivals."""
        for service in sorted(set(SERVICE_BY_KIND.values())):
            sent_at = sorted(
                response.sent_at
                for response in self.evidence.responses
                if SERVICE_BY_KIND[response.kind] == service
            )
            finding = self._worst(service, sent_at, self._repeats(service))
            if finding is not None:
                yield finding

    def _repeats(self, service: str) -> list[tuple[float, str]]:
        """Return the time and the request of each arrival beyond the first."""
        return sorted(
            (arrival.began_at, response.attempt)
            for response in self.evidence.responses
            if SERVICE_BY_KIND[response.kind] == service
            for arrival in self.evidence.arrivals_of(response.attempt)[1:]
        )

    def _worst(
        self, service: str, sent_at: list[float], repeats: list[tuple[float, str]]
    ) -> Finding | None:
        worst, worst_excess = None, 0.0
        times = [at for at, _ in repeats]
        for index, (end, attempt) in enumerate(repeats):
            self.count += 1
            got = index + 1 - bisect_left(times, end - RETRY_WINDOW_S)
            allowed = RETRY_RATIO * _most_requests(sent_at, end)
            allowed += self.evidence.retry_slack
            if got - allowed > worst_excess:
                worst_excess = got - allowed
                detail = (
                    f"{service}: {got} arrivals beyond the first in "
                    f"{RETRY_WINDOW_S:g} s, allowed {allowed:g}"
                )
                worst = Finding(self.rule, attempt, detail)
        return worst


def _most_requests(sent_at: list[float], end: float) -> int:
    return max(
        bisect_right(sent_at, end - back)
        - bisect_left(sent_at, end - back - RETRY_WINDOW_S)
        for back in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
    )
