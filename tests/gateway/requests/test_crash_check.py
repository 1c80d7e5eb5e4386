"""What proves to a router that an upstream ended, when its own link broke."""

from __future__ import annotations

import threading

import pytest

from banyansail.config.fields import Address
from banyansail.gateway.requests.crash_check import CrashCheck, has_ended
from banyansail.gateway.upstream import Upstream
from banyansail.wire.call_types import (
    EmptyReply,
    NotReached,
    NotSupported,
    Reached,
    ReachIncarnation,
    ReachUpstream,
)
from tests.fakes import run_now
from tests.gateway.live_gateway import LiveGateway
from tests.live import in_reactor
from tests.processes import wait_until

YES, NO, SILENT = Reached(), NotReached(), EmptyReply()
ENGINES = tuple(f"e{number}" for number in range(8))
ENDS = 4  # more than the crashes that a request is quarantined for


@pytest.mark.parametrize(
    ("near", "far", "is_near", "expected"),
    [
        ([YES], [NO], False, False),
        ([NO], [YES], True, False),
        ([NO, SILENT], [NO], False, True),
        ([SILENT, SILENT], [NO], False, False),  # its data centre is cut off
        ([SILENT], [SILENT], True, False),
        ([], [SILENT], True, True),
        ([], [SILENT], False, False),  # this router is cut off
        ([], [NO], False, True),
        ([], [], False, True),  # the only router
    ],
)
def test_an_upstream_has_ended_only_if_its_own_data_centre_says_so(
    near, far, is_near, expected
):
    assert has_ended(near, far, is_near=is_near) is expected


def test_upstreams_that_leave_and_end_do_not_make_a_request_suspect():
    with LiveGateway(replicas=ENGINES) as live:
        for replica in live.replica_by_name.values():
            replica.state.pause_s = 0.3
        for _ in range(ENDS):
            end_the_running_upstream(live)
        assert live.call("POST", "/draft/sound", b"x")[0] == 200


def end_the_running_upstream(live):
    runs = len(live.runs())
    call = threading.Thread(target=lambda: live.try_call("POST", "/draft/sound", b"x"))
    call.start()
    wait_until(lambda: len(live.runs()) > runs or not call.is_alive())
    for name in ENGINES:
        running = live.running_by_name[name]
        if running.port is None or not live.replica_by_name[name].state.runs:
            continue
        address = running.address
        in_reactor(lambda: live.announce(name, address, state="draining"))  # noqa: B023
        wait_until(lambda: is_leaving(live, name))  # noqa: B023
        in_reactor(running.kill)
    call.join()


def is_leaving(live, name):
    return live.gateway.dispatcher.load_of(name).upstream.is_leaving


@pytest.fixture
def fleet():
    with LiveGateway(replicas=("d1",), routers=2) as live:
        yield live


def ask_other_router(live, call):
    """Return the answer of the first router to a call of the second one."""
    asking = live.other_gateways[0]
    member = asking.link.live_peers()[live.gateway.settings.name]
    return in_reactor(asking.link.call, member, call)


def announce_again(live, born):
    address = live.running_by_name["d1"].address
    in_reactor(lambda: live.announce("d1", address, born=born))
    wait_until(
        lambda: live.gateway.dispatcher.load_of("d1").upstream.started_at == born
    )


def test_the_process_that_runs_under_an_id_is_reached(fleet):
    assert ask_other_router(fleet, ReachIncarnation("d1", 1)) == Reached()
    assert ask_other_router(fleet, ReachUpstream("d1")) == Reached()


def test_a_process_whose_id_another_one_has_now_is_not_reached(fleet):
    """Guards against a restarted upstream that counts as not crashed."""
    announce_again(fleet, 2)
    assert ask_other_router(fleet, ReachIncarnation("d1", 1)) == NotReached()
    assert ask_other_router(fleet, ReachIncarnation("d1", 2)) == Reached()
    assert ask_other_router(fleet, ReachUpstream("d1")) == Reached()


def test_nothing_is_said_of_a_process_that_is_not_known_yet(fleet):
    assert ask_other_router(fleet, ReachIncarnation("d1", 9)) == EmptyReply()
    assert ask_other_router(fleet, ReachIncarnation("d9", 1)) == EmptyReply()


class _Link:
    """Link to one router that replies by the type of the call."""

    def __init__(self, reply_by_type) -> None:
        self.reply_by_type = reply_by_type
        self.calls = []

    async def call(self, member, call):
        self.calls.append(call)
        return self.reply_by_type[type(call)]


@pytest.mark.parametrize(
    ("replies", "born", "asked", "expected"),
    [
        ({ReachIncarnation: NO}, 5, [ReachIncarnation("u", 5)], NO),
        (
            {ReachIncarnation: NotSupported(), ReachUpstream: YES},
            5,
            [ReachIncarnation("u", 5), ReachUpstream("u")],
            YES,
        ),
        ({ReachUpstream: YES}, 0, [ReachUpstream("u")], YES),  # start time unknown
        ({ReachUpstream: YES}, 2**70, [ReachUpstream("u")], YES),
    ],
)
def test_a_router_that_does_not_know_the_new_call_gets_the_old_one(
    replies, born, asked, expected
):
    link = _Link(replies)
    upstream = Upstream("u", "s", Address("10.0.0.1", 1), "z", "v1", 1, started_at=born)
    reply = run_now(CrashCheck(None, link)._call(None, upstream))
    assert (link.calls, reply) == (asked, expected)


def test_not_supported_counts_as_no_answer():
    assert not has_ended([NotSupported()], [NO], is_near=False)
    assert has_ended([NotSupported()], [NO], is_near=False) is has_ended(
        [SILENT], [NO], is_near=False
    )
