"""Bounds of requests, and what becomes of those that exceed them."""

from __future__ import annotations

import pytest
from twisted.internet.testing import StringTransport
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from banyansail.router.callers.http_server import MAX_BODY_BYTES, BoundedSite
from tests.router.scripted_upstream import LAST_CHUNK, chunk

CHUNKED_HEAD = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"


class BodyRecorder(Resource):
    """Resource that keeps the size of each body and answers nothing."""

    isLeaf = True

    def __init__(self) -> None:
        super().__init__()
        self.sizes: list[int] = []

    def render(self, request):
        self.sizes.append(len(request.content.read()))
        return NOT_DONE_YET


@pytest.fixture
def recorder():
    return BodyRecorder()


@pytest.fixture
def transport():
    return StringTransport()


@pytest.fixture
def connection(recorder, transport):
    protocol = BoundedSite(recorder, 1).buildProtocol(None)
    protocol.makeConnection(transport)
    protocol.dataReceived(CHUNKED_HEAD + chunk(b"x" * (MAX_BODY_BYTES - 1)))
    return protocol


@pytest.mark.parametrize("rest", [[b"yz"], [b"yz", b"y"], [b"yz", b"yz"]])
def test_a_body_that_becomes_too_large_is_not_processed_without_the_rest(
    connection, transport, recorder, rest
):
    connection.dataReceived(b"".join(map(chunk, rest)) + LAST_CHUNK)
    assert recorder.sizes == []
    assert transport.value().count(b"HTTP/1.1 413") == 1
    assert transport.disconnecting


def test_a_body_of_the_largest_size_is_processed(connection, recorder):
    connection.dataReceived(chunk(b"y") + LAST_CHUNK)
    assert recorder.sizes == [MAX_BODY_BYTES]
