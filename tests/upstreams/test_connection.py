"""Answers that a connection tells apart."""

from __future__ import annotations

from datetime import timedelta

import pytest
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from banyansail.upstreams.connection import HttpConnection
from tests.fakes import FakeClock

OTHER_ANSWER = b"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nlate"
OWN_ANSWER = b"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 7\r\n\r\n"


class Receiver:
    """Records how an exchange ends."""

    def __init__(self):
        self.body = b""
        self.end = None

    def is_own_answer(self, status, headers):
        return (b"Id", b"own") in headers

    def head_received(self, status, reason, headers):
        pass

    def body_received(self, data):
        self.body += data

    def answer_complete(self):
        self.end = "complete"

    def exchange_failed(self, reason):
        self.end = reason


def exchange(method, *received):
    connection = HttpConnection(
        FakeClock(), lambda _: None, lambda _: None, timedelta(seconds=1)
    )
    connection.transport = StringTransport()
    receiver = Receiver()
    connection.send_request(method, b"/", [(b"host", b"h")], b"", receiver)
    for data in received:
        connection.dataReceived(data)
    return connection, receiver


def test_a_late_answer_does_not_hide_the_end_of_an_answer_to_head():
    _, receiver = exchange(b"HEAD", OTHER_ANSWER.removesuffix(b"late"), OWN_ANSWER)
    assert receiver.end == "complete"


@pytest.mark.parametrize("length", range(len(OWN_ANSWER) + 6))
def test_an_answer_that_a_late_one_precedes_is_not_complete_before_its_end(length):
    whole = OWN_ANSWER + b"7 bytes"
    assert len(whole) > length
    connection, receiver = exchange(b"GET", OTHER_ANSWER + whole[:length])
    connection.connectionLost(Failure(ConnectionDone()))
    assert receiver.end not in (None, "complete")
