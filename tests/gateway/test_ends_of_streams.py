"""A started stream ends as complete only if its upstream said that it is complete."""

from __future__ import annotations

import http.client
import socket
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.gateway.cut_reactor import Cut
from tests.gateway.live_gateway import HOST, KEY, LiveGateway
from tests.gateway.raw_upstream import End, Script
from tests.live import in_reactor
from tests.processes import wait_until

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Replica-Stamp: s\r\n"
    b"Connection: close\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
UNFRAMED = HEAD + b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"
BROKEN_OFF = (http.client.IncompleteRead, ConnectionError)
PATH = "/draft/resumable/1"
CUT_S = 1.0  # until a router knows that it is cut off


def event(number):
    return b"id: %d\ndata: part %d\n\n" % (number, number)


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def failure(status, *headers):
    lines = [b"HTTP/1.1 %d Failed" % status, b"X-Attempt-Id: {id}", *headers]
    return b"\r\n".join([*lines, b"Content-Length: 4", b"", b"oops"])


BROKEN_STREAM = CHUNKED + chunk(event(1)) + chunk(event(2))
REST = CHUNKED + chunk(event(3)) + LAST_CHUNK
CONTINUATIONS = {
    "500": Script(failure(500)),
    "504": Script(failure(504)),
    "404": Script(failure(404)),
    "302": Script(failure(302)),
    "503 not run": Script(failure(503, b"X-Not-Executed: 1")),
    "421": Script(failure(421)),
    "204": Script(b"HTTP/1.1 204 No Content\r\nX-Attempt-Id: {id}\r\n\r\n"),
    "length not reached": Script(
        HEAD + b"Content-Length: 1000\r\n\r\n" + event(3), End.CLOSE
    ),
    "another break": Script(CHUNKED + chunk(event(3)), End.CLOSE),
    "no length, closed": Script(UNFRAMED + event(3), End.CLOSE),
    "no length, reset": Script(UNFRAMED + event(3), End.RESET),
    "empty": Script(CHUNKED + LAST_CHUNK),
    "begins anew": Script(
        CHUNKED + chunk(event(1)) + chunk(event(2)) + chunk(event(3)) + LAST_CHUNK
    ),
}


@pytest.fixture
def live():
    with LiveGateway(replicas=(), raw_upstreams=("e1", "e2")) as gateway:
        yield gateway


@pytest.fixture
def relaying():
    """Two routers; the first one reaches no upstream and relays its requests."""
    with LiveGateway(replicas=(), raw_upstreams=("e1", "e2"), routers=2) as gateway:
        script(gateway, Script(CHUNKED + LAST_CHUNK))
        gateway.cut_off(Cut.RESET)
        gateway.try_call("POST", "/draft/resumable/begin", b"x")
        time.sleep(CUT_S)
        yield gateway


def script(live, first, continuation=None):
    for raw in live.raw_by_name.values():
        raw.script, raw.continuation = first, continuation


def continuations(live):
    return sum(raw.continuations for raw in live.raw_by_name.values())


@pytest.mark.parametrize("end", [End.CLOSE, End.RESET], ids=["closed", "reset"])
@pytest.mark.parametrize("name", CONTINUATIONS)
def test_a_stream_whose_continuation_fails_does_not_end_as_complete(live, name, end):
    script(live, Script(BROKEN_STREAM, end), CONTINUATIONS[name])
    with pytest.raises(BROKEN_OFF):
        live.call("POST", PATH, b"x")
    assert continuations(live)


@pytest.mark.parametrize("name", CONTINUATIONS)
def test_a_relayed_stream_whose_continuation_fails_does_not_end_as_complete(
    relaying, name
):
    script(relaying, Script(BROKEN_STREAM), CONTINUATIONS[name])
    with pytest.raises(BROKEN_OFF):
        relaying.call("POST", PATH, b"x")
    assert continuations(relaying)
    assert relaying.gateway.context.reach.is_cut_off


