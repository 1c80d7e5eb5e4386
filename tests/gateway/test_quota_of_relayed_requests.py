"""Quota of requests that are relayed, retried or not run."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

import pytest
from twisted.internet import defer

from banyansail.config.fields import Address
from banyansail.gateway.decisions.responses.retry_policy import NotSent
from tests.gateway.cut_reactor import Cut
from tests.gateway.live_gateway import KEY, LiveGateway, config_body
from tests.live import in_reactor
from tests.processes import wait_until

TOKENS, REQUESTS, RUNS = 900, 6, 2
QUOTA = {"ratePerS": 100, "burst": 1000, "unit": "tokens"}


class UnreachableRelays:
    """Chooses a router once for each request; it turns out to be unreachable."""

    def __init__(self):
        self.waiting = []

    def choose(self, excluded):
        return None if excluded else Address("127.0.0.1", 1)

    async def send(self, *args, **options):
        waiting = defer.Deferred()
        self.waiting.append(waiting)
        await waiting
        return NotSent("unreachable")

    def end(self):
        for waiting in self.waiting:
            waiting.callback(None)


@pytest.fixture
def live():
    live = LiveGateway(replicas=("d1", "d2"))
    tenant = {"name": "clerks", "apiKeys": [KEY], **QUOTA}
    live.config = config_body(tenants=[tenant])
    with live:
        yield live


def ask(live):
    """Return the statuses of requests whose relays fail at the same time."""
    relays = live.gateway.context.relays = UnreachableRelays()
    with ThreadPoolExecutor(REQUESTS) as pool:
        answers = [
            pool.submit(
                live.call,
                "POST",
                "/orders/1",
                b"x",
                X_Token_Count=str(TOKENS),
                X_Attempt_Id=f"o{number}",
            )
            for number in range(REQUESTS)
        ]
        # A request that the quota rejects is answered and waits for no router.
        wait_until(
            lambda: len(relays.waiting) + sum(item.done() for item in answers)
            == REQUESTS
        )
        in_reactor(relays.end)
        return [answer.result()[0] for answer in answers]


def test_requests_that_run_after_their_relay_failed_are_charged(live):
    """Guards against runs beyond a quota of a router that was cut off (QUOTA)."""
    statuses = ask(live)
    used = live.gateway.context.quota.used_by_workspace["clerks"]
    assert statuses.count(200) > 0
    assert used == TOKENS * statuses.count(200)


def test_requests_that_were_not_charged_are_not_refunded(live):
    """Guards against a use below 0, which gives other routers room (QUOTA)."""
    live.cut_off(Cut.KEEP)
    statuses = ask(live)
    assert 200 not in statuses
    assert live.gateway.context.quota.used_by_workspace["clerks"] >= 0


def test_a_request_that_ran_twice_is_charged_twice(live):
    """Guards against runs beyond a quota by retries of failed ones (QUOTA)."""
    live.set_faults("d", fails=True)
    assert live.call("GET", "/stock/1", X_Token_Count="100")[0] == 500
    assert len(live.runs()) == RUNS
    wait_until(lambda: not live.gateway.request_handler.in_progress)
    used = live.gateway.context.quota.used_by_workspace["clerks"]
    assert used == RUNS * 100


def test_a_request_that_did_not_run_is_refunded(live):
    live.set_faults("d", is_full=True)
    assert live.call("POST", "/orders/1", b"x", X_Token_Count="100")[0] == 503
    wait_until(lambda: not live.gateway.request_handler.in_progress)
    assert live.gateway.context.quota.used_by_workspace["clerks"] == 0
