"""Simulated network of gossipers that drops, duplicates and reorders datagrams."""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, datetime
from random import Random

from banyansail.config.fields import Address
from banyansail.fleet.entries import Member, Topic
from banyansail.fleet.gossiper import Gossiper, OutgoingDatagram
from banyansail.fleet.view import FleetView
from banyansail.wire.gossip_codec import decode_gossip, encode_gossip, encode_member
from tests.fakes import FakeClock

TICK_S = 0.2
MAX_HOPS = 4


class Node:
    """View and gossiper of one router."""

    def __init__(
        self, network: Network, name: str, zone: str, incarnation: int
    ) -> None:
        self.name = name
        self.zone = zone
        self.address = Address("127.0.0.1", 1000 + len(network.node_by_name))
        if name in network.node_by_name:
            self.address = network.node_by_name[name].address
        self.view = FleetView(name, incarnation, network.clock)
        seeds = [node.address for node in network.node_by_name.values()][:3]
        self.gossiper = Gossiper(self.view, zone, self.address, seeds, network.random)
        self.is_frozen = False
        self.publish_member(0)

    def publish_member(self, version: int) -> None:
        since = datetime.fromtimestamp(0, UTC)
        member = Member(self.zone, "region", self.address, version, since, True, False)
        self.gossiper.publish(Topic.MEMBER, encode_member(member))


class Network:
    """Network that delivers datagrams between nodes in steps of a fake clock."""

    def __init__(self, seed: int, loss: float = 0.0, duplication: float = 0.0) -> None:
        self.random = Random(seed)
        self.clock = FakeClock()
        self.loss = loss
        self.duplication = duplication
        self.node_by_name: dict[str, Node] = {}
        self.is_cut: Callable[[Node, Node], bool] = lambda sender, receiver: False
        self._in_flight: list[tuple[Node, OutgoingDatagram]] = []
        self._ticks = 0
        self.bytes_by_name: dict[str, int] = {}
        self.received_by_name: dict[str, int] = {}
        self.recorded: list[bytes] = []

    def add(self, name: str, zone: str = "z0", incarnation: int = 1) -> Node:
        node = Node(self, name, zone, incarnation)
        self.node_by_name[name] = node
        return node

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.tick()

    def run_until(self, condition: Callable[[], bool], timeout_s: float = 60) -> float:
        """Run until a condition holds; return the elapsed simulated seconds."""
        elapsed_s = 0.0
        while not condition():
            assert elapsed_s < timeout_s, "the condition was not met in time"
            self.tick()
            elapsed_s += TICK_S
        return elapsed_s

    def tick(self) -> None:
        self.clock.advance(TICK_S)
        self._ticks += 1
        for number, node in enumerate(self.node_by_name.values()):
            if node.is_frozen:
                continue
            outgoing = node.gossiper.push()
            if (self._ticks + number) % 5 == 0:
                outgoing += node.gossiper.exchange()
            self._in_flight += [(node, item) for item in outgoing]
        hops = 0
        while self._in_flight:
            hops += 1
            assert hops <= MAX_HOPS, "an exchange did not end"
            self._deliver()

    def _deliver(self) -> None:
        datagrams, self._in_flight = self._in_flight, []
        self.random.shuffle(datagrams)
        node_by_address = {node.address: node for node in self.node_by_name.values()}
        for sender, item in datagrams:
            data = encode_gossip(item.gossip)
            size = len(data)
            self.bytes_by_name[sender.name] = (
                self.bytes_by_name.get(sender.name, 0) + size
            )
            receiver = node_by_address.get(item.address)
            if receiver is None or receiver.is_frozen or self.is_cut(sender, receiver):
                continue
            copies = 2 if self.random.random() < self.duplication else 1
            for _ in range(copies):
                if self.random.random() >= self.loss:
                    self._receive(sender, receiver, data)

    def _receive(self, sender: Node, receiver: Node, data: bytes) -> None:
        self.recorded.append(data)
        received = self.received_by_name.get(receiver.name, 0) + len(data)
        self.received_by_name[receiver.name] = received
        gossip = decode_gossip(data)
        _, replies = receiver.gossiper.receive(gossip, sender.address)
        self._in_flight += [(receiver, reply) for reply in replies]

    def versions_at(self, name: str) -> dict[str, int]:
        members = self.node_by_name[name].gossiper.members()
        return {other: member.rules_version for other, member in members.items()}

    def all_have(self, topic: Topic, origin: str, value: bytes) -> bool:
        return all(
            node.view.values(topic, live_only=False).get(origin) == value
            for node in self.node_by_name.values()
        )
