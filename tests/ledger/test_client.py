"""Operations go through the owners of a shard while these answer."""

from __future__ import annotations

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock as TwistedClock

from banyansail.exceptions import WireError
from banyansail.ledger.client import LedgerClient
from banyansail.ledger.records import Started, StartKey
from tests.fakes import FakeClock, FakePlatform


class Owners:
    """Two owners before this router."""

    def ranked_before(self, duty: str, count: int) -> list[str]:
        return ["first", "second"][:count]


class Forwarder:
    """Routers that answer, are not reached, or stay silent."""

    def __init__(self, behaviour_by_name: dict[str, str]) -> None:
        self.behaviour_by_name = behaviour_by_name
        self.asked: list[str] = []

    async def forward_operation(self, router: str, operation: StartKey) -> Started:
        self.asked.append(router)
        match self.behaviour_by_name[router]:
            case "answers":
                return Started()
            case "not reached":
                raise WireError("no connection")
        await defer.Deferred()


@pytest.mark.parametrize(
    ("first", "second", "asked", "writes"),
    [
        ("answers", "answers", ["first"], 0),
        ("not reached", "answers", ["first", "second"], 0),
        ("silent", "answers", ["first", "second"], 0),
        ("silent", "silent", ["first", "second"], 1),
        ("not reached", "not reached", ["first", "second"], 1),
    ],
)
def test_two_owners_are_asked_before_a_router_writes_itself(
    first, second, asked, writes
):
    clock = FakeClock()
    reactor = TwistedClock()
    platform = FakePlatform(clock)
    forwarder = Forwarder({"first": first, "second": second})
    client = LedgerClient(reactor, platform, clock, Owners(), forwarder)
    done = defer.Deferred.fromCoroutine(client.perform(StartKey("k", "a", 1)))
    results: list = []
    done.addBoth(results.append)
    for _ in range(50):
        clock.advance(0.1)
        reactor.advance(0.1)
    assert results == [Started()]
    assert forwarder.asked == asked
    assert platform.writes == writes
