"""To which routers a router sends gossip, and of which ones it sends digests."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from banyansail.fleet.push_queue import PUSH_FANOUT

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from banyansail.config.fields import Address
    from banyansail.fleet.topology import Topology
    from banyansail.fleet.view import FleetView

DIGEST_FANOUT = 1  # zone peers per exchange, and as many bridges
UNREACHABLE_PROBES_PER_S = 2  # by all routers of a zone, or by all bridges, together
MAX_DIGESTS_PER_DATAGRAM = 40

T = TypeVar("T")


class GossipTargets:
    """Random choice of the routers that take part in an exchange.

    Parameters
    ----------
    view : FleetView
        Entries and heartbeats received so far.
    topology : Topology
        Known and live routers.
    zone : str
        Zone of this router.
    own_address : Address
        Address at which other routers reach this one.
    seeds : iterable of Address
        Routers to contact while they are not known to be live.
    random : Random
        Source of randomness.
    """

    __slots__ = ("_own_address", "_random", "_topology", "_view", "_zone", "seeds")

    def __init__(
        self,
        view: FleetView,
        topology: Topology,
        zone: str,
        own_address: Address,
        seeds: Iterable[Address],
        random: Random,
    ) -> None:
        self._view = view
        self._topology = topology
        self._zone = zone
        self._own_address = own_address
        self._random = random
        self.seeds = [seed for seed in seeds if seed != own_address]

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """Add routers to contact while they are not known to be live."""
        known = {*self.seeds, self._own_address}
        self.seeds += [seed for seed in seeds if seed not in known]

    def for_push(self) -> tuple[list[Address], list[Address]]:
        """Return routers of this zone, and of other zones, to push new entries to.

        While neither is known, some seeds take the place of the latter.
        """
        in_zone = self._sample(self._topology.zone_peers(), PUSH_FANOUT)
        remote = [
            self._random.choice(peers)
            for peers in self._topology.bridges_by_zone().values()
        ]
        if not in_zone and not remote:
            remote = self._sample(self.seeds, PUSH_FANOUT)
        return in_zone, remote

    def for_exchange(self) -> list[Address]:
        """Return routers to exchange the digests of all zones with."""
        targets = self._sample(self._topology.zone_peers(), DIGEST_FANOUT)
        live_addresses = self._topology.live_addresses()
        seeds_not_live = [seed for seed in self.seeds if seed not in live_addresses]
        targets += self._sample(seeds_not_live, 1)
        targets += self._sample_unreachable_peer()
        return targets

    def for_exchange_across_zones(self) -> list[Address]:
        """Return bridges of other zones to exchange the digests of this zone with."""
        bridges = [
            peer
            for peers in self._topology.bridges_by_zone().values()
            for peer in peers
        ]
        return self._sample(bridges, DIGEST_FANOUT)

    def names_in_zone(self) -> list[str]:
        """Return this router and others of its zone, sampled if they are too many."""
        others = [
            name
            for name, member in self._topology.members().items()
            if member.zone == self._zone and name != self._view.name
        ]
        return [self._view.name, *self._sample(others, MAX_DIGESTS_PER_DATAGRAM - 1)]

    def names_across_zones(self) -> list[str]:
        """Return this router, some others of its zone and some of other zones."""
        own = self.names_in_zone()[: MAX_DIGESTS_PER_DATAGRAM // 2]
        others = [name for name in self._view.names if name not in set(own)]
        return [*own, *self._sample(others, MAX_DIGESTS_PER_DATAGRAM - len(own))]

    def _sample_unreachable_peer(self) -> list[Address]:
        """Return at most one unreachable router to probe.

        It is chosen at random and skipped with a probability that keeps all routers
        together within `UNREACHABLE_PROBES_PER_S`.
        """
        unreachable = self._topology.unreachable_peers()
        if not unreachable:
            return []
        address, prober_count = self._random.choice(unreachable)
        if self._random.random() * prober_count < UNREACHABLE_PROBES_PER_S:
            return [address]
        return []

    def _sample(self, items: list[T], count: int) -> list[T]:
        """Return all items, or a random sample if they are too many."""
        if len(items) <= count:
            return list(items)
        return self._random.sample(items, count)
