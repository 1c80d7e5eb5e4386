"""What operators see of the retry budgets."""

from __future__ import annotations

from datetime import timedelta
from types import SimpleNamespace

import eliot
import pytest

from banyansail.gateway.metrics import GatewayMetrics
from banyansail.gateway.sharing.retry_sharing import RetrySharing
from tests.fakes import FakeClock

BUDGET = SimpleNamespace(
    retry_ratio=0.2, retry_slack=58.0, retry_window=timedelta(seconds=10)
)


class Sharing:
    """Sharing of one router that hears of a given number of routers."""

    def __init__(self):
        self.clock = FakeClock()
        self.routers = 8
        self.metrics = GatewayMetrics()
        self.retries = RetrySharing(
            self.clock, BUDGET, self.metrics, lambda: self.routers
        )


@pytest.fixture
def sharing():
    return Sharing()


@pytest.fixture
def lines():
    received = []

    def receive(message):
        if message.get("message_type") == "banyansail:retry_budget":
            received.append(message)

    eliot.add_destinations(receive)
    yield received
    eliot.remove_destination(receive)


def test_the_log_tells_a_wrong_fleet_size_from_a_restart(sharing, lines):
    """Guards against retries beyond the budget whose cause no log shows."""
    for routers in (1, 8):
        sharing.routers = routers
        sharing.retries.update()
        sharing.retries.record_request("engines")
        sharing.retries.withdraw("engines")
        sharing.clock.advance(20)
        sharing.retries.update()
    assert [line["max_routers"] for line in lines] == [1, 8]
    assert [line["uptime_s"] for line in lines] == [20.0, 40.0]
    assert all(line["granted"] + line["refused"] == 1 for line in lines)


def test_a_storm_of_retries_writes_one_line_a_second_for_a_service(sharing, lines):
    """Guards against a log that grows with the retries."""
    for _ in range(100):
        for service in ("engines", "depot"):
            sharing.retries.withdraw(service)
        sharing.clock.advance(0.1)
        sharing.retries.update()
    assert len(lines) <= 2 * 10
    assert sum(line["granted"] + line["refused"] for line in lines) == 2 * 100


def test_the_metrics_count_grants_refusals_and_the_routers_that_share(sharing):
    for _ in range(100):
        sharing.retries.withdraw("engines")
    sharing.retries.set_metrics()
    page = sharing.metrics.render().decode()
    counts = {
        outcome: float(line.rpartition(" ")[2])
        for outcome in ("granted", "refused")
        for line in page.splitlines()
        if line.startswith(f'banyansail_retry_withdrawals_total{{outcome="{outcome}"')
    }
    assert sum(counts.values()) == 100
    assert counts["refused"] > 0
    assert "banyansail_retry_budget_routers 8.0" in page


def test_a_process_that_was_frozen_counts_the_routers_anew_before_it_retries(sharing):
    """Guards against a retry by what a process knew before it was frozen."""
    sharing.clock.advance(20)
    sharing.retries.update()
    assert sharing.retries.withdraw("engines")
    sharing.routers = None
    sharing.clock.advance(30)
    assert not sharing.retries.withdraw("engines")
