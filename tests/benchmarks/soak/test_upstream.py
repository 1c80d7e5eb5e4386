"""A caller sees the scripted upstream's answers for what they are."""

from __future__ import annotations

import json
import re
import socket
import socketserver
import threading

import pytest

from banyansail.clock import SystemClock
from banyansail.config.fields import Address
from benchmarks.soak.http_caller import Behaviour, CallerConnection, Exchange
from benchmarks.soak.http_server import Connection
from benchmarks.soak.records import (
    Framing,
    RecordWriter,
    ResponseEnd,
    RunEnd,
    read_runs,
)
from benchmarks.soak.switches import Break, Continuation
from benchmarks.soak.upstream import SWITCHES_PATH, Upstream
from tests.benchmarks.soak.histories import ATTEMPT, response_of
from tests.processes import call

ALL = [1, 2, 3, 4, 5]
RESUME = b"Last-Event-Id: 2\r\n"


class LiveUpstream:
    """An upstream in a thread of the test."""

    def __init__(self, folder):
        self._record_path = folder / "e1.jsonl"
        writer = RecordWriter(self._record_path)
        upstream = Upstream("e1", "127.0.0.1:1", writer, SystemClock())

        class Handler(socketserver.BaseRequestHandler):
            def handle(self):
                upstream.serve(Connection(self.request))

        self._server = socketserver.ThreadingTCPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self.port = self._server.server_address[1]

    def __enter__(self):
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        return self

    def __exit__(self, *exc_info):
        self._server.shutdown()
        self._server.server_close()

    def switch(self, **switches):
        assert call(self.port, "PUT", SWITCHES_PATH, switches)[0] == 200

    def ask(self, headers=b"", behaviour=None, **fields):
        """Send a request; return what the caller saw."""
        clock = SystemClock()
        response = response_of(
            sent_at=clock.monotonic().total_seconds(),
            status=None,
            event_ids=[],
            **fields,
        )
        exchange = Exchange(response, behaviour or Behaviour(), clock)
        connection = CallerConnection(Address("127.0.0.1", self.port))
        first, rest = exchange.request().split(b"\r\n", 1)
        connection.send(first + b"\r\n" + headers + rest)
        response.end = connection.read(exchange)
        connection.close()
        return response

    def run_end(self):
        return read_runs([self._record_path])[ATTEMPT][-1].end


@pytest.fixture
def upstream(tmp_path):
    with LiveUpstream(tmp_path) as live:
        yield live


@pytest.mark.parametrize("framing", list(Framing))
def test_a_whole_stream_looks_complete_in_each_framing(upstream, framing):
    upstream.switch(stream={"framing": framing})
    response = upstream.ask()
    assert (response.framing, response.event_ids) == (framing, ALL)
    assert response.looks_complete
    assert upstream.run_end() is RunEnd.FULL


@pytest.mark.parametrize("is_inside_event", [False, True])
@pytest.mark.parametrize("end", [Break.CLOSE, Break.RESET])
@pytest.mark.parametrize("framing", list(Framing))
def test_a_broken_stream_looks_complete_only_without_framing(
    upstream, framing, end, is_inside_event
):
    switch = {"framing": framing, "after_events": 3, "end": end}
    upstream.switch(stream={**switch, "is_inside_event": is_inside_event})
    response = upstream.ask()
    assert response.event_ids == [1, 2, 3]
    is_closed = end is Break.CLOSE
    assert response.looks_complete is (framing is Framing.NONE and is_closed)
    assert upstream.run_end() is (RunEnd.CLOSED if is_closed else RunEnd.RESET)


