"""Scripted engines, and checks of the streams that a router makes of theirs."""

from __future__ import annotations

import json
import re

from banyansail.upstreams.events import EVENT_SEPARATOR
from banyansail.wire.call_types import StreamRecord
from tests.live import LiveSite, in_reactor
from tests.processes import completion
from tests.router.scripted_upstream import (
    DONE,
    LAST_CHUNK,
    Received,
    Script,
    ScriptedUpstream,
    add_scripted,
    call_raw,
    stream,
    tokens,
)

RECORD_ID = "0f3a"
COMPLETIONS = "/v1/chat/completions"
BROKEN = stream(tokens(0, 2))
RESET = stream(tokens(0, 2), is_reset=True)
WHOLE = stream(tokens(0, 4), DONE, end=LAST_CHUNK)
CONTINUED = stream(tokens(2, 4), DONE, end=LAST_CHUNK)
NOT_RUN = Script(b"HTTP/1.1 421 X\r\nx-ran: not_run\r\ncontent-length: 0\r\n\r\n")


def start(live: LiveSite, *scripts: Script, **by_path: Script):
    upstreams = add_scripted(live, "advisor-llm", 2, *scripts, **by_path)
    live.start()
    return upstreams


def ask(live: LiveSite, version: str = "1.1", **extra: object):
    body = completion("review", 4, **{"stream": True, **extra})
    return call_raw(live, "POST", COMPLETIONS, body, version)


def call_count(upstreams: list[ScriptedUpstream]) -> int:
    return sum(len(upstream.calls) for upstream in upstreams)


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
