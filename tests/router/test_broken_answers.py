"""An answer whose completeness is unknown is never passed on as complete."""

from __future__ import annotations

from datetime import timedelta

import pytest

from banyansail.router.router import Router
from tests.live import LiveSite, in_reactor
from tests.processes import wait_until
from tests.router.scripted_streams import (
    BROKEN,
    CONTINUED,
    NOT_RUN,
    RECORD_ID,
    RESET,
    WHOLE,
    ask,
    call_count,
    check_complete,
    check_not_complete,
    start,
    store_record,
)
from tests.router.scripted_upstream import (
    DONE,
    LAST_CHUNK,
    Script,
    answer,
    call_raw,
    stream,
    tokens,
)


@pytest.fixture
def live():
    with LiveSite() as site:
        yield site


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


@pytest.mark.parametrize("stream_wanted", [True, False])
@pytest.mark.parametrize("shorter", [tokens(0, 2), tokens(1, 2)], ids=["0-1", "1"])
def test_a_continuation_that_ends_before_what_was_delivered_is_not_complete(
    live, stream_wanted, shorter
):
    broken = stream(tokens(0, 3))
    start(live, broken, stream(shorter, DONE, end=LAST_CHUNK))
    received = ask(live, stream=stream_wanted)
    assert received.status == (200 if stream_wanted else 502)
    assert b"[DONE]" not in received.body


def test_a_continuation_that_begins_anew_is_complete_with_its_own_end(live):
    start(live, BROKEN, WHOLE)
    check_complete(ask(live))


def test_a_continuation_that_leaves_a_gap_is_not_complete(live):
    start(live, BROKEN, stream(tokens(3, 4), DONE, end=LAST_CHUNK))
    check_not_complete(ask(live))


def test_a_continuation_with_nothing_but_the_end_marker_is_complete(live):
    start(live, stream(tokens(0, 4)), stream(DONE, end=LAST_CHUNK))
    check_complete(ask(live))


@pytest.mark.parametrize("stream_wanted", [True, False])
@pytest.mark.parametrize(
    "export",
    [answer("200 OK", b'{"tokens": 2}'), Script(b"HTTP/1.1 200 OK\r\n\r\n", (b"{}",))],
    ids=["exported", "export without length"],
)
@FAILED_CONTINUATIONS
def test_a_migrated_answer_whose_continuation_fails_is_not_complete(
    live, continuation, export, stream_wanted
):
    running = stream(tokens(0, 2), is_kept_open=True)
    upstreams = start(live, running, continuation, kv=export)
    upstream_answer = live._call_executor.submit(ask, live, stream=stream_wanted)
    wait_until(lambda: call_count(upstreams) == 1)
    name = next(
        f"advisor-llm-x{number}"
        for number, upstream in enumerate(upstreams)
        if upstream.calls
    )
    in_reactor(prepare_for_reclaim, live.site.router_by_name["r0"], name)
    received = upstream_answer.result()
    if stream_wanted:
        check_not_complete(received)
    else:
        assert received.status >= 400


def prepare_for_reclaim(router: Router, name: str) -> None:
    for exchange in router.registry.exchanges_at(name):
        exchange.prepare_for_reclaim(timedelta(seconds=1.6))
