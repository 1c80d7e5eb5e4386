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

    def higher_ranked(self, duty: str, count: int) -> list[str]:
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


class Asker:
    """A client behind two owners."""

    def __init__(self, first: str, second: str) -> None:
        self.clock = FakeClock()
        self.reactor = TwistedClock()
        self.platform = FakePlatform(self.clock)
        self.forwarder = Forwarder({"first": first, "second": second})
        self.client = LedgerClient(
            self.reactor, self.platform, self.clock, Owners(), self.forwarder
        )

    def start(self, key: str, seconds: float) -> list:
        """Start a key; return what came of it within a time."""
        results: list = []
        done = self.client.perform(StartKey(key, "a", 1))
        defer.Deferred.fromCoroutine(done).addBoth(results.append)
        self.advance(seconds)
        return results

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)
            self.reactor.advance(0.1)


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
    asker = Asker(first, second)
    assert asker.start("k", 5) == [Started()]
    assert asker.forwarder.asked == asked
    assert asker.platform.writes == writes


def test_owner_that_did_not_answer_is_left_out_for_a_while():
    asker = Asker("silent", "answers")
    assert asker.start("k", 1.2) == [Started()]
    assert asker.start("k", 0.1) == [Started()]  # at once
    assert asker.forwarder.asked == ["first", "second", "second"]
    asker.forwarder.behaviour_by_name["first"] = "answers"
    asker.advance(5)
    assert asker.start("k", 0.1) == [Started()]
    assert asker.forwarder.asked[-1] == "first"
