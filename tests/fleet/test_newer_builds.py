"""Messages of a newer build, given to each function that receives them."""

from __future__ import annotations

from datetime import UTC, datetime
from random import Random

import pytest
from twisted.internet.task import Clock as ReactorClock
from twisted.internet.testing import StringTransport

from banyansail.config.fields import Address
from banyansail.fleet.datagrams import GossipProtocol
from banyansail.fleet.entries import LAST_STEP, Digest, Feature, Gossip, Member, Topic
from banyansail.fleet.gossiper import Gossiper
from banyansail.fleet.peer_calls import PeerServerProtocol, _PeerClientProtocol
from banyansail.fleet.view import FleetView
from banyansail.wire.call_codec import decode_reply, encode_call, encode_reply
from banyansail.wire.call_types import EmptyReply, FetchDocument, NotSupported
from banyansail.wire.gossip_codec import decode_gossip, encode_gossip, encode_member
from banyansail.wire.message_auth import MessageAuthenticator
from tests.fakes import FakeClock
from tests.wire.future import future, future_call, future_reply, with_future_field

KEY = "the key of the fleet"
PEER = Address("127.0.0.1", 2)
UNKNOWN_TOPIC = 4000


class _Transport(StringTransport):
    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass


class _Connection:
    """Both ends of a connection between routers, in memory."""

    def __init__(self, handle) -> None:
        authenticator = MessageAuthenticator(KEY)
        self.server = PeerServerProtocol(authenticator, handle)
        self.client = _PeerClientProtocol(ReactorClock(), authenticator)
        self.pipe_by_end = {
            self.server: _Transport(),
            self.client: _Transport(),
        }
        for end, transport in self.pipe_by_end.items():
            end.makeConnection(transport)
        self.deliver()

    def deliver(self) -> None:
        """Pass on what was sent, until neither end sends more."""
        while any(transport.value() for transport in self.pipe_by_end.values()):
            for sender, receiver in (
                (self.client, self.server),
                (self.server, self.client),
            ):
                data = self.pipe_by_end[sender].value()
                self.pipe_by_end[sender].clear()
                receiver.dataReceived(data)

    @property
    def is_open(self) -> bool:
        return not any(
            transport.disconnecting or transport.disconnected
            for transport in self.pipe_by_end.values()
        )


async def answer_nothing(call):
    return EmptyReply()


def test_an_unknown_call_is_answered_and_closes_no_connection():
    """Guards against calls in progress that are lost with the connection."""
    connection = _Connection(answer_nothing)
    replies = []
    connection.client.call(FetchDocument("config", 0)).addCallback(replies.append)
    connection.client.send_frame(future_call(7))
    frames = []
    connection.client.frame_received = lambda frame: frames.append(decode_reply(frame))
    connection.deliver()
    assert frames == [(1, EmptyReply()), (7, NotSupported())]
    assert connection.is_open


def test_an_unknown_reply_is_treated_as_not_supported():
    connection = _Connection(answer_nothing)
    replies = []
    connection.client.call(FetchDocument("config", 0)).addCallback(replies.append)
    connection.server.frame_received = lambda frame: connection.server.send_frame(
        future_reply(1)
    )
    connection.deliver()
    assert replies == [NotSupported()]
    assert connection.is_open


def test_a_reply_with_unknown_fields_is_read():
    _, reply = decode_reply(_future_document())
    assert (reply.version, reply.text) == (3, "text")


def _future_document() -> bytes:
    document = {"version": 3, "text": "text", "fromTheFuture": "x"}
    return future.Reply.new_message(id=1, document=document).to_bytes_packed()


def test_replies_to_calls_of_older_builds_are_ones_that_they_know():
    """An older build closes the connection if it can't decode a reply."""
    connection = _Connection(answer_nothing)
    seen = []
    connection.client.frame_received = lambda frame: seen.append(decode_reply(frame)[1])
    connection.client.send_frame(encode_call(1, FetchDocument("of no router", 0)))
    connection.deliver()
    assert seen == [EmptyReply()]


class _CountingMetrics:
    def __init__(self) -> None:
        self.counts: dict[str, int] = {}

    def count(self, name, amount=1):
        self.counts[name] = self.counts.get(name, 0) + amount


class _Receiver:
    """Router that receives datagrams."""

    def __init__(self) -> None:
        self.view = FleetView("r0", 1, FakeClock())
        own = Address("127.0.0.1", 1)
        self.gossiper = Gossiper(self.view, "z0", own, [PEER], Random(1))
        self.metrics = _CountingMetrics()
        self.applied = []
        self.protocol = GossipProtocol(
            self.gossiper, MessageAuthenticator(KEY), self.metrics, self.applied.extend
        )

    def receive(self, data: bytes) -> None:
        signed = MessageAuthenticator(KEY).sign(data)
        self.protocol.datagramReceived(signed, (PEER.host, PEER.port))


def member(features: Feature = Feature(0)) -> Member:
    since = datetime.fromtimestamp(0, UTC)
    return Member("z0", "r", PEER, 1, since, True, False, features=features)


