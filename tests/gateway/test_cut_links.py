"""A running gateway that loses its links to some upstreams while these go on."""

from __future__ import annotations

import threading
import time

from tests.gateway.cut_reactor import Cut
from tests.gateway.live_gateway import LiveGateway
from tests.processes import wait_until

ENGINES = ("e1", "e2", "e3", "e4")
BREAKS = 4  # more than the crashes that a request is quarantined for
BREAK_PAUSE_S = 0.4


def break_a_stream(live):
    """Cut the links to all engines off while a stream runs at one of them."""
    runs = len(live.runs())
    answers = []
    call = threading.Thread(
        target=lambda: answers.append(live.try_call("POST", "/draft/sound", b"x"))
    )
    call.start()
    wait_until(lambda: len(live.runs()) > runs or not call.is_alive())
    live.cut_off(Cut.RESET, ENGINES)
    call.join()
    time.sleep(BREAK_PAUSE_S)
    live.heal()


def test_a_sound_request_is_not_rejected_as_crashing_after_its_links_broke():
    with LiveGateway(replicas=("d1", "d2", *ENGINES), routers=2) as live:
        for replica in live.replica_by_name.values():
            replica.state.pause_s = 0.2
        for _ in range(BREAKS):
            break_a_stream(live)
        for replica in live.replica_by_name.values():
            replica.state.pause_s = 0.01
        assert live.call("POST", "/draft/sound", b"x")[0] == 200
