"""Gossip protocol without I/O: decides which datagrams to send to which routers.

New entries are pushed at once to a few routers, each of which relays them a few times.
Periodic exchanges of digests repair what the pushes missed and carry heartbeats. Within
a zone, any router exchanges gossip with any other; between zones, only a few bridge
routers of each zone do.
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
from banyansail.fleet.gossip_targets import MAX_DIGESTS_PER_DATAGRAM, GossipTargets
from banyansail.fleet.push_queue import MAX_ENTRY_BYTES_PER_DATAGRAM, PushQueue
from banyansail.fleet.topology import Topology
from banyansail.log import log_event
from banyansail.wire.gossip_codec import decode_member

if TYPE_CHECKING:
    from random import Random

    from banyansail.config.fields import Address
    from banyansail.fleet.view import FleetView


@dataclass(slots=True, frozen=True)
class OutgoingDatagram:
    """Datagram to send.

    Parameters
    ----------
    address : Address
        Destination.
    """

    address: Address
    gossip: Gossip


class Gossiper:
    """Gossip state machine of one router.

    Parameters
    ----------
    view : FleetView
        Entries and heartbeats received so far.
    zone : str
        Zone of this router.
    own_address : Address
        Address at which other routers reach this one.
    seeds : iterable of Address
        Routers to contact while they are not known to be live.
    random : Random
        Source of randomness.
    """

    __slots__ = (
        "_direct_datagrams",
        "_push_queue",
        "_topology",
        "_view",
        "_zone",
        "targets",
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
        self._push_queue = PushQueue()
        self._direct_datagrams: list[OutgoingDatagram] = []
        self._topology = Topology(view, zone)
        self.targets = GossipTargets(
            view, self._topology, zone, own_address, seeds, random
        )

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """Add routers to contact while they are not known to be live."""
        self.targets.add_seeds(seeds)

    def members(self) -> dict[str, Member]:
        """Return all known routers, live or not."""
        return self._topology.members()

    def live_members(self) -> dict[str, Member]:
        """Return the live routers, including this one."""
        return dict(self._topology.live_members())

    def is_live(self, name: str) -> bool:
        """Return whether a router is live, by the timeout for its zone."""
        return self._topology.is_live(name)

    def publish(self, topic: Topic, value: bytes) -> bool:
        """Set this router's value and queue it to be pushed; return whether it changed.

        An unchanged value is not queued.
        """
        entry = self._view.publish(topic, value)
        if entry is None:
            return False
        self._apply_entry(entry)
        return True

    def send_to(self, names: Iterable[str], topic: Topic, value: bytes) -> None:
        """Set this router's value and send it to some routers only.

        The datagrams are part of the next `push`, even if the value did not change.
        """
        self._view.publish(topic, value)
        self.relay(names, self._view.own_entry(topic))

    def send_value(self, names: Iterable[str], topic: Topic, value: bytes) -> Entry:
        """Send a value to some routers only, as a new entry even if it is unchanged."""
        entry = self._view.renew(topic, value)
        self.relay(names, entry)
        return entry

    def relay(self, names: Iterable[str], entry: Entry) -> None:
        """Send an entry, possibly of another router, to some routers only."""
        gossip = Gossip(self._view.name, self._zone, (entry,), (), LAST_STEP)
        members = self.members()
        self._direct_datagrams += [
            OutgoingDatagram(members[name].peer, gossip)
            for name in names
            if name in members
        ]

    def direct_datagrams(self) -> list[OutgoingDatagram]:
        """Return the datagrams with direct values that were not returned before."""
        datagrams, self._direct_datagrams = self._direct_datagrams, []
        return datagrams

    def expire_members(self) -> None:
        """Remove routers without a heartbeat for `EXPIRY_TIME`, see `FleetView`."""
        self._view.expire()
        self._topology.remove_expired()

    def push(self) -> list[OutgoingDatagram]:
        """Return the datagrams with direct values and with queued entries."""
        return self.direct_datagrams() + self._push_entries()

    def _push_entries(self) -> list[OutgoingDatagram]:
        entries = self._push_queue.next_batch()
        if not entries:
            return []
        zone_targets, remote_targets = self.targets.for_push()
        outgoing = [
            self._make_datagram(target, entries, (), LAST_STEP)
            for target in zone_targets
        ]
        cross_zone_entries = [entry for entry in entries if self._crosses_zones(entry)]
        if cross_zone_entries:
            outgoing += [
                self._make_datagram(target, cross_zone_entries, (), LAST_STEP)
                for target in remote_targets
            ]
        return outgoing

    def exchange(self) -> list[OutgoingDatagram]:
        """Advance the heartbeat; return the datagrams that start digest exchanges."""
        self._view.advance_heartbeat()
        targets = self.targets.for_exchange()
        digests = self._digests(self.targets.names_across_zones())
        outgoing = [self._make_datagram(target, (), digests, 0) for target in targets]
        # Other zones need this zone's own routers only; each zone sends its own.
        digests = self._digests(self.targets.names_in_zone())
        for target in self.targets.for_exchange_across_zones():
            outgoing.append(self._make_datagram(target, (), digests, 0))
        return outgoing

    def receive(
        self, gossip: Gossip, sender: Address
    ) -> tuple[list[Entry], list[OutgoingDatagram]]:
        """Process a received datagram.

        Returns
        -------
        new_entries : list of Entry
            Entries that were not known before.
        replies : list of OutgoingDatagram
            Entries that the sender is missing, and digests of those missing here.
        """
        new_entries = [entry for entry in gossip.entries if self._view.merge(entry)]
        for entry in new_entries:
            self._apply_entry(entry)
            self._topology.forget_features(entry.origin)
        for digest in gossip.digests:
            self._view.merge_digest(digest)
            self._topology.forget_features(digest.origin)
        if gossip.step >= LAST_STEP:
            return new_entries, []
        reply = self._make_reply(gossip, sender)
        return new_entries, (
            [reply] if reply.gossip.entries or reply.gossip.digests else []
        )

    def _make_reply(self, gossip: Gossip, sender: Address) -> OutgoingDatagram:
        step = gossip.step + 1
        entries = self._entries_newer_than(gossip.digests)
        reply_digests: list[Digest] = []
        if step < LAST_STEP:
            reply_digests = [
                self._local_digest(digest)
                for digest in gossip.digests
                if self._view.is_behind(digest)
            ]
        if step == 1:
            # The sender may be probing this router, which it considers unreachable.
            reply_digests.append(self._view.digest(self._view.name))
            reply_digests += self._digests_missing_from(gossip)
        return self._make_datagram(sender, entries, reply_digests, step)

    def _entries_newer_than(self, digests: Iterable[Digest]) -> list[Entry]:
        entries: list[Entry] = []
        size_bytes = 0
        for digest in digests:
            for entry in self._view.entries_newer_than(digest):
                size_bytes += len(entry.value)
                if size_bytes <= MAX_ENTRY_BYTES_PER_DATAGRAM:
                    entries.append(entry)
        return entries

    def _digests_missing_from(self, gossip: Gossip) -> list[Digest]:
        """Return digests of the routers that a datagram, if complete, does not list.

        A new router lists few others and receives the rest from these.
        """
        if len(gossip.digests) >= MAX_DIGESTS_PER_DATAGRAM:
            return []
        seen = {digest.origin for digest in gossip.digests}
        names = [name for name in self._view.names if name not in seen]
        return [self._view.digest(name) for name in names[:MAX_DIGESTS_PER_DATAGRAM]]

    def _local_digest(self, digest: Digest) -> Digest:
        """Return the local digest of the same origin, empty if it is unknown."""
        if digest.origin in self._view.names:
            return self._view.digest(digest.origin)
        return Digest(digest.origin, 0, 0, digest.age, ())

    def _apply_entry(self, entry: Entry) -> None:
        """Queue an entry to be pushed and update the members."""
        self._push_queue.add(entry, len(self.members()))
        if entry.topic is Topic.MEMBER:
            try:
                self._topology.update_member(entry.origin, decode_member(entry.value))
            except WireError as error:
                log_event("member_unreadable", origin=entry.origin, error=error.message)

    def _crosses_zones(self, entry: Entry) -> bool:
        """Return whether a bridge pushes an entry to other zones."""
        if entry.topic is Topic.LOADS:
            return False
        if entry.topic is not Topic.ZONE_EVIDENCE:
            return True
        writer = self.members().get(entry.origin)
        return writer is not None and writer.zone == self._zone

    def _digests(self, names: Iterable[str]) -> list[Digest]:
        return [self._view.digest(name) for name in names]

    def _make_datagram(
        self,
        address: Address,
        entries: Iterable[Entry],
        digests: Iterable[Digest],
        step: int,
    ) -> OutgoingDatagram:
        gossip = Gossip(
            self._view.name, self._zone, tuple(entries), tuple(digests), step
        )
        return OutgoingDatagram(address, gossip)
