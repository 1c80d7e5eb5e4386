"""CONFIG: a router that is in touch follows each configuration in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benchmarks.soak.checks.check import Check
from benchmarks.soak.kinds import ALL_ROUTERS, THE_STORE
from benchmarks.soak.operator import KEPT_ROUTES
from benchmarks.soak.records import Finding

if TYPE_CHECKING:
    from collections.abc import Iterator

    from benchmarks.soak.records import Change, Probe

CONTACT_S = 3.0
IN_FORCE_S = 2.0
NOT_FOUND = 404


class ConfigCheck(Check):
    """Checks what routers answered on routes that were added and removed."""

    rule = "CONFIG"
    is_timed = True

    def findings(self) -> Iterator[Finding]:
        """Yield the requests that only an older configuration explains."""
        change_by_route = {change.route: change for change in self.evidence.changes}
        for probe in self.evidence.probes:
            if probe.status is None or not self._is_in_touch(probe):
                continue
            self.count += 1
            added = change_by_route[probe.route]
            removed = change_by_route.get(probe.route + KEPT_ROUTES)
            if removed is None and probe.status == NOT_FOUND and _is_due(added, probe):
                yield self._finding(probe, added, "not found")
            is_served = probe.status // 100 == 2
            if removed is not None and is_served and _is_due(removed, probe):
                yield self._finding(probe, removed, "served after its end")

    def _finding(self, probe: Probe, change: Change, text: str) -> Finding:
        late_s = probe.sent_at - change.acked_at
        detail = f"{probe.router}: route {probe.route} {text}, {late_s:.1f} s after"
        return Finding(self.rule, str(probe.route), detail)

    def _is_in_touch(self, probe: Probe) -> bool:
        targets = (probe.router, ALL_ROUTERS, THE_STORE)
        return not any(
            fault.target in targets
            and fault.began_at is not None
            and fault.began_at <= probe.ended_at
            and (fault.ended_at is None or probe.sent_at <= fault.ended_at + CONTACT_S)
            for fault in self.evidence.faults
        )


def _is_due(change: Change, probe: Probe) -> bool:
    acked_at = change.acked_at
    return acked_at is not None and probe.sent_at > acked_at + IN_FORCE_S
