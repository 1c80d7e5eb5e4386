"""Streams that are open when their router stops."""

from __future__ import annotations

import re
from datetime import timedelta

import pytest

from banyansail.standins.engine_state import EngineOptions, answer_text
from tests.live import LiveSite, in_reactor
from tests.processes import completion, wait_until
from tests.router.scripted_upstream import DONE, Received, call_raw
from tests.router.test_streams_under_failure import stream_text

COMPLETIONS = "/v1/chat/completions"
TOKENS = 250
STOP_NOTICE = timedelta(seconds=1)


@pytest.fixture
def live():
    with LiveSite() as site:
        for number in range(2):
            site.engine(f"e{number}", options=EngineOptions(token_s=0.01))
        site.apply()
        yield site


def start(live: LiveSite, *routers: str) -> None:
    for name in routers:
        live.router(name, stop_notice=STOP_NOTICE)
    live.wait_ready()


def stop_with_open_stream(live: LiveSite, version: str) -> Received:
    """Stop r0 while it serves a stream; return what the caller gets of it."""
    body = completion("range review", TOKENS, stream=True)
    answer = live._call_executor.submit(
        call_raw, live, "POST", COMPLETIONS, body, version
    )
    wait_until(lambda: live.counter("tokens") > 5)
    in_reactor(live.site.router_by_name["r0"].stop_gracefully)
    return answer.result()


def decode(received: Received) -> bytes:
    """Return the body without its chunk sizes."""
    if not received.is_chunked:
        return received.body
    return re.sub(rb"(^|\r\n)[0-9a-f]+\r\n", b"", received.body).removesuffix(b"\r\n")


@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_a_stream_that_is_handed_over_does_not_end_in_order(live, version):
    start(live, "r0", "r1")
    received = stop_with_open_stream(live, version)
    assert received.body.count(b"id: ") > 5
    assert DONE not in received.body
    assert not received.is_complete


def test_a_stream_that_is_handed_over_is_resumed_without_gap(live):
    start(live, "r0", "r1")
    first = decode(stop_with_open_stream(live, "1.1"))
    found = re.search(rb'"id": "(\w+)"', first)
    last_index = first.count(b"id: ") - 1
    rest = call_raw(
        live,
        "GET",
        f"/v1/streams/{found[1].decode()}",
        router="r1",
        last_event_id=str(last_index),
    )
    assert rest.is_complete
    assert stream_text(first + decode(rest)) == answer_text("range review", TOKENS)


@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_a_stream_that_no_other_router_takes_ends_with_an_error(live, version):
    start(live, "r0")
    received = stop_with_open_stream(live, version)
    assert received.has_error_event
    assert b'"stopping"' in received.body
    assert DONE not in received.body
