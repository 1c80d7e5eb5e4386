"""Faults that a response has met at its router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benchmarks.soak.kinds import ALL_ROUTERS
from benchmarks.soak.plan import Scope, scope_of

if TYPE_CHECKING:
    from benchmarks.soak.records import Evidence, Fault, Response

RECOVERY_S = 1.0  # after a fault of the router itself


def router_faults(evidence: Evidence, response: Response) -> list[Fault]:
    """Return the faults that were struck at the router of a response meanwhile."""
    return [
        fault
        for fault in evidence.faults
        if fault.target in (response.router, ALL_ROUTERS)
        and scope_of(fault) in (Scope.ROUTER, Scope.FLEET)
        and fault.began_at is not None
        and fault.began_at <= response.ended_at
        and (fault.ended_at is None or fault.ended_at + RECOVERY_S >= response.sent_at)
    ]