@pytest.mark.parametrize(
    "framing, looks_complete",
    [(Framing.CHUNKS, False), (Framing.LENGTH, True), (Framing.NONE, True)],
)
def test_a_break_after_the_last_event_is_no_break_once_its_length_is_reached(
    upstream, framing, looks_complete
):
    upstream.switch(stream={"framing": framing, "after_events": len(ALL)})
    response = upstream.ask()
    assert response.event_ids == ALL
    assert response.looks_complete is looks_complete
    is_told = framing is Framing.LENGTH
    assert upstream.run_end() is (RunEnd.FULL if is_told else RunEnd.CLOSED)


def test_a_silent_stream_lasts_until_its_caller_leaves(upstream):
    upstream.switch(stream={"after_events": 1, "end": Break.SILENCE})
    response = upstream.ask(behaviour=Behaviour(leaves_after_s=0.3))
    assert (response.end, response.event_ids) == (ResponseEnd.LEFT, [1])


@pytest.mark.parametrize(
    "answer, status, event_ids, looks_complete",
    [
        (None, 200, [3, 4, 5], True),
        (Continuation.ERROR, 500, [], True),
        (Continuation.NOT_RUN, 503, [], True),
        (Continuation.TIMEOUT, 504, [], True),
        (Continuation.NOT_FOUND, 404, [], True),
        (Continuation.REDIRECT, 302, [], True),
        (Continuation.NO_CONTENT, 204, [], True),
        (Continuation.EMPTY, 200, [], True),
        (Continuation.UNFRAMED, 200, [3], True),
        (Continuation.SHORT, 200, [3], False),
        (Continuation.ANEW, 200, ALL, True),
        (Continuation.BREAK, 200, [3], False),
    ],
)
def test_a_continuation_is_answered_as_it_is_switched(
    upstream, answer, status, event_ids, looks_complete
):
    upstream.switch(continuation=answer)
    response = upstream.ask(RESUME)
    assert (response.status, response.event_ids) == (status, event_ids)
    assert response.looks_complete is looks_complete
    assert upstream.ask().event_ids == ALL  # only continuations are answered so


def test_a_full_upstream_runs_nothing(upstream):
    upstream.switch(is_full=True)
    assert upstream.ask().status == 503
    upstream.switch(is_full=False)
    assert upstream.ask().status == 200
    assert upstream.run_end() is RunEnd.FULL


def test_a_request_that_is_meant_for_another_upstream_is_not_run(upstream):
    assert upstream.ask(b"X-Expect-Replica: e2\r\n").status == 421


def test_a_rejection_comes_again_before_the_next_answer_of_its_connection(upstream):
    received = b""
    with socket.create_connection(("127.0.0.1", upstream.port), timeout=5) as sent:
        for number in range(2):
            upstream.switch(copies_rejections=True, is_full=number == 0)
            head = b"POST /orders/1/0/x HTTP/1.1\r\nX-Attempt-Id: a%d\r\n\r\n"
            sent.sendall(head % number)
            while b"Id: a%d" % number not in received:
                received += sent.recv(4096)
    answers = re.findall(rb"HTTP/1.1 (\d+)[^\n]*\n\S*Id: (\S+)", received)
    assert answers == [(b"503", b"a0"), (b"503", b"a0"), (b"200", b"a1")]


def test_a_run_moves_once(upstream):
    seen = []
    thread = threading.Thread(target=lambda: seen.append(upstream.ask(size=50)))
    thread.start()
    body = {"id": ATTEMPT, "target": f"127.0.0.1:{upstream.port}", "last": True}
    while (answer := call(upstream.port, "POST", "/v1/kv-move", body))[0] == 404:
        pass
    thread.join()
    copy = json.loads(answer[2])
    assert not seen[0].looks_complete
    assert seen[0].event_ids == list(range(1, copy["created"] + 1))
    memory = b"Kv-From: 127.0.0.1:1/" + copy["handle"].encode() + b"\r\n"
    resumed = b"Last-Event-Id: %d\r\n" % copy["created"]
    first, second = (upstream.ask(memory + resumed, size=50) for _ in range(2))
    assert first.event_ids == list(range(copy["created"] + 1, 51))
    assert second.status == 503
