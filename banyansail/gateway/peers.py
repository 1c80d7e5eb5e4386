"""Other routers and what they told of their traffic."""

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

LIVE_TIME = timedelta(seconds=2.5)  # without news a router counts for nothing
FLEET_TIME = timedelta(seconds=20)  # routers of the last while share the budgets


@dataclass(slots=True)
class _Peer:
    incarnation: int
    heard_at: timedelta
    traffic: Traffic


class PeerTable:
    """Traffic of the other routers, by name.

    Parameters
    ----------
    name : str
        This router.
    clock : Clock
        Source of time.
    """

    def __init__(self, name: str, clock: Clock) -> None:
        self._name = name
        self._clock = clock
        self._peer_by_name: dict[str, _Peer] = {}
        self._past_read: dict[str, float] = {}  # by processes that have ended

    def take(self, entry: Entry) -> Traffic | None:
        """Take in an entry; return what it says if it is about traffic."""
        if entry.topic is not Topic.TRAFFIC:
            return None
        try:
            traffic = decode_traffic(entry.value)
        except WireError as error:
            log_event("traffic_unreadable", origin=entry.origin, error=error.message)
            return None
        now = self._clock.monotonic()
        before = self._peer_by_name.get(entry.origin)
        if before is not None and before.incarnation != entry.incarnation:
            for service, total in before.traffic.prefill_tokens_by_service.items():
                self._past_read[service] = self._past_read.get(service, 0.0) + total
        self._peer_by_name[entry.origin] = _Peer(entry.incarnation, now, traffic)
        return traffic

    def live_names(self) -> list[str]:
        """Return the routers that were heard of lately, this one included."""
        now = self._clock.monotonic()
        return [self._name] + [
            name
            for name, peer in self._peer_by_name.items()
            if now - peer.heard_at <= LIVE_TIME
        ]

    def names_fit_for_duties(self) -> list[str]:
        """Return the live routers that may hold a duty, this one included."""
        return [
            name
            for name in self.live_names()
            if name == self._name
            or not self._peer_by_name[name].traffic.is_unfit_for_duties
        ]

    def fleet_size(self) -> int:
        """Return how many routers may spend from what all share."""
        now = self._clock.monotonic()
        return 1 + sum(
            now - peer.heard_at <= FLEET_TIME for peer in self._peer_by_name.values()
        )

    def read_total(self, service: str) -> float:
        """Return the prompt tokens that others have given to engines to read."""
        return self._past_read.get(service, 0.0) + sum(
            peer.traffic.prefill_tokens_by_service.get(service, 0.0)
            for peer in self._peer_by_name.values()
        )

    def work_by_upstream(self) -> dict[str, tuple[int, int]]:
        """Return requests in flight and tokens being read, of all live others."""
        now = self._clock.monotonic()
        total: dict[str, tuple[int, int]] = {}
        for peer in self._peer_by_name.values():
            if now - peer.heard_at > LIVE_TIME:
                continue
            for name, work in peer.traffic.work_by_upstream.items():
                running, reading = total.get(name, (0, 0))
                total[name] = (
                    running + work.running,
                    reading + work.pending_prefill_tokens,
                )
        return total
