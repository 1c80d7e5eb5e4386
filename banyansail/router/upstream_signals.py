"""Signals about upstreams: leaving and deaths, first-hand and from other routers."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.exceptions import WireError
from banyansail.fleet.entries import Entry, Topic
from banyansail.log import log_decision, log_event
from banyansail.wire.gossip_codec import (
    decode_deaths,
    decode_leaving,
    encode_deaths,
    encode_leaving,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.clock import Clock
    from banyansail.fleet.gossiper import Gossiper
    from banyansail.router.hops import ZoneHops
    from banyansail.router.load_prober import LoadProber
    from banyansail.router.registry import ExchangeRegistry
    from banyansail.routing.dispatch import Dispatcher
    from banyansail.routing.quarantine import Quarantine, UpstreamCrash

PUBLISHED_DEATHS = 20


class UpstreamSignals:
    """Acts on signals and passes first-hand ones on.

    Parameters
    ----------
    clock : Clock
        Source of time.
    gossiper : Gossiper
        Tells the other routers.
    push : callable
        Sends news at once.
    dispatcher : Dispatcher
        Keeps new work away.
    quarantine : Quarantine
        Counts deaths.
    registry : ExchangeRegistry
        Knows what is in flight at a leaving upstream.
    prober : LoadProber
        Takes in reports of load.
    hops : ZoneHops
        Learns where routers are.
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
        hops: ZoneHops,
    ) -> None:
        self._clock = clock
        self._gossiper = gossiper
        self._push = push
        self._dispatcher = dispatcher
        self._quarantine = quarantine
        self._registry = registry
        self._prober = prober
        self._hops = hops
        self._deaths: list[UpstreamCrash] = []
        self._leaving_at: dict[str, timedelta] = {}

    def report_leaving(self, notice_by_name: dict[str, timedelta]) -> None:
        """Act on a first-hand signal that instances are leaving."""
        new = self._mark_leaving(notice_by_name, "platform")
        now = self._clock.monotonic()
        for name in new:
            self._leaving_at[name] = now + notice_by_name[name]
        if new:
            self.publish_leaving()
            self._push()

    def report_death(self, death: UpstreamCrash) -> None:
        """Act on a death that was found out here."""
        log_event("upstream_died", upstream=death.upstream, zone=death.zone)
        self._deaths = [*self._deaths, death][-PUBLISHED_DEATHS:]
        self._gossiper.publish(Topic.DEATHS, encode_deaths(self._deaths))
        self._push()

    def publish_leaving(self) -> None:
        """Tell the others how long the leaving instances have left."""
        if not self._leaving_at:
            return
        now = self._clock.monotonic()
        left = {
            name: max(moment - now, timedelta(0))
            for name, moment in self._leaving_at.items()
        }
        self._gossiper.publish(Topic.LEAVING, encode_leaving(left))

    def receive(self, entries: list[Entry]) -> None:
        """Take in what other routers say."""
        for entry in entries:
            try:
                self._take(entry)
            except WireError as error:
                log_event("bad_entry", origin=entry.origin, error=error.message)

    def _take(self, entry: Entry) -> None:
        match entry.topic:
            case Topic.MEMBER:
                member = self._gossiper.members().get(entry.origin)
                if member is not None:
                    self._hops.learn(member)
            case Topic.LEAVING:
                self._mark_leaving(decode_leaving(entry.value), entry.origin)
            case Topic.DEATHS:
                for death in decode_deaths(entry.value):
                    if self._quarantine.record_crash(death):
                        self._dispatcher.mark_suspect(death.upstream)
            case Topic.LOADS:
                self._prober.merge_peer_loads(entry.value)

    def _mark_leaving(
        self, notice_by_name: dict[str, timedelta], source: str
    ) -> set[str]:
        new = self._dispatcher.mark_leaving(set(notice_by_name))
        for name in new:
            log_decision("leave", source, upstream=name)
            for exchange in self._registry.at(name):
                exchange.prepare_for_reclaim(notice_by_name[name])
        return new
