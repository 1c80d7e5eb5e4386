"""Short histories for the checks of the soak."""

from __future__ import annotations

from typing import Any

from benchmarks.soak.checks.check import Check
from benchmarks.soak.records import (
    Evidence,
    Fault,
    Kind,
    Response,
    ResponseEnd,
    Run,
    RunEnd,
)

ATTEMPT = "a1-1"
ROUTER = "front-1"
SIZE = 5


def response_of(**fields: Any) -> Response:
    """Return a whole stream of five events; it began at 10 s and took a second."""
    values = {
        "attempt": ATTEMPT,
        "kind": Kind.RESUMABLE,
        "router": ROUTER,
        "size": SIZE,
        "sent_at": 10.0,
        "ended_at": 11.0,
        "deadline_s": 4.0,
        "end": ResponseEnd.COMPLETE,
        "status": 200,
        "event_ids": list(range(1, SIZE + 1)),
    }
    return Response(**{**values, **fields})


def run_of(upstream: str = "e1", began_at: float = 10.0, **fields: Any) -> Run:
    """Return a run that ended in full after a second."""
    values = {"number": 1, "ended_at": began_at + 1.0, "end": RunEnd.FULL}
    return Run(ATTEMPT, upstream, began_at=began_at, **{**values, **fields})


def findings_of(
    check: type[Check], response: Response, *runs: Run, faults: tuple[Fault, ...] = ()
) -> list[str]:
    """Return what a check finds in a history."""
    evidence = Evidence([response], {ATTEMPT: list(runs)}, list(faults))
    return [finding.detail for finding in check(evidence).findings()]


def fault_of(kind: str, target: str, began_at: float, ended_at: float) -> Fault:
    """Return a fault that was struck."""
    return Fault(kind, target, 0.0, 1.0, {}, began_at, ended_at)
