"""Bounds of callers' requests, and what becomes of those that exceed them."""

from __future__ import annotations

import socket
from dataclasses import replace

import pytest
from twisted.internet import task
from twisted.internet.testing import StringTransport

from banyansail.gateway.callers.http_server import GatewayFactory

MAX_BODY_BYTES = 1000
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


class SocketTransport(StringTransport):
    """Transport with the socket options that a connection of a caller sets."""

    def __init__(self):
        super().__init__()
        self.socket = socket.socket()

    def setTcpNoDelay(self, enabled):  # noqa: N802, as Twisted calls it
        pass

    def setTcpKeepAlive(self, enabled):  # noqa: N802, as Twisted calls it
        pass

    def getHandle(self):  # noqa: N802, as Twisted calls it
        return self.socket


@pytest.fixture
def transport():
    transport = SocketTransport()
    with transport.socket:
        yield transport


@pytest.fixture
def sizes():
    return []


@pytest.fixture
def connection(transport, sizes):
    factory = GatewayFactory(
        task.Clock(), lambda request: sizes.append(len(request.content.getvalue()))
    )
    factory.limits = replace(factory.limits, max_body_bytes=MAX_BODY_BYTES)
    protocol = factory.buildProtocol(None)
    protocol.callLater = task.Clock().callLater
    protocol.makeConnection(transport)
    protocol.dataReceived(CHUNKED_HEAD + chunk(b"x" * (MAX_BODY_BYTES - 1)))
    return protocol


@pytest.mark.parametrize("rest", [[b"yz"], [b"yz", b"y"], [b"yz", b"yz"]])
def test_a_body_that_becomes_too_large_is_not_served_without_the_rest(
    connection, transport, sizes, rest
):
    connection.dataReceived(b"".join(map(chunk, rest)) + LAST_CHUNK)
    assert sizes == []
    assert transport.value().count(b"HTTP/1.1 413") == 1
    assert transport.disconnecting


def test_a_body_of_the_largest_size_is_served(connection, sizes):
    connection.dataReceived(chunk(b"y") + LAST_CHUNK)
    assert sizes == [MAX_BODY_BYTES]
