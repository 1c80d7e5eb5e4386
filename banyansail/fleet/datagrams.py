"""UDP transport of the gossip; each datagram carries an authentication code."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.protocol import DatagramProtocol

from banyansail.config.fields import Address
from banyansail.exceptions import WireError
from banyansail.wire.gossip_codec import decode_gossip, encode_gossip

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.fleet.entries import Entry
    from banyansail.fleet.gossiper import Gossiper, OutgoingDatagram
    from banyansail.metrics import Metrics
    from banyansail.wire.message_auth import MessageAuthenticator

MAX_DATAGRAM_BYTES = 60 * 1024


class GossipProtocol(DatagramProtocol):
    """UDP socket that sends and receives gossip.

    Parameters
    ----------
    gossiper : Gossiper
        Handles received datagrams and decides what to send.
    authenticator : MessageAuthenticator
        Adds and checks the authentication codes of datagrams.
    metrics : Metrics
        Counts dropped, oversized and unsent datagrams.
    on_new_entries : callable
        Called with the received entries that were not known before.
    """

    def __init__(
        self,
        gossiper: Gossiper,
        authenticator: MessageAuthenticator,
        metrics: Metrics,
        on_new_entries: Callable[[list[Entry]], None],
    ) -> None:
        self._gossiper = gossiper
        self._authenticator = authenticator
        self._metrics = metrics
        self._on_new_entries = on_new_entries
        self.bytes_sent = 0
        self.bytes_received = 0
        self.datagrams_sent = 0
        self.dropped = 0
        self.unknown_entries = 0  # of topics that only a newer build knows

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Process a datagram; count and drop one that is invalid.

        Entries of unknown topics are counted and skipped.
        """
        self.bytes_received += len(datagram)
        try:
            gossip = decode_gossip(self._authenticator.verify(datagram))
        except WireError:
            self.dropped += 1
            self._metrics.count("gossip.dropped")
            return
        if gossip.unknown_entries:
            self.unknown_entries += gossip.unknown_entries
            self._metrics.count("gossip.unknown_topic", gossip.unknown_entries)
        new_entries, replies = self._gossiper.receive(gossip, Address(*addr[:2]))
        self.send(replies)
        if new_entries:
            self._on_new_entries(new_entries)

    def send(self, outgoing: list[OutgoingDatagram]) -> None:
        """Send datagrams; count and skip those that are too large or fail."""
        if self.transport is None:
            return
        gossip, data = None, b""
        for item in outgoing:
            if item.gossip is not gossip:  # consecutive datagrams often have the same
                gossip = item.gossip
                data = self._authenticator.sign(encode_gossip(gossip))
            if len(data) > MAX_DATAGRAM_BYTES:
                self._metrics.count("gossip.too_large")
                continue
            self.bytes_sent += len(data)
            self.datagrams_sent += 1
            try:
                self.transport.write(data, (item.address.host, item.address.port))
            except OSError:
                self._metrics.count("gossip.unsent")
