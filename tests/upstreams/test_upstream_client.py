"""Auxiliary calls decide on complete answers only."""

from __future__ import annotations

import pytest
from twisted.internet import reactor

from banyansail.upstreams.engine_api import EngineApi
from banyansail.upstreams.upstream_client import UpstreamClient
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
