"""Asks upstreams for their load; each is asked by two routers of the zone."""

from __future__ import annotations

from bisect import bisect_left
from datetime import timedelta
from typing import TYPE_CHECKING

from twisted.internet import defer

from banyansail.fleet.entries import Topic
from banyansail.utils import hash64
from banyansail.wire.gossip_codec import decode_loads, encode_loads

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.fleet.gossiper import Gossiper
    from banyansail.routing.dispatch import Dispatcher
    from banyansail.upstreams.upstream_clients import UpstreamClients

PROBERS_PER_UPSTREAM = 2


class LoadProber:
    """Probes this router's part of the upstreams and shares what they report.

    Parameters
    ----------
    name : str
        This router.
    clock : Clock
        Source of time.
    gossiper : Gossiper
        Knows the live routers and publishes the reports.
    dispatcher : Dispatcher
        Uses the reports.
    upstream_clients : UpstreamClients
        Connections to the upstreams.
    """

    INTERVAL = timedelta(seconds=2)

    def __init__(
        self,
        name: str,
        clock: Clock,
        gossiper: Gossiper,
        dispatcher: Dispatcher,
        upstream_clients: UpstreamClients,
    ) -> None:
        self._name = name
        self._clock = clock
        self._gossiper = gossiper
        self._dispatcher = dispatcher
        self._upstream_clients = upstream_clients

    async def probe(self) -> None:
        """Ask this router's part of the upstreams for their load."""
        names = self._own_part()
        answers = await defer.DeferredList(
            [defer.Deferred.fromCoroutine(self._ask(name)) for name in names]
        )
        load_by_name = {
            name: load
            for name, (succeeded, load) in zip(names, answers, strict=True)
            if succeeded and load is not None
        }
        self._apply(load_by_name)
        self._gossiper.publish(Topic.LOADS, encode_loads(load_by_name))

    def take_report(self, value: bytes) -> None:
        """Take in what another router was told."""
        self._apply(decode_loads(value))

    def _apply(self, load_by_name: dict[str, int]) -> None:
        now = self._clock.monotonic()
        for name, load in load_by_name.items():
            state = self._dispatcher.state_by_name.get(name)
            if state is not None:
                state.apply_load_report(load, now)

    def _own_part(self) -> list[str]:
        members = set(self._gossiper.live_members()) | {self._name}
        ring = sorted((hash64(name), name) for name in members)
        part = []
        for upstream in self._dispatcher.state_by_name:
            start = bisect_left(ring, (hash64(upstream), ""))
            count = min(PROBERS_PER_UPSTREAM, len(ring))
            chosen = [ring[(start + step) % len(ring)][1] for step in range(count)]
            if self._name in chosen:
                part.append(upstream)
        return part

    async def _ask(self, name: str) -> int | None:
        client = self._upstream_clients.get(name)
        if client is None:
            return None
        report = await client.request_json("GET", "/load")
        return None if report is None else report.get("in_flight")
