"""ONE: a window of usage is reported with one set of counts, by one holder a token."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benchmarks.soak.checks.check import Check
from benchmarks.soak.records import DutyCall, Finding

if TYPE_CHECKING:
    from collections.abc import Iterator


class DutyCheck(Check):
    """Checks the calls of duties that the platform accepted.

    Calls with a lower token than before are not checked, as they are allowed around
    thaws and disruptions of the store.
    """

    rule = "ONE"

    def findings(self) -> Iterator[Finding]:
        """Yield the reports that differ, and the tokens of two holders."""
        first_by_window: dict[int, DutyCall] = {}
        holder_by_token: dict[tuple[str, int], str] = {}
        for call in self.evidence.duty_calls:
            self.count += 1
            holder = holder_by_token.setdefault((call.path, call.token), call.holder)
            if holder != call.holder:
                detail = f"token {call.token} of {holder} and {call.holder}"
                yield Finding(self.rule, call.path, detail)
            if call.window is None:
                continue
            first = first_by_window.setdefault(call.window, call)
            if call.counts != first.counts:
                yield Finding(self.rule, str(call.window), _difference(first, call))


def _difference(first: DutyCall, second: DutyCall) -> str:
    return (
        f"{first.counts} by {first.holder} with token {first.token}, "
        f"{second.at - first.at:.1f} s later {second.counts} by {second.holder} with "
        f"token {second.token}"
    )
