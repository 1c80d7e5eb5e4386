"""Gossip over UDP: sealed datagrams in and out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.protocol import DatagramProtocol

from banyansail.config.fields import Address
from banyansail.exceptions import WireError
from banyansail.wire.gossip_codec import decode_gossip, encode_gossip

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.fleet.entries import Entry
    from banyansail.fleet.gossiper import Gossiper, Outgoing
    from banyansail.metrics import Metrics
    from banyansail.wire.message_auth import MessageAuthenticator

MAX_DATAGRAM_BYTES = 60 * 1024


class GossipProtocol(DatagramProtocol):
    """Socket of the gossip.

    Parameters
    ----------
    gossiper : Gossiper
        Decides what is sent.
    authenticator : MessageAuthenticator
        Authenticates datagrams.
    metrics : Metrics
        Receives counts of bytes and of datagrams that were dropped.
    on_news : callable
        Called with the entries that were not known.
    """

    def __init__(
        self,
        gossiper: Gossiper,
        authenticator: MessageAuthenticator,
        metrics: Metrics,
        on_news: Callable[[list[Entry]], None],
    ) -> None:
        self._gossiper = gossiper
        self._authenticator = authenticator
        self._metrics = metrics
        self._on_news = on_news
        self.bytes_sent = 0
        self.bytes_received = 0
        self.datagrams_sent = 0
        self.dropped = 0

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Take in a datagram; one that fails the check is counted and dropped."""
        self.bytes_received += len(datagram)
        try:
            gossip = decode_gossip(self._authenticator.verify(datagram))
        except WireError:
            self.dropped += 1
            self._metrics.count("gossip.dropped")
            return
        news, replies = self._gossiper.receive(gossip, Address(*addr[:2]))
        self.send(replies)
        if news:
            self._on_news(news)

    def send(self, outgoing: list[Outgoing]) -> None:
        """Send datagrams."""
        if self.transport is None:
            return
        for item in outgoing:
            data = self._authenticator.sign(encode_gossip(item.gossip))
            if len(data) > MAX_DATAGRAM_BYTES:
                self._metrics.count("gossip.too_large")
                continue
            self.bytes_sent += len(data)
            self.datagrams_sent += 1
            try:
                self.transport.write(data, (item.address.host, item.address.port))
            except OSError:
                self._metrics.count("gossip.unsent")
