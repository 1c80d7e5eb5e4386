"""Operations are forwarded to the owners of a shard while these answer."""

from __future__ import annotations

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock as TwistedClock

from banyansail.exceptions import WireError
from banyansail.ledger.client import LedgerClient
from banyansail.ledger.records import Started, StartKey
from tests.fakes import FakeClock, FakePlatform


class FakeOwners:
    """Two owners that rank above this router."""

    def higher_ranked(self, duty: str, count: int) -> list[str]:
        return ["first", "second"][:count]


class FakeForwarder:
    """Routers that answer, are unreachable, or never answer."""

    def __init__(self, behaviour_by_name: dict[str, str]) -> None:
        self.behaviour_by_name = behaviour_by_name
        self.forwarded_to: list[str] = []

    async def forward_operation(self, router: str, operation: StartKey) -> Started:
        self.forwarded_to.append(router)
        match self.behaviour_by_name[router]:
            case "answers":
                return Started()
            case "not reached":
                raise WireError("no connection")
        await defer.Deferred()


class ClientWithOwners:
    """A ledger client that two owners rank above."""

    def __init__(self, first: str, second: str) -> None:
        self.clock = FakeClock()
        self.reactor = TwistedClock()
        self.platform = FakePlatform(self.clock)
        self.forwarder = FakeForwarder({"first": first, "second": second})
        self.client = LedgerClient(
            self.reactor, self.platform, self.clock, FakeOwners(), self.forwarder
        )

    def start(self, key: str, seconds: float) -> list:
        """Start a key; return the results that arrive within a time."""
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
    ("first", "second", "forwarded_to", "writes"),
    [
        ("answers", "answers", ["first"], 0),
        ("not reached", "answers", ["first", "second"], 0),
        ("silent", "answers", ["first", "second"], 0),
        ("silent", "silent", ["first", "second"], 1),
        ("not reached", "not reached", ["first", "second"], 1),
    ],
)
def test_two_owners_are_tried_before_a_router_writes_itself(
    first, second, forwarded_to, writes
):
    requester = ClientWithOwners(first, second)
    assert requester.start("k", 5) == [Started()]
    assert requester.forwarder.forwarded_to == forwarded_to
    assert requester.platform.writes == writes


def test_owner_that_did_not_answer_is_skipped_for_a_while():
    requester = ClientWithOwners("silent", "answers")
    assert requester.start("k", 1.2) == [Started()]
    assert requester.start("k", 0.1) == [Started()]  # without a timeout
    assert requester.forwarder.forwarded_to == ["first", "second", "second"]
    requester.forwarder.behaviour_by_name["first"] = "answers"
    requester.advance(5)
    assert requester.start("k", 0.1) == [Started()]
    assert requester.forwarder.forwarded_to[-1] == "first"
