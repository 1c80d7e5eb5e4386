"""Auxiliary calls decide on complete answers only."""

from __future__ import annotations

import pytest
from twisted.internet import protocol, reactor

from banyansail.config.fields import Address
from banyansail.upstreams.body_receiver import read_body
from banyansail.upstreams.engine_api import EngineApi
from banyansail.upstreams.upstream_client import UpstreamCall, UpstreamClient
from tests.live import in_reactor, run_reactor
from tests.router.scripted_upstream import LAST_CHUNK, Script, ScriptedUpstream

COUNT = b'{"tokens": 12}'


def respond(headers: bytes, *parts: bytes, **options) -> Script:
    return Script(b"HTTP/1.1 200 OK\r\n" + headers + b"\r\n", parts, **options)


@pytest.fixture
def upstream():
    run_reactor()
    started = in_reactor(ScriptedUpstream, [], {})
    yield started
    in_reactor(started.kill)


def build_api(upstream: ScriptedUpstream, script: Script) -> EngineApi:
    upstream.script_by_path = {"/requests/": script, "/kv/": script}
    return EngineApi(UpstreamClient(reactor, upstream.address))


@pytest.mark.parametrize(
    "script",
    [
        respond(b"", COUNT),
        respond(b"content-length: 20\r\n", COUNT),
        respond(b"content-length: 20\r\n", COUNT, is_reset=True),
        respond(b"transfer-encoding: chunked\r\n", COUNT),
        respond(b"transfer-encoding: chunked\r\n", COUNT, end=b"0\r\n"),
    ],
    ids=["no length", "short", "short, reset", "no last chunk", "half a last chunk"],
)
def test_a_body_that_may_be_incomplete_gives_no_value(upstream, script):
    api = build_api(upstream, script)
    assert in_reactor(api.token_count, "a") is None
    assert in_reactor(api.export_cache, "a") is None
    assert in_reactor(api.import_cache, "a", {}) is False


@pytest.mark.parametrize(
    "script",
    [
        respond(b"content-length: %d\r\n" % len(COUNT), COUNT),
        respond(b"transfer-encoding: chunked\r\n", COUNT, end=LAST_CHUNK),
    ],
    ids=["length", "chunks"],
)
def test_a_complete_body_gives_its_value(upstream, script):
    api = build_api(upstream, script)
    assert in_reactor(api.token_count, "a") == 12
    assert in_reactor(api.export_cache, "a") == {"tokens": 12}
    assert in_reactor(api.import_cache, "a", {}) is True


class CopyingConnection(protocol.Protocol):
    """Sends a copy of each answer before the next one."""

    copy = b""

    def dataReceived(self, data):
        path = data.split(b" ")[1]
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(path) + path
        self.transport.write(self.copy + answer)
        self.copy = answer


async def answers_of(address, count):
    """Send calls that may not be repeated; return their bodies."""
    client = UpstreamClient(reactor, address)
    calls = [
        UpstreamCall("POST", f"/{number}", b"x", is_repeatable=False)
        for number in range(count)
    ]
    return [await read_body(await client.send(call), 100) for call in calls]


def test_a_call_that_may_not_be_repeated_is_not_answered_by_a_copy():
    """Guards against an order that is taken for refused, or for run (TWICE)."""
    run_reactor()
    factory = protocol.Factory.forProtocol(CopyingConnection)
    port = in_reactor(reactor.listenTCP, 0, factory, 50, "127.0.0.1")
    address = Address("127.0.0.1", port.getHost().port)
    try:
        assert in_reactor(answers_of, address, 3) == [b"/0", b"/1", b"/2"]
    finally:
        in_reactor(port.stopListening)
