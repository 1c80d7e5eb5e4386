"""Recorded messages of earlier builds, which the present one decodes and answers."""

from __future__ import annotations

from random import Random

import pytest

from banyansail.config.fields import Address
from banyansail.fleet.datagrams import GossipProtocol
from banyansail.fleet.entries import NO_FEATURES, Topic
from banyansail.fleet.gossiper import Gossiper
from banyansail.fleet.peer_calls import PeerServerProtocol
from banyansail.fleet.view import FleetView
from banyansail.ledger.records import Started
from banyansail.metrics import Metrics
from banyansail.router.control.peer_service import PeerService
from banyansail.wire.call_codec import decode_reply
from banyansail.wire.call_types import Document
from banyansail.wire.gossip_codec import decode_member
from banyansail.wire.message_auth import MessageAuthenticator
from tests.builds import MissingBuildError, production_commit
from tests.fakes import FakeClock
from tests.gateway.live_gateway import LiveGateway
from tests.live import in_reactor
from tests.wire.record_messages import RECORDED, record
from tests.wire.samples import CALLS, DATAGRAM, REPLIES, all_samples

FOLDERS = sorted(path for path in RECORDED.iterdir() if path.is_dir())
REPLIES_OF_FIRST_BUILD = tuple(type(reply) for reply in REPLIES.values())


@pytest.fixture(params=FOLDERS, ids=lambda path: path.name)
def folder(request):
    return request.param


def test_the_messages_of_the_production_build_are_recorded():
    assert production_commit() in [path.name for path in FOLDERS]


@pytest.mark.parametrize("sample", all_samples(), ids=lambda sample: sample.file)
def test_a_recorded_message_is_decoded(folder, sample):
    """Guards against a field whose meaning or number changed."""
    assert sample.decode((folder / sample.file).read_bytes()) == sample.content


def test_each_recorded_message_has_a_sample(folder):
    files = {sample.file for sample in all_samples()}
    assert {path.name for path in folder.iterdir()} == files


def test_recorded_bytes_are_those_of_the_commit(folder, tmp_path):
    try:
        record(folder.name, tmp_path)
    except MissingBuildError as error:
        pytest.skip(f"the history has no such build: {error}")
    for path in folder.iterdir():
        assert (tmp_path / path.name).read_bytes() == path.read_bytes(), path.name


def test_an_older_build_has_no_features(folder):
    data = (folder / "value-member.bin").read_bytes()
    assert decode_member(data).features == NO_FEATURES


def test_a_recorded_datagram_is_applied_and_answered(folder):
    view = FleetView("r0", 1, FakeClock())
    own, sender = Address("127.0.0.1", 1), ("127.0.0.1", 2)
    gossiper = Gossiper(view, "glasgow", own, [], Random(1))
    authenticator = MessageAuthenticator("the key of the fleet")
    applied, sent = [], []
    protocol = GossipProtocol(gossiper, authenticator, Metrics(None), applied.extend)
    protocol.send = sent.extend
    data = (folder / "datagram.bin").read_bytes()
    protocol.datagramReceived(authenticator.sign(data), sender)
    assert [entry.topic for entry in applied] == list(Topic)[: len(DATAGRAM.entries)]
    assert gossiper.is_live("front-1")
    ((reply,),) = [sent]
    assert "r0" in [digest.origin for digest in reply.gossip.digests]


def answers_to(folder, handle):
    """Return the replies to all recorded calls, which the server sends in frames."""
    server = PeerServerProtocol(MessageAuthenticator("the key of the fleet"), handle)
    server.connected = True
    frames = []
    server.send_frame = frames.append
    for name in CALLS:
        server.frame_received((folder / f"call-{name}.bin").read_bytes())
    return [decode_reply(frame) for frame in frames]


class _Ledger:
    async def commit(self, operation):
        return Started()


class _Rules:
    class rules:  # noqa: N801
        version = 9
        text = "rules"


class _Streams:
    def store(self, record):
        self.record = record

    def get(self, request_id):
        return self.record


def test_recorded_calls_are_answered_by_our_own_routers(folder):
    """Each reply is one that the older build decodes, in the order of the calls."""
    service = PeerService()
    service.connect(_Ledger(), _Rules(), None, _Streams())
    replies = answers_to(folder, service.handle)
    assert [number for number, _ in replies] == list(range(1, len(CALLS) + 1))
    assert all(isinstance(reply, REPLIES_OF_FIRST_BUILD) for _, reply in replies)
    assert replies[0] == (1, Started())
    assert replies[5] == (6, CALLS["keep-stream"].record)


def test_recorded_calls_are_answered_by_gateways(folder):
    with LiveGateway(replicas=("d1",)) as live:
        handle = live.gateway.peer_messages.answer
        replies = in_reactor(lambda: answers_to(folder, handle))
    assert all(isinstance(reply, REPLIES_OF_FIRST_BUILD) for _, reply in replies)
    documents = [reply for _, reply in replies if isinstance(reply, Document)]
    assert [document.version for document in documents] == [1]
