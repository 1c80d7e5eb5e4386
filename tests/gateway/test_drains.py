"""What a stopping router waits for."""

from __future__ import annotations

import signal
import time
from pathlib import Path

from banyansail.gateway.drain import BALANCER_REMOVAL_TIME
from tests.gateway.mixed_fleet import MixedFleet
from tests.gateway.test_streams_of_ended_routers import open_stream, read_to_end

ROOT = Path(__file__).parent.parent.parent
GRACE_S = 9
EXIT_S = 2  # of a process without requests


class LongGraceFleet(MixedFleet):
    def _settings(self, name):
        return {**super()._settings(name), "grace_s": GRACE_S}


def test_a_caller_that_keeps_its_half_open_does_not_hold_up_a_stop(tmp_path):
    with LongGraceFleet(tmp_path, ("e1",)) as fleet:
        fleet.replica_by_name["e1"].state.events = 5
        fleet.start(ROOT, "front-1")
        with open_stream(fleet, b"1.0") as connection:
            received = read_to_end(connection, None)
            assert b"content-length" not in received.lower()
            stopped_at = time.monotonic()
            process = fleet.programs.process_by_name["front-1"]
            process.send_signal(signal.SIGTERM)
            process.wait(timeout=GRACE_S + EXIT_S)
            stop_s = time.monotonic() - stopped_at
    assert stop_s < BALANCER_REMOVAL_TIME.total_seconds() + EXIT_S
