"""A stream is complete with its end marker, however its connection ends."""

from __future__ import annotations

import json

import pytest

from tests.live import LiveSite
from tests.processes import completion, wait_until
from tests.router.scripted_streams import (
    COMPLETIONS,
    CONTINUED,
    WHOLE,
    ask,
    call_count,
    check_complete,
    check_not_complete,
    start,
)
from tests.router.scripted_upstream import (
    CHUNKED_HEAD,
    DONE,
    HEAD_WITHOUT_LENGTH,
    LAST_CHUNK,
    Script,
    call_raw,
    chunk,
    stream,
    token,
    tokens,
)


@pytest.fixture
def live():
    with LiveSite() as site:
        yield site


@pytest.mark.parametrize("stream_wanted", [True, False])
def test_events_in_one_segment_with_the_head_do_not_lose_the_head(live, stream_wanted):
    start(live, WHOLE)
    received = ask(live, stream=stream_wanted)
    assert b"X-Request-Id: " in received.head
    expected = b"text/event-stream" if stream_wanted else b"application/json"
    assert expected in received.head.lower()


@pytest.mark.parametrize("end", [b"", chunk(b"data: [DONE]")], ids=["none", "partial"])
@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("head", [CHUNKED_HEAD, HEAD_WITHOUT_LENGTH])
def test_a_stream_closed_in_order_without_its_marker_is_continued(
    live, head, version, end
):
    start(live, stream(tokens(0, 2), head=head, end=end), CONTINUED)
    check_complete(ask(live, version))


@pytest.mark.parametrize("head", [CHUNKED_HEAD, HEAD_WITHOUT_LENGTH])
def test_a_last_chunk_or_close_without_the_marker_is_not_complete(live, head):
    end = LAST_CHUNK if head is CHUNKED_HEAD else b""
    start(live, stream(tokens(0, 2), head=head, end=end))
    check_not_complete(ask(live))


@pytest.mark.parametrize("stream_wanted", [True, False])
def test_an_answer_whose_marker_came_is_complete_though_its_connection_breaks(
    live, stream_wanted
):
    upstreams = start(live, stream(tokens(0, 4), DONE, is_reset=True))
    received = ask(live, stream=stream_wanted)
    assert received.status == 200
    assert call_count(upstreams) == 1


def test_an_error_answer_without_length_is_not_passed_on(live):
    head = b"HTTP/1.1 404 Not Found\r\n\r\n"
    start(live, Script(head, (b"not",)))
    assert ask(live).status == 502


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("head", [CHUNKED_HEAD, HEAD_WITHOUT_LENGTH])
def test_a_stream_cut_by_its_deadline_ends_with_an_error(live, head, version):
    start(live, stream(tokens(0, 2), head=head, is_kept_open=True))
    live_body = completion("review", 4, stream=True)
    received = call_raw(
        live, "POST", COMPLETIONS, live_body, version, x_deadline_seconds="3"
    )
    assert received.status == 200
    assert received.has_error_event
    check_not_complete(received)


@pytest.mark.parametrize("stream_wanted", [True, False])
def test_events_after_the_end_marker_are_not_passed_on(live, stream_wanted):
    start(live, stream(tokens(0, 2), DONE, tokens(2, 4), end=LAST_CHUNK))
    received = ask(live, stream=stream_wanted)
    if stream_wanted:
        assert received.body.rstrip(b"\r\n0").endswith(b"data: [DONE]"), received
        assert received.body.count(b"id: ") == 2
    else:
        assert json.loads(received.body)["usage"]["completion_tokens"] == 2


@pytest.mark.parametrize("stream_wanted", [True, False])
def test_an_answer_is_complete_with_its_marker_before_the_last_chunk(
    live, stream_wanted
):
    upstreams = start(live, stream(tokens(0, 4), DONE, is_kept_open=True))
    received = ask(live, stream=stream_wanted)
    assert received.status == 200
    if stream_wanted:
        check_complete(received)
    assert call_count(upstreams) == 1
    wait_until(lambda: not any(upstream.connections for upstream in upstreams))


@pytest.mark.parametrize("reason", ["length", "stop", None])
def test_an_object_has_the_reason_for_which_the_engine_ended_its_text(live, reason):
    last = token(3, finish_reason=reason)
    start(live, stream(tokens(0, 3), last, DONE, end=LAST_CHUNK))
    choice = json.loads(ask(live, stream=False).body)["choices"][0]
    assert choice["finish_reason"] == (reason or "stop")
