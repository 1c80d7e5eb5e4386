"""Sends the counts of requests that ran to the routers that report usage."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.exceptions import WireError
from banyansail.fleet.entries import Entry, Topic
from banyansail.log import log_event
from banyansail.wire.traffic_codec import (
    decode_ended_usage,
    decode_usage,
    encode_usage,
)

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.gateway.duties.usage import Counts, UsageCounter
    from banyansail.gateway.duties.usage_reporter import UsageReporter
    from banyansail.gateway.sharing.fleet_link import FleetLink
    from banyansail.traffic.fleet_traffic import FleetTraffic

MIN_INTERVAL = timedelta(milliseconds=400)
# The holder of the duty receives at most a hundred counts per second.
INTERVAL_PER_ROUTER = timedelta(milliseconds=10)
CANDIDATES = 2  # that receive the counts, as they may take over the duty
SENT_WINDOWS = 3  # most recent ones


class UsageExchange:
    """Exchange of usage counts between all routers and the holder of the duty.

    The counts of each process are kept apart at the receivers, so that a count that is
    sent again changes nothing and none is lost with the process.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        link: FleetLink,
        usage: UsageCounter,
        fleet: FleetTraffic,
        reporter: UsageReporter,
    ) -> None:
        self._name = name
        self._clock = clock
        self._link = link
        self._usage = usage
        self._fleet = fleet
        self._reporter = reporter
        self._sent_at = clock.monotonic() - MIN_INTERVAL

    def send_last(self) -> None:
        """Send this router's counts, and those of processes that ended before it.

        The lease may have been lost, so that they can not be left with it.
        """
        self.send(is_urgent=True, ended=self._usage.ended_counts())

    def send(
        self, *, is_urgent: bool = False, ended: dict[str, Counts] | None = None
    ) -> None:
        """Send this router's counts if they are due or urgent."""
        now = self._clock.monotonic()
        interval = max(MIN_INTERVAL, INTERVAL_PER_ROUTER * self._fleet.fleet_size())
        if now - self._sent_at < interval and not is_urgent:
            return
        self._sent_at = now
        # The lease may be held by a router that does not rank first any more.
        receivers = {
            *self._fleet.duty_holders(),
            *self._reporter.candidates()[:CANDIDATES],
        }
        counts = self._usage.own_counts
        recent = {window: counts[window] for window in sorted(counts)[-SENT_WINDOWS:]}
        others = [name for name in receivers if name != self._name]
        if others and (recent or ended):
            self._link.send_value(others, Topic.USAGE, encode_usage(recent, ended))

    def apply_entry(self, entry: Entry) -> None:
        """Merge the counts of another router."""
        try:
            counts = decode_usage(entry.value)
            ended = decode_ended_usage(entry.value)
        except WireError as error:
            log_event("usage_unreadable", origin=entry.origin, error=error.message)
            return
        self._usage.merge_peer_counts(f"{entry.origin}.{entry.incarnation}", counts)
        for process, counts_of_process in ended.items():
            self._usage.merge_ended_counts(process, counts_of_process)
