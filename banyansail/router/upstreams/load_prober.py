"""Load probes of upstreams; two live routers probe each upstream."""

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
    """Probes the upstreams assigned to this router and publishes their load.

    Parameters
    ----------
    name : str
        This router.
    clock : Clock
        Source of time.
    gossiper : Gossiper
        Lists the live routers and publishes the load.
    dispatcher : Dispatcher
        Uses the load reports.
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
        """Request the load of the assigned upstreams and publish it."""
        names = self._assigned_upstreams()
        answers = await defer.DeferredList(
            [defer.Deferred.fromCoroutine(self._fetch_load(name)) for name in names]
        )
        load_by_name = {
            name: load
            for name, (succeeded, load) in zip(names, answers, strict=True)
            if succeeded and load is not None
        }
        self._apply(load_by_name)
        self._gossiper.publish(Topic.LOADS, encode_loads(load_by_name))

    def merge_peer_loads(self, value: bytes) -> None:
        """Apply the load that another router has published."""
        self._apply(decode_loads(value))

    def _apply(self, load_by_name: dict[str, int]) -> None:
        now = self._clock.monotonic()
        for name, load in load_by_name.items():
            state = self._dispatcher.state_by_name.get(name)
            if state is not None:
                state.apply_load_report(load, now)

    def _assigned_upstreams(self) -> list[str]:
        """Return the upstreams that consistent hashing assigns to this router."""
        members = set(self._gossiper.live_members()) | {self._name}
        ring = sorted((hash64(name), name) for name in members)
        assigned = []
        for upstream in self._dispatcher.state_by_name:
            start = bisect_left(ring, (hash64(upstream), ""))
            count = min(PROBERS_PER_UPSTREAM, len(ring))
            chosen = [ring[(start + step) % len(ring)][1] for step in range(count)]
            if self._name in chosen:
                assigned.append(upstream)
        return assigned

    async def _fetch_load(self, name: str) -> int | None:
        client = self._upstream_clients.get(name)
        if client is None:
            return None
        report = await client.request_json("GET", "/load")
        return None if report is None else report.get("in_flight")
