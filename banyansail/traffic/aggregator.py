"""Sums of the traffic reports of a data centre and of the fleet, without I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.fleet.ranking import rank_names
from banyansail.traffic.counters import FollowedCounters, ProcessCounters, add_increase
from banyansail.traffic.recipients import SILENT_AFTER, order_receivers, router_key
from banyansail.traffic.report import (
    TrafficReport,
    TrafficSum,
    UpstreamWork,
    add_tallies,
    add_work,
    merge_limits,
    merge_max_tallies,
)
from banyansail.traffic.speed_evidence import add_speeds

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.traffic.report import NamedLimit
    from banyansail.traffic.speed_evidence import SpeedEvidence
    from banyansail.traffic.tally import Tally, TallyKey

WORK_TIMEOUT = timedelta(seconds=2.5)  # after which reported work does not count
# Without a report; longer than the windows of the quotas.
MEMBER_TIMEOUT = timedelta(seconds=12)
DUTY = "duties"
DUTY_CANDIDATES = 3  # that a sum names


@dataclass(slots=True)
class _Reporter:
    """Last report of a router."""

    incarnation: int
    sequence: int
    received_at: timedelta
    report: TrafficReport


@dataclass(slots=True)
class _RemoteZone:
    """Traffic of another data centre, as summed up by its aggregators."""

    used: FollowedCounters
    prefill: FollowedCounters
    assigned: FollowedCounters
    rejected: FollowedCounters
    last: TrafficSum = field(default_factory=TrafficSum)  # of the followed aggregator
    received_at: timedelta = timedelta(0)
    tallies: dict[TallyKey, Tally] = field(default_factory=dict)


class TrafficAggregator:
    """Sums up the reports of one data centre, and the sums of the others.

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
        "_ended_tallies",
        "_is_urgent",
        "_name",
        "_prefill",
        "_rejected",
        "_remote_by_zone",
        "_reporter_by_name",
        "_used",
    )

    def __init__(self, name: str, clock: Clock) -> None:
        self._name = name
        self._clock = clock
        self._reporter_by_name: dict[str, _Reporter] = {}
        self._remote_by_zone: dict[str, _RemoteZone] = {}
        self._used = ProcessCounters()
        self._prefill = ProcessCounters()
        self._assigned = ProcessCounters()
        self._rejected = ProcessCounters()
        # Of processes that have ended.
        self._ended_tallies: dict[TallyKey, Tally] = {}
        self._is_urgent = False

    @property
    def is_urgent(self) -> bool:
        """Whether an urgent report arrived since the last sum of the fleet."""
        return self._is_urgent

    def merge_report(
        self, name: str, incarnation: int, sequence: int, report: TrafficReport
    ) -> None:
        """Merge the report of a router of this data centre."""
        known = self._reporter_by_name.get(name)
        if known is not None and known.incarnation != incarnation:
            add_tallies(self._ended_tallies, known.report.tallies)
        self._used.update(name, incarnation, report.used_by_workspace)
        self._prefill.update(name, incarnation, report.prefill_tokens_by_service)
        self._assigned.update(name, incarnation, report.assigned_by_name)
        self._rejected.update(name, incarnation, report.rejected_by_workspace)
        self._reporter_by_name[name] = _Reporter(
            incarnation, sequence, self._clock.monotonic(), report
        )
        self._is_urgent |= report.is_urgent

    def merge_zone_sum(
        self, zone: str, aggregator: str, incarnation: int, zone_sum: TrafficSum
    ) -> None:
        """Merge the sum of another data centre, from one of its aggregators."""
        remote = self._remote_by_zone.get(zone)
        if remote is None:
            remote = self._remote_by_zone[zone] = _RemoteZone(
                FollowedCounters(self._clock),
                FollowedCounters(self._clock),
                FollowedCounters(self._clock),
                FollowedCounters(self._clock),
            )
        remote.used.update(aggregator, incarnation, zone_sum.used_by_workspace)
        remote.prefill.update(
            aggregator, incarnation, zone_sum.prefill_tokens_by_service
        )
        remote.assigned.update(aggregator, incarnation, zone_sum.assigned_by_name)
        remote.rejected.update(aggregator, incarnation, zone_sum.rejected_by_workspace)
        merge_max_tallies(remote.tallies, zone_sum.tallies)
        if remote.used.followed == aggregator:
            remote.last = zone_sum
            remote.received_at = self._clock.monotonic()
            self._is_urgent |= zone_sum.is_urgent

    def live_names(self) -> list[str]:
        """Return the routers of this data centre that reported recently."""
        now = self._clock.monotonic()
        return [
            name
            for name, reporter in self._reporter_by_name.items()
            if now - reporter.received_at <= SILENT_AFTER
        ]

    def zone_sum(self) -> TrafficSum:
        """Return the sum of this data centre."""
        self._remove_expired()
        now = self._clock.monotonic()
        work: dict[str, UpstreamWork] = {}
        tallies: dict[TallyKey, Tally] = {}
        add_tallies(tallies, self._ended_tallies)
        limits: dict[str, NamedLimit] = {}
        speeds: dict[str, SpeedEvidence] = {}
        candidates, holders = [], []
        for name, reporter in self._reporter_by_name.items():
            report = reporter.report
            add_tallies(tallies, report.tallies)
            merge_limits(limits, report.limits, now - reporter.received_at)
            add_speeds(speeds, report.speeds, now - reporter.received_at)
            if now - reporter.received_at > WORK_TIMEOUT:
                continue
            add_work(work, report.work_by_upstream)
            if not report.is_unfit_for_duties:
                candidates.append(name)
            if report.holds_duties:
                holders.append(name)
        return TrafficSum(
            dict(self._used.total),
            dict(self._prefill.total),
            work,
            tallies,
            len(self._reporter_by_name),
            len(self._reporter_by_name) - len(self.live_names()),
            tuple(rank_names(DUTY, candidates)[:DUTY_CANDIDATES]),
            tuple(holders),
            is_urgent=self._is_urgent,
            limits=limits,
            speeds=speeds,
            assigned_by_name=dict(self._assigned.total),
            rejected_by_workspace=dict(self._rejected.total),
        )

    def fleet_sum(self, zone_sum: TrafficSum) -> TrafficSum:
        """Return the sum of all data centres, given that of this one."""
        now = self._clock.monotonic()
        used = dict(zone_sum.used_by_workspace)
        prefill = dict(zone_sum.prefill_tokens_by_service)
        assigned = dict(zone_sum.assigned_by_name)
        rejected = dict(zone_sum.rejected_by_workspace)
        work = dict(zone_sum.work_by_upstream)
        tallies: dict[TallyKey, Tally] = {}
        add_tallies(tallies, zone_sum.tallies)
        candidates = list(zone_sum.duty_candidates)
        holders = list(zone_sum.duty_holders)
        limits = dict(zone_sum.limits)
        speeds = dict(zone_sum.speeds)
        routers, silent_routers = zone_sum.routers, zone_sum.silent_routers
        for remote in self._remote_by_zone.values():
            add_increase(used, remote.used.total, {})
            add_increase(prefill, remote.prefill.total, {})
            add_increase(assigned, remote.assigned.total, {})
            add_increase(rejected, remote.rejected.total, {})
            add_tallies(tallies, remote.tallies)
            age = now - remote.received_at
            if age > MEMBER_TIMEOUT:
                continue
            merge_limits(limits, remote.last.limits, age)
            add_speeds(speeds, remote.last.speeds, age)
            last = remote.last
            routers += last.routers
            is_silent = age > SILENT_AFTER
            silent_routers += last.routers if is_silent else last.silent_routers
            if age <= WORK_TIMEOUT:
                add_work(work, last.work_by_upstream)
                candidates += last.duty_candidates
                holders += last.duty_holders
        self._is_urgent = False
        return TrafficSum(
            used,
            prefill,
            work,
            tallies,
            routers,
            silent_routers,
            tuple(rank_names(DUTY, candidates)[:DUTY_CANDIDATES]),
            tuple(holders),
            self._sequence_by_router(),
            zone_sum.is_urgent,
            limits,
            speeds=speeds,
            assigned_by_name=assigned,
            rejected_by_workspace=rejected,
        )

    def _sequence_by_router(self) -> dict[int, int]:
        """Return the last sequence of the live routers, in the order of relaying.

        This router comes first; the sum reaches it without a relay.
        """
        live = self.live_names()
        names = [self._name] if self._name in live else []
        names += order_receivers(self._name, live)
        return {
            router_key(name): self._reporter_by_name[name].sequence for name in names
        }

    def _remove_expired(self) -> None:
        now = self._clock.monotonic()
        for name, reporter in list(self._reporter_by_name.items()):
            if now - reporter.received_at > MEMBER_TIMEOUT:
                del self._reporter_by_name[name]
                add_tallies(self._ended_tallies, reporter.report.tallies)
                self._used.remove(name)
                self._prefill.remove(name)
                self._assigned.remove(name)
                self._rejected.remove(name)
