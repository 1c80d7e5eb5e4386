"""Exchange of traffic between routers: reports, and sums of several routers."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.exceptions import WireError
from banyansail.fleet.entries import Entry, Topic
from banyansail.log import log_event
from banyansail.traffic.aggregator import TrafficAggregator
from banyansail.traffic.fleet_traffic import FleetTraffic
from banyansail.traffic.recipients import (
    Aggregators,
    relay_count,
    relay_targets,
    router_key,
)
from banyansail.wire.traffic_codec import (
    decode_report,
    decode_sum,
    encode_report,
    encode_sum,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from banyansail.clock import Clock
    from banyansail.gateway.sharing.fleet_link import FleetLink
    from banyansail.traffic.report import TrafficReport, TrafficSum

INTERVAL = timedelta(milliseconds=400)  # of reports and of sums
MIN_URGENT_INTERVAL = timedelta(milliseconds=100)
# An aggregator spends about as much time on urgent reports in a large data centre.
URGENT_INTERVAL_PER_ROUTER = timedelta(milliseconds=12)


class TrafficExchange:
    """Sends this router's reports and, as an aggregator, sums.

    Parameters
    ----------
    name, zone : str
        This router and its data centre.
    clock : Clock
        Source of time.
    link : FleetLink
        Sends entries to other routers and knows the live ones.
    fleet : FleetTraffic
        Receives the sums of the fleet.
    make_report : callable
        Returns the current report of this router.
    on_sum : callable
        Called after `fleet` has changed.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        clock: Clock,
        link: FleetLink,
        fleet: FleetTraffic,
        make_report: Callable[[], TrafficReport],
        on_sum: Callable[[], None],
    ) -> None:
        self._name = name
        self._zone = zone
        self._clock = clock
        self._link = link
        self._fleet = fleet
        self._make_report = make_report
        self._on_sum = on_sum
        self._aggregator = TrafficAggregator(name, clock)
        self._aggregators = Aggregators(name, clock)
        self._reported_at = self._summed_at = clock.monotonic() - INTERVAL

    def send_report(self, *, is_urgent: bool) -> bool:
        """Report this router's traffic if a report is due; return whether it was."""
        now = self._clock.monotonic()
        if now - self._reported_at < self._interval(is_urgent=is_urgent):
            return False
        self._reported_at = now
        report = self._make_report()
        aggregators = self._aggregators.choose(self._zone, self._link.live_members())
        others = [name for name in aggregators if name != self._name]
        entry = self._link.send_value(others, Topic.TRAFFIC, encode_report(report))
        self._fleet.record_own(entry.sequence, report)
        if self._name in aggregators:
            self._aggregator.merge_report(
                self._name, entry.incarnation, entry.sequence, report
            )
        return True

    def send_sums(self) -> None:
        """Send sums if they are due and other routers report to this one."""
        now = self._clock.monotonic()
        receivers = self._aggregator.live_names()
        interval = self._interval(is_urgent=self._aggregator.is_urgent)
        if not receivers or now - self._summed_at < interval:
            return
        self._summed_at = now
        zone_sum = self._aggregator.zone_sum()
        self._link.send_value(
            self._remote_aggregators(),
            Topic.ZONE_TRAFFIC,
            encode_sum(zone_sum, self._zone),
        )
        fleet_sum = self._aggregator.fleet_sum(zone_sum)
        keys = self._receiver_keys(self._name, fleet_sum)
        entry = self._link.send_value(
            self._names_of(keys[: relay_count(len(keys))]),
            Topic.FLEET_TRAFFIC,
            encode_sum(fleet_sum),
        )
        self._merge_fleet_sum(entry, fleet_sum)

    def apply_entry(self, entry: Entry) -> None:
        """Merge a report or sum of another router; relay the sum if it is due here."""
        try:
            match entry.topic:
                case Topic.TRAFFIC:
                    self._aggregator.merge_report(
                        entry.origin,
                        entry.incarnation,
                        entry.sequence,
                        decode_report(entry.value),
                    )
                case Topic.ZONE_TRAFFIC:
                    zone, zone_sum = decode_sum(entry.value)
                    self._aggregators.record_sum(entry.origin)
                    self._aggregator.merge_zone_sum(
                        zone, entry.origin, entry.incarnation, zone_sum
                    )
                case Topic.FLEET_TRAFFIC:
                    _, fleet_sum = decode_sum(entry.value)
                    self._aggregators.record_sum(entry.origin)
                    self._relay(entry, fleet_sum)
                    self._merge_fleet_sum(entry, fleet_sum)
        except WireError as error:
            log_event("traffic_unreadable", origin=entry.origin, error=error.message)

    def _interval(self, *, is_urgent: bool) -> timedelta:
        if not is_urgent:
            return INTERVAL
        routers = len(self._link.zone_members())
        urgent = max(MIN_URGENT_INTERVAL, URGENT_INTERVAL_PER_ROUTER * routers)
        return min(INTERVAL, urgent)

    def _remote_aggregators(self) -> list[str]:
        members = self._link.live_members()
        zones = {member.zone for member in members.values()} - {self._zone}
        return [
            name for zone in zones for name in self._aggregators.choose(zone, members)
        ]

    def _receiver_keys(self, aggregator: str, fleet_sum: TrafficSum) -> list[int]:
        own_key = router_key(aggregator)
        return [key for key in fleet_sum.sequence_by_router if key != own_key]

    def _names_of(self, keys: Sequence[int]) -> list[str]:
        name_by_key = {router_key(name): name for name in self._link.zone_members()}
        return [name_by_key[key] for key in keys if key in name_by_key]

    def _relay(self, entry: Entry, fleet_sum: TrafficSum) -> None:
        keys = self._receiver_keys(entry.origin, fleet_sum)
        targets = relay_targets(keys, router_key(self._name))
        if targets:
            self._link.relay(self._names_of(targets), entry)

    def _merge_fleet_sum(self, entry: Entry, fleet_sum: TrafficSum) -> None:
        if self._fleet.merge(entry.origin, entry.incarnation, fleet_sum):
            self._on_sum()
