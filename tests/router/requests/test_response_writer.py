"""How a response ends, for each outcome, before and after its start."""

from __future__ import annotations

import pytest
from twisted.internet.testing import StringTransport
from twisted.web.http import HTTPChannel

from banyansail.router.requests.refusals import router_failed
from banyansail.router.requests.response_outcome import (
    Answer,
    StreamCompleted,
    StreamInterrupted,
)
from banyansail.router.requests.response_writer import ResponseWriter
from banyansail.routing.request_types import RunStatus
from tests.router.scripted_upstream import DONE, LAST_CHUNK

ANSWER = Answer(404, "text/plain", b"not here")
REFUSAL = router_failed(RunStatus.UNKNOWN)
EVENT = b"id: 0\ndata: x\n\n"


class Connection:
    """A caller's connection with one request that waits for its response."""

    def __init__(self, version: str = "1.1") -> None:
        self.transport = StringTransport()
        self.writer: ResponseWriter | None = None
        channel = HTTPChannel()
        channel.requestFactory = self._build_request
        channel.makeConnection(self.transport)
        channel.dataReceived(f"GET / HTTP/{version}\r\nhost: x\r\n\r\n".encode())

    def _build_request(self, channel: HTTPChannel, queued: bool) -> object:
        request = HTTPChannel.requestFactory(channel, queued)
        request.process = lambda: None
        self.writer = ResponseWriter(request, "r1")
        return request

    def start(self) -> None:
        self.writer.start_stream()
        self.writer.write(EVENT)

    def sent(self) -> bytes:
        return self.transport.value()


@pytest.fixture
def connection():
    return Connection()


@pytest.mark.parametrize("outcome", [ANSWER, REFUSAL, StreamInterrupted()])
def test_no_other_outcome_ends_a_started_stream_as_complete(connection, outcome):
    connection.start()
    connection.writer.end(outcome)
    sent = connection.sent()
    assert b"[DONE]" not in sent
    assert b"event: error\n" in sent or not sent.endswith(LAST_CHUNK)
    assert b"not here" not in sent


def test_a_completed_stream_ends_with_its_marker_and_last_chunk(connection):
    connection.start()
    connection.writer.end(StreamCompleted())
    head, _, body = connection.sent().partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert DONE in body
    assert body.endswith(LAST_CHUNK)


def test_an_interrupted_stream_has_a_head_but_no_last_chunk(connection):
    connection.writer.end(StreamInterrupted())
    head, _, body = connection.sent().partition(b"\r\n\r\n")
    assert b"text/event-stream" in head
    assert body == b""
    assert connection.transport.disconnecting


@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_an_interrupted_stream_without_chunks_is_reset(version):
    connection = Connection(version)
    connection.start()
    connection.writer.end(StreamInterrupted())
    assert connection.transport.disconnected == (version == "1.0")


@pytest.mark.parametrize("outcome", [ANSWER, REFUSAL])
def test_an_answer_or_refusal_before_the_start_has_a_length(connection, outcome):
    connection.writer.end(outcome)
    head, _, body = connection.sent().partition(b"\r\n\r\n")
    assert f"Content-Length: {len(body)}".encode() in head
    assert head.startswith(b"HTTP/1.1 %d" % outcome.status)


@pytest.mark.parametrize(
    "outcome", [ANSWER, REFUSAL, StreamCompleted(), StreamInterrupted()]
)
def test_nothing_follows_the_end_of_a_response(connection, outcome):
    connection.start()
    connection.writer.end(REFUSAL)
    sent = connection.sent()
    connection.writer.write(EVENT)
    connection.writer.end(outcome)
    assert connection.sent() == sent
