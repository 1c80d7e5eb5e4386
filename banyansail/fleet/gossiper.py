"""Decides what to tell which router, and when; no input or output.

News is pushed at once to a few routers and passed on a few times; digests of what
was heard repair what a push missed and carry heartbeats. Inside a zone any router
talks to any other; between zones only a few bridges of each zone do.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from banyansail.exceptions import WireError
from banyansail.fleet.entries import (
    LAST_STEP,
    Digest,
    Entry,
    Gossip,
    Member,
    Topic,
)
from banyansail.fleet.news import MAX_ENTRY_BYTES_PER_DATAGRAM, PUSH_FANOUT, NewsQueue
from banyansail.fleet.topology import Topology
from banyansail.wire.gossip_codec import decode_member

if TYPE_CHECKING:
    from random import Random

    from banyansail.config.fields import Address
    from banyansail.fleet.view import FleetView

DIGEST_FANOUT = 1
ASKS_OF_A_LOST = 2  # a second, of all routers of a zone or all bridges together
MAX_DIGESTS_PER_DATAGRAM = 80


@dataclass(slots=True, frozen=True)
class Outgoing:
    """A datagram to send.

    Parameters
    ----------
    address : Address
        Where to.
    """

    address: Address
    gossip: Gossip


class Gossiper:
    """Gossip of one router.

    Parameters
    ----------
    view : FleetView
        What was heard.
    zone : str
        Zone of this router.
    own_address : Address
        Where other routers reach this one.
    seeds : iterable of Address
        Routers to ask before any other is known.
    random : Random
        Source of the draws.
    """

    __slots__ = (
        "_addressed",
        "_news",
        "_own_address",
        "_random",
        "_seeds",
        "_topology",
        "_view",
        "_zone",
    )

    def __init__(
        self,
        view: FleetView,
        zone: str,
        own_address: Address,
        seeds: Iterable[Address],
        random: Random,
    ) -> None:
        self._view = view
        self._zone = zone
        self._own_address = own_address
        self._seeds = [seed for seed in seeds if seed != own_address]
        self._random = random
        self._news = NewsQueue()
        self._addressed: list[Outgoing] = []
        self._topology = Topology(view, zone)

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """Ask these routers too while they are not known."""
        known = {*self._seeds, self._own_address}
        self._seeds += [seed for seed in seeds if seed not in known]

    def members(self) -> dict[str, Member]:
        """Return every router that was heard of, live or not."""
        return self._topology.members()

    def live_members(self) -> dict[str, Member]:
        """Return the routers that were heard of lately, this one included."""
        return dict(self._topology.live_members())

    def is_live(self, name: str) -> bool:
        """Tell whether a router was heard of lately, by the measure of its zone."""
        return self._topology.is_live(name)

    def publish(self, topic: Topic, value: bytes) -> bool:
        """Replace this router's value; return whether that was news."""
        entry = self._view.publish(topic, value)
        if entry is None:
            return False
        self._note(entry)
        return True

    def send_to(self, names: Iterable[str], topic: Topic, value: bytes) -> None:
        """Replace this router's value and send it to some routers only.

        It is sent with the next push, also if it is the same as before.
        """
        self._view.publish(topic, value)
        entry = self._view.own_entry(topic)
        members = self.members()
        self._addressed += [
            self._outgoing(members[name].peer, [entry], (), LAST_STEP)
            for name in names
            if name in members
        ]

    def forget_old(self) -> None:
        """Drop routers that were not heard of for a long time."""
        self._view.forget_old()
        self._topology.forget_old()

    def push(self) -> list[Outgoing]:
        """Return the datagrams that pass news on now."""
        addressed, self._addressed = self._addressed, []
        return addressed + self._push_news()

    def _push_news(self) -> list[Outgoing]:
        entries = self._news.take()
        if not entries:
            return []
        zone_peers = self._sample(self._topology.zone_peers(), PUSH_FANOUT)
        outgoing = [
            self._outgoing(target, entries, (), LAST_STEP) for target in zone_peers
        ]
        shared = [entry for entry in entries if self._crosses_zones(entry)]
        others = [
            self._random.choice(peers)
            for peers in self._topology.bridges_by_zone().values()
        ]
        if not zone_peers and not others:
            others = self._sample(self._seeds, PUSH_FANOUT)
        if shared:
            outgoing += [
                self._outgoing(target, shared, (), LAST_STEP) for target in others
            ]
        return outgoing

    def exchange(self) -> list[Outgoing]:
        """Return the datagrams that compare what was heard."""
        self._view.beat()
        targets = self._sample(self._topology.zone_peers(), DIGEST_FANOUT)
        unheard = [
            seed for seed in self._seeds if seed not in self._topology.known_addresses()
        ]
        targets += self._sample(unheard, 1)
        targets += self._draw_lost_peer()
        digests = self._digests(self._mixed_names())
        outgoing = [self._outgoing(target, (), digests, 0) for target in targets]
        # What is heard first-hand in a zone is what other zones need of it.
        digests = self._digests(self._zone_names())
        bridges = [
            peer
            for peers in self._topology.bridges_by_zone().values()
            for peer in peers
        ]
        for target in self._sample(bridges, DIGEST_FANOUT):
            outgoing.append(self._outgoing(target, (), digests, 0))
        return outgoing

    def receive(
        self, gossip: Gossip, sender: Address
    ) -> tuple[list[Entry], list[Outgoing]]:
        """Take in a datagram.

        Returns
        -------
        news : list of Entry
            Entries that were not known.
        replies : list of Outgoing
            What the sender lacks.
        """
        news = [entry for entry in gossip.entries if self._view.merge(entry)]
        for entry in news:
            self._note(entry)
        for digest in gossip.digests:
            self._view.merge_digest(digest)
        if gossip.step >= LAST_STEP:
            return news, []
        reply = self._reply(gossip, sender)
        return news, [reply] if reply.gossip.entries or reply.gossip.digests else []

    def _reply(self, gossip: Gossip, sender: Address) -> Outgoing:
        step = gossip.step + 1
        entries = self._lacking_entries(gossip.digests)
        wanted: list[Digest] = []
        if step < LAST_STEP:
            wanted = [
                self._own_digest(digest)
                for digest in gossip.digests
                if self._view.lacks(digest)
            ]
        if step == 1:
            # Who asks may take this router for lost.
            wanted.append(self._view.digest(self._view.name))
            wanted += self._unknown_to(gossip)
        return self._outgoing(sender, entries, wanted, step)

    def _lacking_entries(self, digests: Iterable[Digest]) -> list[Entry]:
        entries: list[Entry] = []
        size = 0
        for digest in digests:
            for entry in self._view.newer_entries(digest):
                size += len(entry.value)
                if size <= MAX_ENTRY_BYTES_PER_DATAGRAM:
                    entries.append(entry)
        return entries

    def _unknown_to(self, gossip: Gossip) -> list[Digest]:
        """Return digests for a router that has heard of few others, as a new one."""
        if len(gossip.digests) >= MAX_DIGESTS_PER_DATAGRAM:
            return []
        seen = {digest.origin for digest in gossip.digests}
        names = [name for name in self._view.names if name not in seen]
        return [self._view.digest(name) for name in names[:MAX_DIGESTS_PER_DATAGRAM]]

    def _own_digest(self, digest: Digest) -> Digest:
        if digest.origin in self._view.names:
            return self._view.digest(digest.origin)
        return Digest(digest.origin, 0, 0, digest.age, ())

    def _note(self, entry: Entry) -> None:
        """Pass an entry on and keep track of members."""
        self._news.add(entry, len(self.members()))
        if entry.topic is Topic.MEMBER:
            try:
                self._topology.learn(entry.origin, decode_member(entry.value))
            except WireError:
                return

    def _crosses_zones(self, entry: Entry) -> bool:
        """Tell whether a bridge pushes an entry to other zones."""
        if entry.topic is Topic.LOADS:
            return False
        if entry.topic is not Topic.ZONE_EVIDENCE:
            return True
        writer = self.members().get(entry.origin)
        return writer is not None and writer.zone == self._zone

    def _digests(self, names: Iterable[str]) -> list[Digest]:
        return [self._view.digest(name) for name in names]

    def _zone_names(self) -> list[str]:
        """Return this router and others of its zone."""
        others = [
            name
            for name, member in self.members().items()
            if member.zone == self._zone and name != self._view.name
        ]
        window = self._window(others, MAX_DIGESTS_PER_DATAGRAM - 1)
        return [self._view.name, *window]

    def _mixed_names(self) -> list[str]:
        """Return this router, some of its zone and some of others."""
        own = self._zone_names()[: MAX_DIGESTS_PER_DATAGRAM // 2]
        others = [name for name in self._view.names if name not in set(own)]
        return [*own, *self._window(others, MAX_DIGESTS_PER_DATAGRAM - len(own))]

    def _window(self, names: list[str], count: int) -> list[str]:
        """Return all names, or some drawn at random if they are too many."""
        if len(names) <= count:
            return names
        return self._random.sample(names, count)

    def _draw_lost_peer(self) -> list[Address]:
        """Return a lost router or none, so that few routers at once ask it."""
        lost = self._topology.lost_peers()
        if not lost:
            return []
        address, askers = self._random.choice(lost)
        return [address] if self._random.random() * askers < ASKS_OF_A_LOST else []

    def _sample(self, addresses: list[Address], count: int) -> list[Address]:
        if len(addresses) <= count:
            return list(addresses)
        return self._random.sample(addresses, count)

    def _outgoing(
        self,
        address: Address,
        entries: Iterable[Entry],
        digests: Iterable[Digest],
        step: int,
    ) -> Outgoing:
        gossip = Gossip(
            self._view.name, self._zone, tuple(entries), tuple(digests), step
        )
        return Outgoing(address, gossip)
