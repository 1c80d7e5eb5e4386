"""Traffic of the other routers, as known to this one from sums of the fleet."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.traffic.aggregator import MEMBER_TIMEOUT, WORK_TIMEOUT
from banyansail.traffic.counters import Counters, FollowedCounters, add_increase
from banyansail.traffic.recipients import SILENT_AFTER, router_key
from banyansail.traffic.report import (
    NO_WORK,
    NamedLimit,
    TrafficReport,
    TrafficSum,
    UpstreamWork,
    merge_max_tallies,
)
from banyansail.traffic.speed_evidence import MAX_AGE, SpeedEvidence, add_speeds

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.traffic.tally import Tally, TallyKey

# Own reports that are kept to be subtracted from sums that include them; more than are
# sent within `SILENT_AFTER`.
KEPT_REPORTS = 20


@dataclass(slots=True, frozen=True)
class _Heard:
    """Last sum of the fleet that is in use, without this router's part."""

    received_at: timedelta
    fleet_sum: TrafficSum
    work_by_upstream: dict[str, UpstreamWork]


class FleetTraffic:
    """Traffic of the other routers.

    Parameters
    ----------
    name : str
        Name of this router.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_assigned",
        "_clock",
        "_heard",
        "_key",
        "_name",
        "_own_reports",
        "_prefill",
        "_rejected",
        "_used",
        "tallies",
    )

    def __init__(self, name: str, clock: Clock) -> None:
        self._name = name
        self._clock = clock
        self._key = router_key(name)
        self._own_reports: deque[tuple[int, TrafficReport]] = deque(maxlen=KEPT_REPORTS)
        self._heard: _Heard | None = None
        self._used = FollowedCounters(clock)
        self._prefill = FollowedCounters(clock)
        self._assigned = FollowedCounters(clock)
        self._rejected = FollowedCounters(clock)
        # Answers counted by all routers, this one included.
        self.tallies: dict[TallyKey, Tally] = {}

    def record_own(self, sequence: int, report: TrafficReport) -> None:
        """Record a report that this router sends."""
        self._own_reports.append((sequence, report))

    def merge(self, aggregator: str, incarnation: int, fleet_sum: TrafficSum) -> bool:
        """Merge a sum of the fleet; return whether it changes the view of the others.

        A sum with an old report of this router is ignored, as its aggregator does not
        receive the reports of this router.
        """
        own = self._own_part(fleet_sum)
        if own is None:
            return False
        is_included = self._key in fleet_sum.sequence_by_router
        merge_max_tallies(self.tallies, fleet_sum.tallies)
        for counters, total, own_counters in (
            (self._used, fleet_sum.used_by_workspace, own.used_by_workspace),
            (
                self._prefill,
                fleet_sum.prefill_tokens_by_service,
                own.prefill_tokens_by_service,
            ),
            (self._assigned, fleet_sum.assigned_by_name, own.assigned_by_name),
            (
                self._rejected,
                fleet_sum.rejected_by_workspace,
                own.rejected_by_workspace,
            ),
        ):
            foreign: Counters = {}
            add_increase(foreign, total, own_counters)
            # A counter that starts to include this router's part is another one.
            counters.update(aggregator, (incarnation, is_included), foreign)
        if self._used.followed != aggregator:
            return False
        work = {
            name: item - own.work_by_upstream.get(name, NO_WORK)
            for name, item in fleet_sum.work_by_upstream.items()
        }
        self._heard = _Heard(self._clock.monotonic(), fleet_sum, work)
        return True

    def used_by_workspace(self) -> Counters:
        """Return the quota units that other routers were heard to use."""
        return self._used.total

    def rejected_by_workspace(self) -> Counters:
        """Return the quota units that other routers were heard to reject."""
        return self._rejected.total

    def prefill_tokens_total(self, service: str) -> float:
        """Return the prompt tokens that other routers sent for prefill."""
        return self._prefill.total.get(service, 0.0)

    def assigned_by_name(self) -> Counters:
        """Return the work that other routers assigned, by service and workspace."""
        return self._assigned.total

    def work_by_upstream(self) -> dict[str, UpstreamWork]:
        """Return the load that other routers have in flight."""
        heard = self._heard_within(WORK_TIMEOUT)
        return heard.work_by_upstream if heard else {}

    @property
    def has_traffic(self) -> bool:
        """Whether other routers were heard to have requests."""
        if any(self._used.total.values()) or any(self._prefill.total.values()):
            return True
        return any(work.running > 0 for work in self.work_by_upstream().values())

    def limits(self) -> dict[str, NamedLimit]:
        """Return the limits that upstreams named to any router lately."""
        heard = self._heard_within(MEMBER_TIMEOUT)
        if heard is None:
            return {}
        time = self._clock.monotonic() - heard.received_at
        limits = heard.fleet_sum.limits
        return {upstream: named.aged(time) for upstream, named in limits.items()}

    def speeds(self) -> dict[str, SpeedEvidence]:
        """Return the speeds that all routers measured, this one included."""
        heard = self._heard_within(MAX_AGE)
        speeds: dict[str, SpeedEvidence] = {}
        if heard is not None:
            time = self._clock.monotonic() - heard.received_at
            add_speeds(speeds, heard.fleet_sum.speeds, time)
        return speeds

    def duty_candidates(self) -> list[str]:
        """Return the routers that rank first for duties, and this one."""
        heard = self._heard_within(WORK_TIMEOUT)
        names = heard.fleet_sum.duty_candidates if heard else ()
        return [self._name, *(name for name in names if name != self._name)]

    def duty_holders(self) -> list[str]:
        """Return the other routers that hold the lease on the duties."""
        heard = self._heard_within(WORK_TIMEOUT)
        names = heard.fleet_sum.duty_holders if heard else ()
        return [name for name in names if name != self._name]

    @property
    def is_silent(self) -> bool:
        """Whether the load of the other routers is not known."""
        return self._heard_within(WORK_TIMEOUT) is None

    def fleet_size(self) -> int:
        """Return the number of routers that share budgets, this one included."""
        return 1 + self.others()

    def others(self) -> int:
        """Return the number of the other routers."""
        heard = self._heard_within(MEMBER_TIMEOUT)
        if heard is None:
            return 0
        is_included = self._key in heard.fleet_sum.sequence_by_router
        return max(0, heard.fleet_sum.routers - is_included)

    def silent_others(self) -> int:
        """Return how many of the other routers were not heard of recently."""
        if self._heard_within(SILENT_AFTER) is None:
            return self.others()
        return min(self.others(), self._heard.fleet_sum.silent_routers)

    def _heard_within(self, age: timedelta) -> _Heard | None:
        heard = self._heard
        if heard is None or self._clock.monotonic() - heard.received_at > age:
            return None
        return heard

    def _own_part(self, fleet_sum: TrafficSum) -> TrafficReport | None:
        """Return this router's part of a sum, or ``None`` if that part is too old."""
        sequence = fleet_sum.sequence_by_router.get(self._key)
        if sequence is None:
            return TrafficReport()
        for known, report in self._own_reports:
            if known == sequence:
                return report
        return None
