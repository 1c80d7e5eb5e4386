"""What proves to a router that an upstream ended, when its own link broke."""

from __future__ import annotations

import threading

import pytest

from banyansail.gateway.crash_check import has_ended
from banyansail.wire.call_codec import EmptyReply, NotReached, Reached
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
