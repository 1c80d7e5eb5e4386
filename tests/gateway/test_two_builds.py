"""A fleet whose gateways are replaced by another build, one by one, and back."""

from __future__ import annotations

import signal
import time
from collections import Counter

import pytest

from tests.builds import ROOT, MissingBuildError, extract_build, production_commit
from tests.gateway.mixed_fleet import (
    QUOTA_BURST,
    QUOTA_KEY,
    QUOTA_RATE,
    QUOTA_SLACK,
    ZONE_BY_ROUTER,
    Caller,
    MixedFleet,
    most_in_a_window,
)
from tests.live import in_reactor
from tests.processes import wait_until

REPLICAS = ("d1", "d2", "e1", "e2", "l1", "b1", "b2")
WINDOW_S = 4.0
LIMIT_PER_S = 4.0
BREAKING_CALLERS = 6
LIMITED_CALLERS = 8  # each waits for its answer; together they ask for more
ALLOWED_BY_LIMIT = 1.5 * LIMIT_PER_S * WINDOW_S + 5  # by the platform's rule
ALLOWED_BY_QUOTA = QUOTA_RATE * WINDOW_S + QUOTA_BURST + QUOTA_SLACK
KILLED = "front-2"  # the others are stopped gracefully
MOVE_S = 6
EVENTS = 6


@pytest.fixture
def older_build(tmp_path):
    try:
        return extract_build(production_commit(), tmp_path / "older")
    except MissingBuildError as error:
        pytest.skip(f"the history has no such build: {error}")


@pytest.fixture
def fleet(tmp_path, older_build):
    """A fleet of the older build only."""
    with MixedFleet(tmp_path, REPLICAS) as fleet:
        for replica in fleet.replica_by_name.values():
            replica.state.events, replica.state.pause_s = EVENTS, 0.03
            replica.state.slots = 16
        fleet.replica_by_name["l1"].faults.limit = str(LIMIT_PER_S)
        for name in ("b1", "b2"):  # requests are nearly always running
            fleet.replica_by_name[name].state.pause_s = 0.1
        fleet.start(older_build, *ZONE_BY_ROUTER)
        yield fleet


def replace_all(fleet, build):
    """Replace one gateway after the other; each gets the configuration in time."""
    for name in ZONE_BY_ROUTER:
        fleet.stop(name, signal.SIGKILL if name == KILLED else signal.SIGTERM)
        fleet.start(build, name)
        # Routers of both builds ask each other whether the upstream has ended.
        fleet.restart_replica("b1")
        fleet.publish_config()
        for other in ZONE_BY_ROUTER:
            wait_until(lambda: fleet.has_config(other))  # noqa: B023


def start_move(fleet):
    spec = {"service": "engines", "target": "v2", "durationS": MOVE_S}
    in_reactor(lambda: fleet.store.state.put("rollouts", "engines", spec=spec))


def move_state(fleet):
    stored = fleet.store.state.objects["rollouts", "engines"]
    return (stored["status"] or {}).get("state")


def runs(fleet):
    """Return how often each attempt ran."""
    return Counter(
        attempt
        for replica in fleet.replica_by_name.values()
        for attempt in replica.state.runs
    )


def check_all_answered(caller):
    """Check that only requests at the killed gateway got no answer."""
    assert caller.answers
    assert caller.statuses() <= {200, None}, Counter(
        (answer.router, answer.status) for answer in caller.answers
    )
    lost = [answer.router for answer in caller.answers if answer.status is None]
    assert set(lost) <= {KILLED}


def check_orders(fleet, caller):
    check_all_answered(caller)
    run_count = runs(fleet)
    for answer in caller.answers:
        assert run_count[answer.attempt] <= 1, answer.attempt
        if answer.status == 200:
            assert run_count[answer.attempt] == 1, answer.attempt


def check_streams(caller):
    check_all_answered(caller)
    whole = [f"id: {number}".encode() for number in range(1, EVENTS + 1)]
    for answer in caller.answers:
        if answer.status == 200:
            lines = answer.body.splitlines()
            assert [line for line in lines if line.startswith(b"id: ")] == whole


def check_quota(caller):
    """Check that no window has more than the quota, and that it was used up."""
    assert 429 in caller.statuses()
    served = [answer.ended_at for answer in caller.answers if answer.status == 200]
    assert most_in_a_window(served, WINDOW_S) <= ALLOWED_BY_QUOTA
    duration = served[-1] - served[0]
    assert len(served) >= QUOTA_RATE * duration / 2


def learn_limit(fleet):
    """Let each router get an answer that names the limit."""
    for name in ZONE_BY_ROUTER:
        assert fleet.call(name, "GET", "/limited/first", f"first-{name}")[0] == 200
    time.sleep(1)  # all reports have arrived


def check_limit(fleet, callers):
    """Check that the upstream got no more than its limit, and most of it."""
    for caller in callers:  # a request that waits for the limit may run out of time
        assert caller.statuses() <= {200, 503, 504, None}
    arrived_at = fleet.replica_by_name["l1"].state.arrived_at
    since_start = [round(at - arrived_at[0], 2) for at in arrived_at]
    assert most_in_a_window(arrived_at, WINDOW_S) <= ALLOWED_BY_LIMIT, since_start
    duration = arrived_at[-1] - arrived_at[0]
    assert len(arrived_at) >= LIMIT_PER_S * duration / 2


def test_promises_hold_while_routers_of_two_builds_run_side_by_side(fleet, older_build):
    """Guards against a message of one build that the other one can't take.

    A router that meets one loses the connection, and the calls on it, or the rest of a
    datagram: its quota, limit, configuration or move is then that of a lone router.
    """
    callers = {
        "orders": Caller(fleet, "POST", "/orders/", pause_s=0.03),
        "streams": Caller(fleet, "POST", "/draft/", pause_s=0.03),
        "lookups": Caller(fleet, "GET", "/stock/", pause_s=0.03),
        "quota": Caller(fleet, "GET", "/stock/", pause_s=0.01, key=QUOTA_KEY),
    }
    breaking = [
        Caller(fleet, "GET", "/breaking/", pause_s=0.02)
        for _ in range(BREAKING_CALLERS)
    ]
    limited = [
        Caller(fleet, "GET", "/limited/", pause_s=0.03) for _ in range(LIMITED_CALLERS)
    ]
    learn_limit(fleet)
    for caller in [*callers.values(), *limited, *breaking]:
        caller.start()
    start_move(fleet)
    replace_all(fleet, ROOT)
    wait_until(lambda: move_state(fleet) == "completed")
    replace_all(fleet, older_build)
    time.sleep(1)  # all of one build again
    for caller in [*callers.values(), *limited, *breaking]:
        caller.stop()
    check_orders(fleet, callers["orders"])
    check_streams(callers["streams"])
    check_all_answered(callers["lookups"])
    for caller in breaking:
        check_all_answered(caller)
    check_quota(callers["quota"])
    check_limit(fleet, limited)
    assert fleet.faults() == []
    assert fleet.has_logged("peer_reported_crash")  # routers have asked each other
