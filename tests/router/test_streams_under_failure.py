"""Streamed answers under failures of engines and connections."""

from __future__ import annotations

import http.client
import json
import socket

import pytest
from twisted.internet import reactor
from twisted.internet.abstract import FileDescriptor
from twisted.internet.tcp import Server

from banyansail.standins.engine_state import EngineOptions, answer_text
from tests.live import LiveSite, in_reactor
from tests.processes import completion, wait_until

COMPLETIONS = "/v1/chat/completions"
SMALL_BUFFER_BYTES = 4096


def stream_text(body: bytes) -> str:
    """Return the text of a stream; check that its events are complete and in order."""
    events = body.decode().split("\n\n")
    assert events[-2] == "data: [DONE]", events[-3:]
    ids = [int(event.split("\n")[0][4:]) for event in events[:-2]]
    assert ids == list(range(len(ids)))
    chunks = [json.loads(event.split("data: ")[1]) for event in events[:-2]]
    return "".join(chunk["choices"][0]["delta"]["content"] for chunk in chunks)


@pytest.fixture
def site():
    with LiveSite() as live:
        for number in range(3):
            live.engine(f"e{number}", options=EngineOptions(token_s=0.01))
        live.start()
        yield live


def wait_for_streaming_engine(live: LiveSite, tokens: int = 1) -> str:
    """Wait until an engine has generated some tokens and return its name."""
    streaming: list[str] = []

    def is_any_streaming() -> bool:
        for name, item in live.site.upstream_by_name.items():
            if any(done >= tokens for done in item.state.progress.values()):
                streaming.append(name)
        return bool(streaming)

    wait_until(is_any_streaming)
    return streaming[0]


@pytest.mark.parametrize("stream", [True, False])
def test_killed_engine_loses_no_token(site, stream):
    body = completion("range review", 60, stream=stream)
    answer = site.call_later("POST", COMPLETIONS, body)
    site.kill(wait_for_streaming_engine(site, 5))
    status, _, data = answer.result()
    assert status == 200
    if stream:
        assert stream_text(data) == answer_text("range review", 60)
    else:
        text = json.loads(data)["choices"][0]["message"]["content"]
        assert text == answer_text("range review", 60)
    assert site.counter("recomputed_tokens") > 0


def test_truncated_stream_is_resumed(site):
    for name in ("e0", "e1"):
        site.faults(name, truncate_at=7)
    status, _, data = site.call(
        "POST", COMPLETIONS, completion("bill", 20, stream=True)
    )
    assert (status, stream_text(data)) == (200, answer_text("bill", 20))


def test_crossed_answer_reaches_nobody(site):
    for name in ("e0", "e1"):
        site.faults(name, wrong_id=True)
    status, _, data = site.call(
        "POST", COMPLETIONS, completion("bill", 20, stream=True)
    )
    assert (status, stream_text(data)) == (200, answer_text("bill", 20))


def test_silent_connection_is_left_for_a_new_one(site):
    answer = site.call_later("POST", COMPLETIONS, completion("plan", 80, stream=True))
    name = wait_for_streaming_engine(site, 5)
    site.faults(name, silence=True)
    status, _, data = answer.result()
    assert (status, stream_text(data)) == (200, answer_text("plan", 80))
    assert site.counter("requests") == 2
    wait_until(lambda: site.counter("cancelled") == 1)
    dispatcher = site.site.router_by_name["r0"].dispatcher
    assert not dispatcher.state_by_name[name].suspect_until


def test_idle_connection_that_went_silent_costs_no_answer(site):
    for number in range(6):
        assert site.call("POST", COMPLETIONS, completion(f"q{number}", 2))[0] == 200
    for name in ("e0", "e1", "e2"):
        site.faults(name, silence=True)
    for number in range(6):
        status, _, data = site.call("POST", COMPLETIONS, completion(f"q{number}", 2))
        assert status == 200
        text = json.loads(data)["choices"][0]["message"]["content"]
        assert text == answer_text(f"q{number}", 2)


def test_slow_engine_is_not_abandoned(site):
    for name in ("e0", "e1", "e2"):
        site.faults(name, stall_at=5, stall_s=1.5)
    status, _, data = site.call(
        "POST", COMPLETIONS, completion("slow", 10, stream=True)
    )
    assert (status, stream_text(data)) == (200, answer_text("slow", 10))
    assert site.counter("requests") == 1


