"""Invalid, forged and malformed datagrams."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.testing import StringTransport

from banyansail.config.fields import Address
from banyansail.exceptions import WireError
from banyansail.fleet.datagrams import GossipProtocol
from banyansail.fleet.entries import LAST_STEP, Entry, Gossip, Topic
from banyansail.fleet.gossiper import Gossiper
from banyansail.fleet.peer_calls import PeerServerProtocol
from banyansail.fleet.peer_frames import NONCE_BYTES
from banyansail.fleet.view import FleetView
from banyansail.metrics import Metrics
from banyansail.wire.call_codec import decode_call, decode_reply, encode_call
from banyansail.wire.call_types import FetchDocument
from banyansail.wire.gossip_codec import decode_gossip, encode_gossip
from banyansail.wire.message_auth import MessageAuthenticator
from tests.fakes import FakeClock

KEY = "the key of the fleet"


def protocol() -> GossipProtocol:
    view = FleetView("r0", 1, FakeClock())
    own = Address("127.0.0.1", 1)
    gossiper = Gossiper(view, "z0", own, [Address("127.0.0.1", 2)], Random(1))
    return GossipProtocol(
        gossiper, MessageAuthenticator(KEY), Metrics(None), lambda entries: None
    )


def valid_datagram() -> bytes:
    view = FleetView("r1", 1, FakeClock())
    own, seed = Address("127.0.0.1", 2), Address("127.0.0.1", 1)
    gossiper = Gossiper(view, "z0", own, [seed], Random(1))
    return encode_gossip(gossiper.exchange()[0].gossip)


def test_datagram_with_another_key_is_dropped_and_counted():
    receiver = protocol()
    data = valid_datagram()
    receiver.datagramReceived(
        MessageAuthenticator("another key").sign(data), ("127.0.0.1", 2)
    )
    assert receiver.dropped == 1
    receiver.datagramReceived(MessageAuthenticator(KEY).sign(data), ("127.0.0.1", 2))
    assert receiver.dropped == 1


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=400))
def test_random_bytes_are_dropped(data):
    receiver = protocol()
    receiver.datagramReceived(data, ("127.0.0.1", 2))
    assert receiver.dropped == 1


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=400))
def test_authenticated_random_bytes_raise_no_error(data):
    """A sender with the shared key that sends malformed payloads is harmless too."""
    receiver = protocol()
    receiver.datagramReceived(MessageAuthenticator(KEY).sign(data), ("127.0.0.1", 2))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(0, 10_000), st.integers(0, 255))
def test_changed_byte_fails_authentication(position, value):
    signed = bytearray(MessageAuthenticator(KEY).sign(valid_datagram()))
    position %= len(signed)
    if signed[position] == value:
        return
    signed[position] = value
    with pytest.raises(WireError):
        MessageAuthenticator(KEY).verify(bytes(signed))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_decoders_raise_only_wire_errors(data):
    for decode in (decode_gossip, decode_call, decode_reply):
        try:
            decode(data)
        except WireError:
            pass


def test_an_unexpected_error_in_a_peer_call_is_logged(monkeypatch):
    logged = []
    monkeypatch.setattr(
        "banyansail.fleet.peer_calls.log_event",
        lambda event, **fields: logged.append((event, fields["error"])),
    )

    async def handle(call):
        raise KeyError("unexpected")

    server = PeerServerProtocol(MessageAuthenticator("0123456789abcdef"), handle)
    server.frame_received(encode_call(1, FetchDocument("config", 0)))
    ((event, error),) = logged
    assert event == "peer_call_failed"
    assert "KeyError" in error


def test_an_unreadable_member_is_logged(monkeypatch):
    """Guards against a router that stays unknown without a reason in the log."""
    logged = []
    monkeypatch.setattr(
        "banyansail.fleet.gossiper.log_event",
        lambda event, **fields: logged.append((event, fields["origin"])),
    )
    entry = Entry("r1", 1, Topic.MEMBER, 1, b"not a member")
    gossip = Gossip("r1", "z0", (entry,), (), LAST_STEP)
    gossiper = Gossiper(
        FleetView("r0", 1, FakeClock()), "z0", Address("127.0.0.1", 1), [], Random(1)
    )
    gossiper.receive(gossip, Address("127.0.0.1", 2))
    assert logged == [("member_unreadable", "r1")]
    assert "r1" not in gossiper.members()


class _AbortableTransport(StringTransport):
    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass


def test_a_frame_that_ends_its_connection_is_logged(monkeypatch):
    """Guards against connections between routers that end without a reason."""
    logged = []
    monkeypatch.setattr(
        "banyansail.fleet.peer_frames.log_event",
        lambda event, **fields: logged.append(event),
    )
    server = PeerServerProtocol(MessageAuthenticator(KEY), None)
    transport = _AbortableTransport()
    server.makeConnection(transport)
    server.stringReceived(bytes(NONCE_BYTES))
    server.stringReceived(b"a frame without a code")
    assert transport.disconnected or transport.disconnecting
    assert logged == ["peer_frame_invalid"]
