"""Preemption notices and crashes of upstreams, observed here or by other routers."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.exceptions import WireError
from banyansail.fleet.entries import Entry, Topic
from banyansail.log import log_decision, log_event
from banyansail.routing.crash_reports import CrashReports
from banyansail.wire.gossip_codec import (
    decode_crashes,
    decode_leaving,
    encode_crashes,
    encode_leaving,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.clock import Clock
    from banyansail.fleet.gossiper import Gossiper
    from banyansail.router.upstreams.load_prober import LoadProber
    from banyansail.router.upstreams.registry import ExchangeRegistry
    from banyansail.router.upstreams.zone_latency import RegionZoneLatency
    from banyansail.routing.crash_history import UpstreamCrash
    from banyansail.routing.dispatch import Dispatcher
    from banyansail.routing.quarantine import Quarantine


class UpstreamSignals:
    """Acts on signals about upstreams and publishes the ones observed here.

    Parameters
    ----------
    clock : Clock
        Source of time.
    gossiper : Gossiper
        Publishes signals to other routers.
    push : callable
        Sends new gossip entries at once.
    dispatcher : Dispatcher
        Sends no new work to draining and suspect upstreams.
    quarantine : Quarantine
        Counts crashes by fingerprint.
    registry : ExchangeRegistry
        Exchanges in flight, by upstream.
    prober : LoadProber
        Merges load reports of other routers.
    zone_latency : RegionZoneLatency
        Records the regions of other routers.
    """

    def __init__(
        self,
        clock: Clock,
        gossiper: Gossiper,
        push: Callable[[], None],
        dispatcher: Dispatcher,
        quarantine: Quarantine,
        registry: ExchangeRegistry,
        prober: LoadProber,
        zone_latency: RegionZoneLatency,
    ) -> None:
        self._clock = clock
        self._gossiper = gossiper
        self._push = push
        self._dispatcher = dispatcher
        self._quarantine = quarantine
        self._registry = registry
        self._prober = prober
        self._zone_latency = zone_latency
        self._crash_reports = CrashReports(clock)
        self._leaving_at_by_name: dict[str, timedelta] = {}

    def report_leaving(self, notice_by_name: dict[str, timedelta]) -> None:
        """Act on preemption notices that this router received."""
        new_names = self._mark_leaving(notice_by_name, "platform")
        now = self._clock.monotonic()
        for name in new_names:
            self._leaving_at_by_name[name] = now + notice_by_name[name]
        if new_names:
            self.publish_leaving()
            self._push()

    def report_crash(self, crash: UpstreamCrash) -> None:
        """Publish a crash that this router detected."""
        log_event("upstream_died", upstream=crash.upstream, zone=crash.zone)
        self._crash_reports.add(crash)
        value = encode_crashes(self._crash_reports.report())
        self._gossiper.publish(Topic.DEATHS, value)
        self._push()

    def publish_leaving(self) -> None:
        """Publish the time that remains until each draining instance is reclaimed."""
        if not self._leaving_at_by_name:
            return
        now = self._clock.monotonic()
        remaining_by_name = {
            name: max(leaving_at - now, timedelta(0))
            for name, leaving_at in self._leaving_at_by_name.items()
        }
        self._gossiper.publish(Topic.LEAVING, encode_leaving(remaining_by_name))

    def receive(self, entries: list[Entry]) -> None:
        """Apply gossip entries of other routers."""
        for entry in entries:
            try:
                self._apply_entry(entry)
            except WireError as error:
                log_event("bad_entry", origin=entry.origin, error=error.message)

    def _apply_entry(self, entry: Entry) -> None:
        match entry.topic:
            case Topic.MEMBER:
                member = self._gossiper.members().get(entry.origin)
                if member is not None:
                    self._zone_latency.record_region(member)
            case Topic.LEAVING:
                self._mark_leaving(decode_leaving(entry.value), entry.origin)
            case Topic.DEATHS:
                for crash in decode_crashes(entry.value).crashes:
                    if self._quarantine.record_crash(crash):
                        self._dispatcher.mark_suspect(crash.upstream)
            case Topic.LOADS:
                self._prober.merge_peer_loads(entry.value)

    def _mark_leaving(
        self, notice_by_name: dict[str, timedelta], source: str
    ) -> set[str]:
        new_names = self._dispatcher.mark_leaving(set(notice_by_name))
        for name in new_names:
            log_decision("leave", source, upstream=name)
            for exchange in self._registry.exchanges_at(name):
                exchange.prepare_for_reclaim(notice_by_name[name])
        return new_names