def datagram(*entries, incarnation=1, digests=()):
    listed = [
        {
            "origin": "r1",
            "incarnation": incarnation,
            "topic": topic,
            "sequence": sequence,
            "value": value,
        }
        for sequence, (topic, value) in enumerate(entries, 1)
    ]
    message = future.Datagram.new_message(
        origin="r1", zone="z0", entries=listed, digests=list(digests), step=LAST_STEP
    )
    message.fromTheFuture = "x"
    return message.to_bytes_packed()


def test_an_entry_of_an_unknown_topic_is_skipped_and_the_others_are_applied():
    """Guards against a datagram that is dropped as a whole."""
    receiver = _Receiver()
    value = encode_member(member())
    receiver.receive(datagram((UNKNOWN_TOPIC, b"x"), (int(Topic.MEMBER), value)))
    assert [entry.topic for entry in receiver.applied] == [Topic.MEMBER]
    assert "r1" in receiver.gossiper.members()
    assert receiver.metrics.counts == {"gossip.unknown_topic": 1}


def test_an_entry_of_an_unknown_topic_is_neither_stored_nor_forwarded():
    receiver = _Receiver()
    value = encode_member(member())
    receiver.receive(datagram((int(Topic.MEMBER), value), (UNKNOWN_TOPIC, b"x")))
    digest = Digest("r1", 0, 0, FakeClock().monotonic(), ())
    known = receiver.view.entries_newer_than(digest)
    assert [entry.topic for entry in known] == [Topic.MEMBER]
    pushed = [
        entry.topic
        for outgoing in receiver.gossiper.push()
        for entry in outgoing.gossip.entries
    ]
    assert set(pushed) <= {Topic.MEMBER}


def test_digests_beside_an_unknown_topic_are_applied():
    receiver = _Receiver()
    digest = {"origin": "r1", "incarnation": 1, "heartbeat": 5, "ageMs": 0}
    digest["sequences"] = [0] * 60  # of topics that a newer build compares
    receiver.receive(datagram((UNKNOWN_TOPIC, b"x"), digests=[digest]))
    assert receiver.view.digest("r1").heartbeat == 5


@pytest.mark.parametrize(
    "value",
    [
        with_future_field("Member", encode_member(member())),
        future.Member.new_message(rulesSinceMs=2**64 - 1).to_bytes_packed(),
        b"\x01\xff\xff",
    ],
)
def test_no_value_of_a_member_stops_the_entries_after_it(value):
    """Guards against a time beyond the calendar, which was no `WireError`."""
    receiver = _Receiver()
    receiver.receive(datagram((int(Topic.MEMBER), value), (int(Topic.DEATHS), b"")))
    assert [entry.topic for entry in receiver.applied] == [Topic.MEMBER, Topic.DEATHS]


def test_features_are_those_of_the_running_incarnation():
    """An older build that replaces a newer one must get no newer calls."""
    receiver = _Receiver()
    newer = encode_member(member(Feature.REACH_INCARNATION))
    receiver.receive(datagram((int(Topic.MEMBER), newer)))
    assert Feature.REACH_INCARNATION in receiver.gossiper.members()["r1"].features
    digest = {"origin": "r1", "incarnation": 2, "heartbeat": 1, "ageMs": 0}
    receiver.receive(datagram(digests=[digest]))
    assert receiver.gossiper.members()["r1"].features == Feature(0)
    older = encode_member(member())
    receiver.receive(datagram((int(Topic.MEMBER), older), incarnation=2))
    assert receiver.gossiper.members()["r1"].features == Feature(0)


def test_features_are_unknown_until_the_member_entry_of_the_incarnation_arrives():
    receiver = _Receiver()
    newer = encode_member(member(Feature.REACH_INCARNATION))
    receiver.receive(datagram((int(Topic.MEMBER), newer)))
    receiver.receive(datagram((int(Topic.DEATHS), b""), incarnation=2))
    assert receiver.gossiper.members()["r1"].features == Feature(0)
    receiver.receive(datagram((int(Topic.MEMBER), newer), incarnation=2))
    assert Feature.REACH_INCARNATION in receiver.gossiper.members()["r1"].features


def test_features_of_a_newer_build_are_kept():
    value = encode_member(member(Feature(1 << 63) | Feature.REACH_INCARNATION))
    receiver = _Receiver()
    receiver.receive(datagram((int(Topic.MEMBER), value)))
    assert receiver.gossiper.members()["r1"].features == Feature(1 << 63 | 4)


def test_known_entries_are_encoded_as_they_were_received():
    receiver = _Receiver()
    value = with_future_field("Member", encode_member(member()))
    receiver.receive(datagram((int(Topic.MEMBER), value)))
    entries = receiver.view.entries(Topic.MEMBER)
    gossip = Gossip("r0", "z0", tuple(entries), (), LAST_STEP)
    (entry,) = decode_gossip(encode_gossip(gossip)).entries
    assert entry.value == value


def test_a_reply_of_not_supported_is_encoded():
    assert decode_reply(encode_reply(4, NotSupported())) == (4, NotSupported())
