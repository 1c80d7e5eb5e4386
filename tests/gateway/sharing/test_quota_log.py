"""What operators see of quotas that are nearly used up."""

from __future__ import annotations

from random import Random

import eliot
import pytest

from banyansail.gateway.decisions.limits.quota import QuotaLimiter
from banyansail.gateway.sharing.quota_log import QuotaLog
from tests.fakes import FakeClock
from tests.gateway.builders import workspace


@pytest.fixture
def lines():
    received = []

    def receive(message):
        if message.get("message_type") == "banyansail:quota_low":
            received.append(message)

    eliot.add_destinations(receive)
    yield received
    eliot.remove_destination(receive)


def ask(limiter, log, clock, owner, seconds, requests_per_step=1):
    """Let callers ask for ten units at a time."""
    for _ in range(round(seconds * 10)):
        clock.advance(0.1)
        for _ in range(requests_per_step):
            limiter.charge(owner, 10)
        log.update()


def test_the_log_tells_a_surge_from_a_restart_and_from_a_wrong_count(lines):
    """Guards against use beyond a quota whose cause no log shows."""
    clock = FakeClock()
    owner = workspace(rate=100, burst=100)
    for known_routers, seconds in ((2, 30), (1, 0)):
        limiter = QuotaLimiter(clock, Random(1))
        log = QuotaLog(clock, limiter)
        limiter.workspace_by_name = {owner.name: owner}
        limiter.known_routers = known_routers
        clock.advance(seconds)
        limiter.merge_peer_use("others", 1, {"w": 0.0}, routers=1)
        clock.advance(0.4)
        limiter.merge_peer_use("others", 1, {"w": 500.0}, routers=1)
        log.update()
        ask(limiter, log, clock, owner, 1, requests_per_step=5)
    surge, restart = lines
    assert surge["uptime_s"] > 30 > 2 > restart["uptime_s"]
    assert surge["rejected"] > 0 > surge["level"]
    assert (surge["known_routers"], restart["known_routers"]) == (2, 1)
    assert (surge["routers"], surge["suspects"]) == (2, 0)
    assert surge["report_age_s"] == pytest.approx(1.0)


def test_a_surge_writes_one_line_a_second_for_a_workspace(lines):
    """Guards against a log that grows with the rejected requests."""
    clock = FakeClock()
    limiter = QuotaLimiter(clock, Random(1))
    log = QuotaLog(clock, limiter)
    ask(limiter, log, clock, workspace(rate=100, burst=100), 10, requests_per_step=20)
    assert len(lines) <= 10
    counted = sum(line["admitted"] + line["rejected"] for line in lines)
    assert counted == pytest.approx(10 * 10 * 20, abs=10 * 20)


def test_a_workspace_far_below_its_quota_writes_no_line(lines):
    clock = FakeClock()
    limiter = QuotaLimiter(clock, Random(1))
    log = QuotaLog(clock, limiter)
    owner = workspace(rate=1000, burst=1000)
    clock.advance(10)
    ask(limiter, log, clock, owner, 10)
    assert lines == []