def test_notice_moves_the_stream_with_its_cache(site):
    answer = site.call_later("POST", COMPLETIONS, completion("move", 300, stream=True))
    name = wait_for_streaming_engine(site, 5)
    platform = site.site.platform.resource
    in_reactor(platform.reclaim, ids=[name], notice_s=2.0)
    wait_until(lambda: not site.state(name).progress)
    site.kill(name)
    status, _, data = answer.result()
    assert (status, stream_text(data)) == (200, answer_text("move", 300))
    assert site.counter("imports") == 1
    assert site.counter("recomputed_tokens") == 0


def test_no_new_work_for_a_leaving_engine(site):
    platform = site.site.platform.resource
    in_reactor(platform.reclaim, ids=["e0"], notice_s=60.0)
    router = site.site.router_by_name["r0"]
    wait_until(lambda: router.dispatcher.state_by_name["e0"].is_leaving)
    requests_before = site.state("e0").counters.get("requests", 0)
    # A stale instance list still reports the engine as live.
    entry = site.site.upstream_by_name["e0"].platform_entry("live")
    in_reactor(router.catalog._apply_list, json.dumps([entry]))
    for number in range(12):
        assert site.call("POST", COMPLETIONS, completion(f"n{number}", 2))[0] == 200
    assert site.state("e0").counters.get("requests", 0) == requests_before


def test_refusal_by_all_engines_is_reported_as_not_run(site):
    for name in ("e0", "e1", "e2"):
        site.faults(name, refuse=True)
    status, headers, _ = site.call("POST", COMPLETIONS, completion("no", 2))
    assert status in (502, 504)
    assert headers["x-ran"] == "not_run"
    assert int(headers["retry-after"]) >= 1


def test_caller_that_does_not_read_fills_no_memory_and_gets_its_whole_answer(site):
    tokens = 4000
    router = site.site.router_by_name["r0"]
    in_reactor(shrink_send_buffers, router)
    with socket.socket() as caller:
        send_request_without_reading(site, caller, tokens)
        wait_until(lambda: site.counter("tokens") >= tokens)
        assert in_reactor(max_buffered_bytes) <= 2 * FileDescriptor.bufferSize
        status, _, _ = site.call("POST", COMPLETIONS, completion("quick", 5))
        assert status == 200
        response = http.client.HTTPResponse(caller)
        response.begin()
        assert stream_text(response.read()) == answer_text("range review", tokens)


def test_caller_that_never_reads_is_given_up_at_the_deadline(site):
    site.rules = [
        line.replace("deadline=30s", "deadline=2s").replace(
            "deadline=8s", "deadline=2s"
        )
        for line in site.rules
    ]
    site.apply()
    router = site.site.router_by_name["r0"]
    wait_until(lambda: router.context.rules.version == 2)
    in_reactor(shrink_send_buffers, router)
    with socket.socket() as caller:
        send_request_without_reading(site, caller, tokens=4000)
        dispatch = router.dispatcher.dispatch_by_service["advisor-llm"]
        wait_until(lambda: dispatch.in_flight == 1)
        wait_until(lambda: dispatch.in_flight == 0, 10)
        assert in_reactor(max_buffered_bytes) <= 2 * FileDescriptor.bufferSize


def send_request_without_reading(
    site: LiveSite, caller: socket.socket, tokens: int
) -> None:
    """Request a fast stream on a socket with a small receive buffer."""
    for name in ("e0", "e1", "e2"):
        in_reactor(setattr, site.state(name).options, "token_s", 0.0002)
    body = json.dumps(completion("range review", tokens, stream=True)).encode()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    caller.connect(("127.0.0.1", site.port()))
    caller.sendall(
        b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
        b"content-type: application/json\r\nconnection: close\r\n"
        b"content-length: %d\r\n\r\n%s" % (len(body), body)
    )


def shrink_send_buffers(router) -> None:
    """Shrink the send buffers of new connections, so that the router has to buffer."""
    for port in router._listeners._ports:
        if port.getHost().type == "TCP":
            port.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
            )


def max_buffered_bytes() -> int:
    """Return the largest number of bytes buffered in a transport."""
    buffered_sizes = [
        len(item.dataBuffer) - item.offset + item._tempDataLen
        for item in (*reactor.getReaders(), *reactor.getWriters())
        if isinstance(item, Server)
    ]
    return max(buffered_sizes)
