"""ORDER: no event is missing, twice or out of place, and no end is made up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benchmarks.soak.checks.check import Check
from benchmarks.soak.checks.disturbance import router_faults
from benchmarks.soak.records import Finding, Framing, ResponseEnd, RunEnd

if TYPE_CHECKING:
    from collections.abc import Iterator

    from benchmarks.soak.records import Response, Run


class OrderCheck(Check):
    """Checks the events of each success, and whether its end was the upstream's."""

    rule = "ORDER"

    def findings(self) -> Iterator[Finding]:
        """Yield the responses that are wrong, or that look complete and aren't."""
        for response in self.evidence.responses:
            if not response.is_success:
                continue
            self.count += 1
            detail = self._fault_of(response)
            if detail is not None:
                yield Finding(self.rule, response.attempt, detail)

    def _fault_of(self, response: Response) -> str | None:
        detail = self._fault_of_events(response)
        if detail is None:
            return None
        faults = [fault.kind for fault in router_faults(self.evidence, response)]
        return ", ".join([f"HTTP/{response.http_version} {detail}", *faults])

    def _fault_of_events(self, response: Response) -> str | None:
        if response.has_foreign_data:
            return "data that doesn't belong to the request"
        ids = response.event_ids
        expected = list(range(1, len(ids) + 1))
        if ids != expected:
            position = next(i for i, item in enumerate(ids) if item != expected[i])
            place = "before" if ids[position] < expected[position] else "after"
            return f"an event has an id {place} the one that is due"
        if not response.looks_complete:
            return None
        runs = self.evidence.wanted_runs_of(response.attempt)
        if _is_end_passed_on(response, runs):
            return None
        if not any(run.end is RunEnd.FULL for run in runs):
            ends = ", ".join(f"{run.framing} {run.end}" for run in runs)
            return f"looks complete ({response.end}), runs ended: {ends or 'none'}"
        if len(ids) != response.size:
            return "looks complete without its last events"
        return None


def _is_end_passed_on(response: Response, runs: list[Run]) -> bool:
    """Return whether the caller sees just the end without a length that came.

    The answer must have begun so, as an end that was announced has to come. An upstream
    that is killed closes its connections in order too.
    """
    if response.framing is not Framing.NONE or response.end is not ResponseEnd.CLOSED:
        return False
    # A run that sent an event is followed by one that begins after it.
    from_first_event = [run for run in runs if run.first_event == 1]
    if not from_first_event or from_first_event[-1].framing is not Framing.NONE:
        return False
    last = runs[-1]
    is_closed = last.end in (RunEnd.CLOSED, RunEnd.CRASHED)
    return is_closed and last.framing is Framing.NONE
