"""A plain answer that is not known to be complete is neither passed on nor stored."""

from __future__ import annotations

import json

import pytest

from tests.live import LiveSite
from tests.router.scripted_upstream import (
    LAST_CHUNK,
    Script,
    add_scripted,
    answer,
    call_raw,
)

LOOKUP = "/depot-app/stock/abc"
ORDER = "/depot-app/orders"
BODY = b'{"stock": 3}'
WITH_CHUNKS = b"transfer-encoding: chunked\r\n"


def respond(headers: bytes, *parts: bytes, status: int = 200, **options) -> Script:
    head = b"HTTP/1.1 %d X\r\n%s\r\n" % (status, headers)
    return Script(head, parts, **options)


BROKEN_ANSWERS = pytest.mark.parametrize(
    "broken",
    [
        respond(b"", BODY),
        respond(b"", BODY, is_reset=True),
        respond(b"content-length: 99\r\n", BODY),
        respond(b"content-length: 99\r\n", BODY, is_reset=True),
        respond(WITH_CHUNKS, BODY),
        respond(WITH_CHUNKS, BODY, end=b"0\r\n"),
        respond(WITH_CHUNKS, BODY, end=b"9\r\nhalf"),
        respond(b"", BODY, status=404),
        respond(b"content-length: 99\r\n", BODY, status=404),
        respond(WITH_CHUNKS, BODY, status=500),
        Script(b"HTTP/1.0 200 OK\r\n\r\n", (BODY,)),
        Script(b"HTTP/1.1 200 OK\r\ncontent-le"),
    ],
    ids=[
        "no length",
        "no length, reset",
        "short",
        "short, reset",
        "no last chunk",
        "half a last chunk",
        "half a chunk",
        "404 without length",
        "404, short",
        "500 without last chunk",
        "HTTP/1.0",
        "half a head",
    ],
)
WHOLE = answer("200 OK", BODY)


@pytest.fixture
def live():
    with LiveSite() as site:
        yield site


def start(live: LiveSite, *scripts: Script):
    upstreams = add_scripted(live, "depot-app", 2, *scripts)
    live.start("r0", "r1")
    return upstreams


@BROKEN_ANSWERS
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_a_broken_answer_is_not_passed_on(live, broken, version):
    start(live, broken)
    received = call_raw(live, "GET", LOOKUP, version=version)
    assert received.status == 502
    assert BODY not in received.body
    assert received.is_complete


@BROKEN_ANSWERS
def test_a_broken_answer_to_a_lookup_is_asked_for_elsewhere(live, broken):
    start(live, broken, WHOLE)
    received = call_raw(live, "GET", LOOKUP)
    assert (received.status, received.body) == (200, BODY)


@BROKEN_ANSWERS
def test_a_broken_answer_to_an_order_is_not_stored(live, broken):
    upstreams = start(live, broken, WHOLE)
    for router in ("r0", "r1"):
        received = call_raw(live, "POST", ORDER, {}, router=router, idempotency_key="k")
        assert received.status in (409, 502)
        assert json.loads(received.body)["error"]["ran"] == "unknown"
    assert sum(len(upstream.calls) for upstream in upstreams) == 1


def test_a_stored_answer_is_repeated_whole(live):
    start(live, answer("200 OK", b"0123456789" * 50), WHOLE)
    for router in ("r0", "r1"):
        received = call_raw(live, "POST", ORDER, {}, router=router, idempotency_key="k")
        assert (received.status, received.body) == (200, b"0123456789" * 50)


def test_a_whole_answer_with_chunks_gets_a_length(live):
    start(live, respond(WITH_CHUNKS, BODY, end=LAST_CHUNK))
    received = call_raw(live, "GET", LOOKUP, version="1.0")
    assert (received.status, received.body) == (200, BODY)
    assert b"Content-Length: %d" % len(BODY) in received.head
