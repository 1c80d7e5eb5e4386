"""Table of the other routers with their last traffic reports."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.exceptions import WireError
from banyansail.fleet.entries import Entry, Topic
from banyansail.log import log_event
from banyansail.wire.traffic_codec import Traffic, decode_traffic

if TYPE_CHECKING:
    from banyansail.clock import Clock

# A router whose last traffic report is older is not live here. Shorter than the timeout
# of heartbeats in gossip, as reports come several times per second.
REPORT_TIMEOUT = timedelta(seconds=2.5)
# Routers that reported within this time share the budgets.
BUDGET_MEMBER_TIMEOUT = timedelta(seconds=20)


@dataclass(slots=True)
class _Peer:
    incarnation: int
    received_at: timedelta
    traffic: Traffic


class PeerTable:
    """Last traffic report of each other router.

    Parameters
    ----------
    name : str
        Name of this router.
    clock : Clock
        Source of time.
    """

    def __init__(self, name: str, clock: Clock) -> None:
        self._name = name
        self._clock = clock
        self._peer_by_name: dict[str, _Peer] = {}
        # Prefill tokens from earlier incarnations of the other routers.
        self._ended_prefill_by_service: dict[str, float] = {}

    def merge(self, entry: Entry) -> Traffic | None:
        """Merge a gossip entry; return the decoded traffic if it is a traffic entry."""
        if entry.topic is not Topic.TRAFFIC:
            return None
        try:
            traffic = decode_traffic(entry.value)
        except WireError as error:
            log_event("traffic_unreadable", origin=entry.origin, error=error.message)
            return None
        now = self._clock.monotonic()
        previous = self._peer_by_name.get(entry.origin)
        if previous is not None and previous.incarnation != entry.incarnation:
            for service, total in previous.traffic.prefill_tokens_by_service.items():
                self._ended_prefill_by_service[service] = (
                    self._ended_prefill_by_service.get(service, 0.0) + total
                )
        self._peer_by_name[entry.origin] = _Peer(entry.incarnation, now, traffic)
        return traffic

    def live_names(self) -> list[str]:
        """Return the routers with a recent traffic report, this one included."""
        now = self._clock.monotonic()
        return [self._name] + [
            name
            for name, peer in self._peer_by_name.items()
            if now - peer.received_at <= REPORT_TIMEOUT
        ]

    def duty_candidates(self) -> list[str]:
        """Return the live routers that may hold a duty, this one included."""
        return [
            name
            for name in self.live_names()
            if name == self._name
            or not self._peer_by_name[name].traffic.is_unfit_for_duties
        ]

    def fleet_size(self) -> int:
        """Return the number of routers that share the budgets, this one included."""
        now = self._clock.monotonic()
        return 1 + sum(
            now - peer.received_at <= BUDGET_MEMBER_TIMEOUT
            for peer in self._peer_by_name.values()
        )

    def prefill_tokens_total(self, service: str) -> float:
        """Return the total of prompt tokens that others sent to engines for prefill."""
        return self._ended_prefill_by_service.get(service, 0.0) + sum(
            peer.traffic.prefill_tokens_by_service.get(service, 0.0)
            for peer in self._peer_by_name.values()
        )

    def work_by_upstream(self) -> dict[str, tuple[int, int]]:
        """Return the requests in flight and pending prefill tokens of live peers."""
        now = self._clock.monotonic()
        total: dict[str, tuple[int, int]] = {}
        for peer in self._peer_by_name.values():
            if now - peer.received_at > REPORT_TIMEOUT:
                continue
            for name, work in peer.traffic.work_by_upstream.items():
                running, prefill_tokens = total.get(name, (0, 0))
                total[name] = (
                    running + work.running,
                    prefill_tokens + work.pending_prefill_tokens,
                )
        return total
