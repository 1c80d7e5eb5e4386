"""Bytes that follow an answer and look like the next one, but name no attempt."""

from __future__ import annotations

import pytest

from tests.gateway.live_gateway import LiveGateway
from tests.gateway.raw_upstream import End, Script
from tests.live import in_reactor

BODY = b"own body"
OWN = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Replica-Stamp: s\r\n"
    b"Content-Length: 8\r\n\r\n" + BODY
)
HEALTH = (
    b"HTTP/1.1 200 OK\r\nX-Replica-Id: d1\r\nServer-Leaving: 1\r\n"
    b"Content-Length: 2\r\n\r\nok"
)


def rejection(status):
    return b"HTTP/1.1 %d No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" % status


STRAY = {
    "400": rejection(400),
    "421": rejection(421),
    "429": rejection(429),
    "503": rejection(503),
    "health": HEALTH,
}


@pytest.fixture(params=[1, 2], ids=["one upstream", "two upstreams"])
def live(request):
    names = ("d1", "d2")[: request.param]
    with LiveGateway(replicas=(), raw_upstreams=names) as gateway:
        yield gateway


def answer_with(live, answer):
    def set_scripts():
        for raw in live.raw_by_name.values():
            raw.script = Script(answer, End.KEEP_OPEN)
            raw.requests = 0

    in_reactor(set_scripts)


def requests(live):
    return in_reactor(lambda: sum(raw.requests for raw in live.raw_by_name.values()))


@pytest.mark.parametrize("stray", STRAY)
def test_an_order_is_not_repeated_for_an_answer_without_an_id(live, stray):
    """Guards against a rejection, or a success, that belongs to no request (TWICE)."""
    answer_with(live, OWN)
    for number in range(4):  # so that the next one finds idle connections
        assert live.call("POST", f"/orders/{number}", b"x")[0] == 200
    answer_with(live, STRAY[stray] + OWN)
    answer = live.call("POST", "/orders/9", b"x")
    assert answer[::2] == (200, BODY)
    assert requests(live) == 1


def test_a_first_answer_without_an_id_is_delivered(live):
    """Guards against a rejection that is waited for until the deadline."""
    answer_with(live, rejection(503))
    assert live.call("POST", "/orders/1", b"x")[0] == 503


def test_a_request_without_an_id_gets_an_answer(live):
    """Guards against a request that waits for an answer which names its id."""
    answer_with(live, OWN.replace(b"X-Attempt-Id: {id}\r\n", b""))
    for number in range(3):
        answer = live.call("POST", f"/orders/{number}", b"x", X_Attempt_Id="")
        assert answer[::2] == (200, BODY)


@pytest.mark.parametrize("status", [429, 503])
@pytest.mark.parametrize("path", ["/orders/1", "/stock/1"])
def test_an_answer_that_states_no_rejection_does_not_promise_one(live, status, path):
    """Guards against an order that ran and is sent again by its caller (REFUSED)."""
    ran = OWN.replace(b"200 OK", b"%d No" % status)
    answer_with(live, ran)
    code, headers, body = live.call("POST", path, b"x")
    assert (code, "X-Replica-Stamp" in headers) == (502, False)
    assert body != BODY
