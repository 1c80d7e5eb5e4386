"""An answer whose completeness is unknown is never passed on as complete."""

from __future__ import annotations

import json
import re

import pytest

from banyansail.upstreams.events import EVENT_SEPARATOR
from banyansail.wire.call_codec import StreamRecord
from tests.live import LiveSite, in_reactor
from tests.processes import completion
from tests.router.scripted_upstream import (
    DONE,
    LAST_CHUNK,
    Received,
    Script,
    add_scripted,
    answer,
    call_raw,
    stream,
    tokens,
)

RECORD_ID = "0f3a"
COMPLETIONS = "/v1/chat/completions"
BROKEN = stream(tokens(0, 2))
RESET = stream(tokens(0, 2), is_reset=True)
CONTINUED = stream(tokens(2, 4), DONE, end=LAST_CHUNK)
NOT_RUN = Script(b"HTTP/1.1 421 X\r\nx-ran: not_run\r\ncontent-length: 0\r\n\r\n")


@pytest.fixture
def live():
    with LiveSite() as site:
        yield site


def start(live: LiveSite, *scripts: Script, **by_path: Script):
    upstreams = add_scripted(live, "advisor-llm", 2, *scripts, **by_path)
    live.start()
    return upstreams


def ask(live: LiveSite, version: str = "1.1", **extra: object):
    body = completion("review", 4, **{"stream": True, **extra})
    return call_raw(live, "POST", COMPLETIONS, body, version)


FAILED_CONTINUATIONS = pytest.mark.parametrize(
    "continuation",
    [
        answer("500 Failed"),
        answer("504 Timeout"),
        answer("404 Not Found"),
        answer("400 Bad Request"),
        answer("302 Found"),
        answer("204 No Content", b""),
        answer("206 Partial Content"),
        NOT_RUN,
        BROKEN,
    ],
    ids=["500", "504", "404", "400", "302", "204", "206", "421", "broken"],
)


@FAILED_CONTINUATIONS
@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("broken", [BROKEN, RESET], ids=["closed", "reset"])
def test_a_stream_whose_continuation_fails_is_not_ended_as_complete(
    live, continuation, broken, version
):
    start(live, broken, continuation)
    check_not_complete(ask(live, version))


@FAILED_CONTINUATIONS
def test_a_resumed_stream_whose_continuation_fails_is_not_ended_as_complete(
    live, continuation
):
    start(live, continuation)
    store_record(live)
    check_not_complete(call_raw(live, "GET", f"/v1/streams/{RECORD_ID}"))


@FAILED_CONTINUATIONS
def test_an_object_whose_continuation_fails_is_not_answered_as_complete(
    live, continuation
):
    start(live, BROKEN, continuation)
    assert ask(live, stream=False).status >= 400


@pytest.mark.parametrize("stream_wanted", [True, False])
@pytest.mark.parametrize("status", ["204 No Content", "206 Partial Content", "302 X"])
def test_another_status_than_200_is_not_taken_for_a_completion(
    live, status, stream_wanted
):
    start(live, answer(status, b"" if status == "204 No Content" else b"{}"))
    assert ask(live, stream=stream_wanted).status == 502


def test_a_failed_continuation_is_made_again_elsewhere(live):
    start(live, BROKEN, answer("404 Not Found"), CONTINUED)
    check_complete(ask(live))


def check_not_complete(received: Received) -> None:
    assert received.status == 200
    assert received.body.count(b"id: ") == 2, received
    assert received.has_error_event or not received.is_complete, received
    assert b"[DONE]" not in received.body


def check_complete(received: Received) -> None:
    found = re.findall(rb"id: (\d+)", received.body)
    assert found == [b"0", b"1", b"2", b"3"], received
    assert received.body.count(DONE) == 1
    assert received.is_complete


def store_record(live: LiveSite, count: int = 2) -> None:
    """Store the record of a stream that another router has stopped."""
    events = tokens(0, count).replace(b"{id}", RECORD_ID.encode())
    record = StreamRecord(
        RECORD_ID,
        "advisor-llm",
        "counter",
        json.dumps(completion("review", 4, stream=True)).encode(),
        tuple(events.split(EVENT_SEPARATOR)[:-1]),
    )
    router = live.site.router_by_name["r0"]
    in_reactor(router.streams.store, record)
