"""Group commit by several writers over a platform that loses answers."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock as TwistedClock

from banyansail.coordination.budget import CallBudget
from banyansail.ledger.codec import decode_head
from banyansail.ledger.committer import ShardCommitter
from banyansail.ledger.records import (
    Finished,
    FinishKey,
    ReleaseKey,
    Started,
    StartKey,
    StoredAnswer,
)
from tests.fakes import FakeClock, FakePlatform

ANSWER = StoredAnswer(200, "text/plain", "done")


class SharedShard:
    """Committers of several routers on one shard."""

    def __init__(self, count: int) -> None:
        self.clock = FakeClock()
        self.reactor = TwistedClock()
        self.platform = FakePlatform(self.clock)
        self.committers = [
            ShardCommitter(self.reactor, self.platform, "shard", self.clock)
            for _ in range(count)
        ]

    def submit(self, writer: int, operation) -> list:
        results: list = []
        self.committers[writer].submit(operation).addBoth(results.append)
        return results

    def advance(self, seconds: float) -> None:
        for _ in range(int(seconds / 0.01)):
            self.clock.advance(0.01)
            self.reactor.advance(0.01)

    def records(self):
        return decode_head(self.platform.stored["shard"][1]).record_by_key


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    losses=st.lists(st.booleans(), max_size=12),
    outages=st.lists(st.booleans(), max_size=12),
    starts=st.lists(
        st.tuples(st.integers(0, 2), st.sampled_from("abc")), min_size=1, max_size=12
    ),
)
def test_one_attempt_of_a_key_is_started(losses, outages, starts):
    shard = SharedShard(3)
    shard.platform.lost_answers = losses
    shard.platform.failed_calls = outages
    outcomes = []
    for number, (writer, key) in enumerate(starts):
        results = shard.submit(writer, StartKey(key, f"t{number}", 1))
        outcomes.append((key, results))
        if number % 2:
            shard.advance(0.05)
    shard.advance(10)
    for key in "abc":
        started = [
            1 for name, outcome in outcomes if name == key and outcome == [Started()]
        ]
        assert len(started) <= 1
    assert all(results for _, results in outcomes)


def test_pending_operations_share_one_write():
    shard = SharedShard(1)
    shard.submit(0, StartKey("first", "a", 1))
    shard.advance(0.1)
    before = shard.platform.writes
    shard.submit(0, StartKey("lead", "a", 1))
    shard.advance(0.02)
    for number in range(50):
        shard.submit(0, StartKey(f"k{number}", "a", 1))
        shard.submit(0, FinishKey("first", "a", ANSWER))
    shard.advance(1)
    assert shard.platform.writes - before == 2
    assert len(shard.records()) == 52


def test_failed_start_is_released_when_the_platform_is_back():
    shard = SharedShard(1)
    shard.platform.lost_answers = [True]  # the record is written but the answer is lost
    shard.platform.failed_calls = [
        False,
        False,
        True,
    ]  # the read that follows fails too
    results = shard.submit(0, StartKey("k", "a", 1))
    shard.advance(0.1)
    assert results and results != [Started()]
    shard.advance(5)
    repeated = shard.submit(0, StartKey("k", "b", 1))
    shard.advance(1)
    assert repeated == [Started()]


def test_release_by_another_attempt_changes_nothing():
    shard = SharedShard(2)
    shard.submit(0, StartKey("k", "a", 1))
    shard.advance(0.1)
    shard.submit(1, ReleaseKey("k", "b"))
    shard.advance(1)
    assert shard.records()["k"].claimant_id == "a"


def test_settled_records_are_sealed_and_still_found_by_every_writer():
    shard = SharedShard(2)
    answer = StoredAnswer(200, "text/plain", "x" * 1500)
    count = 300
    for number in range(count):
        shard.submit(0, StartKey(f"k{number}", "a", 1))
        shard.submit(0, FinishKey(f"k{number}", "a", answer))
        if number % 20 == 0:
            shard.advance(1)
    shard.advance(2)
    head = shard.platform.stored["shard"][1]
    assert head["segments"]
    assert len(head["records"]) < count
    for writer in range(2):
        repeats = [
            shard.submit(writer, StartKey(f"k{number}", "b", 1))
            for number in range(count)
        ]
        shard.advance(3)
        assert all(results == [Finished(answer)] for results in repeats)


def test_segments_expire_as_a_whole():
    shard = SharedShard(1)
    seal_keys(shard, "k", 200)
    assert shard.platform.stored["shard"][1]["segments"]
    shard.clock.advance(25 * 3600)
    shard.submit(0, StartKey("new", "a", 1))
    shard.advance(1)
    head = shard.platform.stored["shard"][1]
    assert head["segments"] == []
    assert list(head["records"]) == ["new"]


def seal_keys(shard: SharedShard, name: str, count: int = 40) -> None:
    """Start and finish keys; enough of them that some are sealed."""
    answer = StoredAnswer(200, "text/plain", "x" * 2000)
    for number in range(count):
        shard.submit(0, StartKey(f"{name}{number}", "a", 1))
        shard.submit(0, FinishKey(f"{name}{number}", "a", answer))
        shard.advance(0.05)
    shard.advance(2)


def test_order_that_ran_after_a_refusal_does_not_run_again_once_both_are_sealed():
    shard = SharedShard(1)
    shard.submit(0, StartKey("k", "refused", 1))
    shard.advance(0.1)
    shard.submit(0, ReleaseKey("k", "refused"))
    shard.advance(1)
    shard.clock.advance(600)
    seal_keys(shard, "early")
    second = shard.submit(0, StartKey("k", "second", 1))
    shard.advance(0.1)
    assert second == [Started()]
    shard.submit(0, FinishKey("k", "second", ANSWER))
    shard.advance(1)
    seal_keys(shard, "late")
    assert "k" not in shard.records()
    third = shard.submit(0, StartKey("k", "third", 1))
    shard.advance(0.2)
    assert third == [Finished(ANSWER)]


def test_platform_outage_while_a_segment_is_read_starts_nothing():
    shard = SharedShard(2)
    seal_keys(shard, "k")
    shard.submit(1, StartKey("other", "b", 1))
    shard.advance(0.1)
    shard.platform.failed_calls = [True]  # the read of the key's segment fails
    key = next(f"k{n}" for n in range(40) if f"k{n}" not in shard.records())
    results = shard.submit(1, StartKey(key, "b", 1))
    shard.advance(0.1)
    assert results and results != [Started()]
    shard.advance(5)
    repeated = shard.submit(1, StartKey(key, "c", 1))
    shard.advance(1)
    assert isinstance(repeated[0], Finished)


def test_spent_budget_makes_larger_groups_and_refuses_nothing():
    shard = SharedShard(1)
    shard.submit(0, StartKey("lead", "a", 1))
    shard.advance(1)
    budget = CallBudget(5, 5, shard.clock)
    shard.platform.time_until = budget.time_until
    put = shard.platform.put

    async def put_within_budget(key, body, expected, kind):
        assert budget.try_acquire(kind)
        return await put(key, body, expected, kind)

    shard.platform.put = put_within_budget
    before = shard.platform.writes
    results = []
    for number in range(200):
        results.append(shard.submit(0, StartKey(f"k{number}", "a", 1)))
        shard.advance(0.02)
    shard.advance(1)
    assert all(result == [Started()] for result in results)
    assert shard.platform.writes - before <= 5 + 5 * 5
