"""A running gateway whose upstreams fall silent for a second or so and go on."""

from __future__ import annotations

import socket
from threading import Timer

import pytest
from twisted.internet import defer

from tests.gateway.live_gateway import LiveGateway
from tests.live import in_reactor

SILENCE_S = 1.5
MAX_SILENCE_S = 2.0  # "a second or so"
MAX_DETECTION_S = 5.0  # of an upstream that never goes on


@pytest.fixture
def live():
    with LiveGateway(replicas=("d1", "e1", "e2")) as live:
        for replica in live.replica_by_name.values():
            replica.state.events = 4
        yield live


def test_a_stream_goes_on_after_its_upstream_was_silent(live):
    live.set_faults("e", is_silent=True)
    timer = Timer(SILENCE_S, lambda: live.set_faults("e", is_silent=False))
    timer.start()
    status, _, body = live.call("POST", "/draft/1", b"x")
    timer.join()
    assert status == 200
    assert body.count(b"id: ") == 4
    assert live.runs() == ["a-draft-1"]


def option(handle, name):
    return handle.getsockopt(socket.IPPROTO_TCP, name)


def keepalive_end_s(handle):
    """Return the silence after which Linux gives up an idle connection, in seconds."""
    idle = option(handle, socket.TCP_KEEPIDLE)
    interval = option(handle, socket.TCP_KEEPINTVL)
    user_timeout_s = option(handle, socket.TCP_USER_TIMEOUT) / 1000
    if not user_timeout_s:
        return idle + interval * option(handle, socket.TCP_KEEPCNT)
    end = idle + interval  # the first probe has to be unanswered
    while end < user_timeout_s:
        end += interval
    return end


def test_the_socket_options_bear_a_silent_upstream_and_end_a_dead_one(live):
    upstream = live.gateway.dispatcher.load_of("e1").upstream
    pool = live.gateway.context.pool_of(upstream.address)
    connection = in_reactor(lambda: defer.Deferred.fromCoroutine(pool.connect()))
    handle = connection.transport.getHandle()
    unacknowledged_s = option(handle, socket.TCP_USER_TIMEOUT) / 1000
    for end_s in (keepalive_end_s(handle), unacknowledged_s):
        assert MAX_SILENCE_S < end_s <= MAX_DETECTION_S
    in_reactor(connection.close)