def test_a_broken_stream_whose_events_have_no_ids_is_not_joined_to_another_run(live):
    script(live, Script(CHUNKED + chunk(b"data: part\n\n")))
    with pytest.raises(BROKEN_OFF):
        live.call("POST", PATH, b"x")
    assert sum(raw.requests for raw in live.raw_by_name.values()) == 1


@pytest.mark.parametrize("how", ["loseConnection", "abortConnection"])
def test_a_stream_whose_relay_breaks_does_not_end_as_complete(relaying, how):
    script(relaying, Script(BROKEN_STREAM, End.KEEP_OPEN), CONTINUATIONS["500"])
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(relaying.call, "POST", PATH, b"x")
        wait_until(lambda: relayed_streams(relaying))
        in_reactor(lambda: [getattr(item, how)() for item in relayed_streams(relaying)])
        with pytest.raises(BROKEN_OFF):
            answer.result()
    assert continuations(relaying)


def relayed_streams(live):
    """Return the connections of streams that the second router serves for the first."""
    channels = live.gateways[1].servers._relays.channels
    busy = [channel for channel in channels if channel.requests]
    return [item.transport for item in busy if item.requests[0].sentLength]


@pytest.mark.parametrize("path", [PATH, "/draft/1"])
def test_a_stream_whose_deadline_passes_does_not_end_as_complete(live, path):
    script(live, Script(BROKEN_STREAM, End.KEEP_OPEN))
    with pytest.raises(BROKEN_OFF):
        live.call("POST", path, b"x", X_Deadline_Ms="700")


@pytest.mark.parametrize("end", [End.CLOSE, End.RESET], ids=["closed", "reset"])
def test_a_continued_stream_ends_as_complete_with_its_upstream(live, end):
    script(live, Script(BROKEN_STREAM, end), Script(REST))
    status, _, body = live.call("POST", PATH, b"x")
    assert (status, body) == (200, event(1) + event(2) + event(3))


def test_a_relayed_stream_ends_as_complete_with_its_upstream(relaying):
    script(relaying, Script(BROKEN_STREAM), Script(REST))
    status, _, body = relaying.call("POST", PATH, b"x")
    assert (status, body) == (200, event(1) + event(2) + event(3))


@pytest.mark.parametrize(
    "path, body",
    [("/draft/1", event(1) + event(2)), ("/orders/1", b"the whole body")],
    ids=["/draft/1", "/orders/1"],
)
def test_an_answer_without_length_gets_no_end_that_its_upstream_did_not_give(
    path, body
):
    with LiveGateway(replicas=(), raw_upstreams=("d1", "e1")) as live:
        script(live, Script(UNFRAMED + body, End.CLOSE))
        head, received = raw_call(live, b"1.1", path)
    assert b"content-length" not in head.lower()
    assert b"transfer-encoding" not in head.lower()
    assert b"connection: close" in head.lower()
    assert received == body


def test_a_broken_stream_is_reset_for_a_caller_that_knows_no_chunks(live):
    script(live, Script(BROKEN_STREAM, End.CLOSE), CONTINUATIONS["500"])
    with pytest.raises(ConnectionResetError):
        raw_call(live, b"1.0", PATH)


def raw_call(live, version, path):
    """Send a request; return head and body of the response, read until its close."""
    listen = live.gateway.settings.listen
    with socket.create_connection((listen.host, listen.port), timeout=10) as connection:
        connection.sendall(request_bytes(version, path))
        received = b""
        while data := connection.recv(65536):
            received += data
    head, _, body = received.partition(b"\r\n\r\n")
    return head, body


def request_bytes(version, path):
    lines = [
        b"POST %b HTTP/%b" % (path.encode(), version),
        b"Host: " + HOST.encode(),
        b"Api-Key: " + KEY.encode(),
        b"X-Attempt-Id: a-raw",
        b"Content-Length: 1",
        b"",
        b"x",
    ]
    return b"\r\n".join(lines)
