"""Group commit over a platform that loses answers, with several writers."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock as TwistedClock

from banyansail.coordination.budget import CallBudget
from banyansail.ledger.codec import decode_records
from banyansail.ledger.committer import ShardCommitter
from banyansail.ledger.records import (
    Finished,
    FinishKey,
    KeptAnswer,
    ReleaseKey,
    Started,
    StartKey,
)
from tests.fakes import FakeClock, FakePlatform

ANSWER = KeptAnswer(200, "text/plain", "done")


class Writers:
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
        return decode_records(self.platform.stored["shard"][1]).record_by_key


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    losses=st.lists(st.booleans(), max_size=12),
    outages=st.lists(st.booleans(), max_size=12),
    starts=st.lists(
        st.tuples(st.integers(0, 2), st.sampled_from("abc")), min_size=1, max_size=12
    ),
)
def test_one_attempt_of_a_key_is_started(losses, outages, starts):
    writers = Writers(3)
    writers.platform.lost_answers = losses
    writers.platform.failed_calls = outages
    outcomes = []
    for number, (writer, key) in enumerate(starts):
        results = writers.submit(writer, StartKey(key, f"t{number}", 1))
        outcomes.append((key, results))
        if number % 2:
            writers.advance(0.05)
    writers.advance(10)
    for key in "abc":
        started = [1 for name, got in outcomes if name == key and got == [Started()]]
        assert len(started) <= 1
    assert all(results for _, results in outcomes)


def test_company_shares_one_write():
    writers = Writers(1)
    writers.submit(0, StartKey("first", "a", 1))
    writers.advance(0.1)
    before = writers.platform.writes
    writers.submit(0, StartKey("lead", "a", 1))
    writers.advance(0.02)
    for number in range(50):
        writers.submit(0, StartKey(f"k{number}", "a", 1))
        writers.submit(0, FinishKey("first", "a", ANSWER))
    writers.advance(1)
    assert writers.platform.writes - before == 2
    assert len(writers.records()) == 52


def test_failed_start_is_released_when_the_platform_is_back():
    writers = Writers(1)
    writers.platform.lost_answers = [True]  # the record is written, its answer is lost
    writers.platform.failed_calls = [False, False, True]  # and so is the reading back
    results = writers.submit(0, StartKey("k", "a", 1))
    writers.advance(0.1)
    assert results and results != [Started()]
    writers.advance(5)
    again = writers.submit(0, StartKey("k", "b", 1))
    writers.advance(1)
    assert again == [Started()]


def test_release_by_a_stranger_changes_nothing():
    writers = Writers(2)
    writers.submit(0, StartKey("k", "a", 1))
    writers.advance(0.1)
    writers.submit(1, ReleaseKey("k", "b"))
    writers.advance(1)
    assert writers.records()["k"].attempt == "a"


def test_settled_records_are_sealed_and_still_found_by_every_writer():
    writers = Writers(2)
    body = KeptAnswer(200, "text/plain", "x" * 1500)
    count = 300
    for number in range(count):
        writers.submit(0, StartKey(f"k{number}", "a", 1))
        writers.submit(0, FinishKey(f"k{number}", "a", body))
        if number % 20 == 0:
            writers.advance(1)
    writers.advance(2)
    head = writers.platform.stored["shard"][1]
    assert head["segments"]
    assert len(head["records"]) < count
    for writer in range(2):
        repeats = [
            writers.submit(writer, StartKey(f"k{number}", "b", 1))
            for number in range(count)
        ]
        writers.advance(3)
        assert all(results == [Finished(body)] for results in repeats)


def test_segments_expire_as_a_whole():
    writers = Writers(1)
    fill(writers, "k", 200)
    assert writers.platform.stored["shard"][1]["segments"]
    writers.clock.advance(25 * 3600)
    writers.submit(0, StartKey("new", "a", 1))
    writers.advance(1)
    head = writers.platform.stored["shard"][1]
    assert head["segments"] == []
    assert list(head["records"]) == ["new"]


def fill(writers: Writers, name: str, count: int = 40) -> None:
    """Start and finish keys until some of them are sealed."""
    body = KeptAnswer(200, "text/plain", "x" * 2000)
    for number in range(count):
        writers.submit(0, StartKey(f"{name}{number}", "a", 1))
        writers.submit(0, FinishKey(f"{name}{number}", "a", body))
        writers.advance(0.05)
    writers.advance(2)


def test_order_that_ran_after_a_refusal_does_not_run_again_once_both_are_sealed():
    writers = Writers(1)
    writers.submit(0, StartKey("k", "refused", 1))
    writers.advance(0.1)
    writers.submit(0, ReleaseKey("k", "refused"))
    writers.advance(1)
    writers.clock.advance(600)
    fill(writers, "early")
    second = writers.submit(0, StartKey("k", "second", 1))
    writers.advance(0.1)
    assert second == [Started()]
    writers.submit(0, FinishKey("k", "second", ANSWER))
    writers.advance(1)
    fill(writers, "late")
    assert "k" not in writers.records()
    third = writers.submit(0, StartKey("k", "third", 1))
    writers.advance(0.2)
    assert third == [Finished(ANSWER)]


def test_platform_outage_while_a_segment_is_read_starts_nothing():
    writers = Writers(2)
    fill(writers, "k")
    writers.submit(1, StartKey("other", "b", 1))
    writers.advance(0.1)
    writers.platform.failed_calls = [True]  # of the segment that holds the key
    key = next(f"k{n}" for n in range(40) if f"k{n}" not in writers.records())
    results = writers.submit(1, StartKey(key, "b", 1))
    writers.advance(0.1)
    assert results and results != [Started()]
    writers.advance(5)
    again = writers.submit(1, StartKey(key, "c", 1))
    writers.advance(1)
    assert isinstance(again[0], Finished)


def test_spent_budget_makes_larger_groups_and_refuses_nothing():
    writers = Writers(1)
    writers.submit(0, StartKey("lead", "a", 1))
    writers.advance(1)
    budget = CallBudget(5, 5, writers.clock)
    writers.platform.time_until = budget.time_until
    put = writers.platform.put

    async def put_within_budget(key, body, expected, kind):
        assert budget.try_acquire(kind)
        return await put(key, body, expected, kind)

    writers.platform.put = put_within_budget
    before = writers.platform.writes
    results = []
    for number in range(200):
        results.append(writers.submit(0, StartKey(f"k{number}", "a", 1)))
        writers.advance(0.02)
    writers.advance(1)
    assert all(result == [Started()] for result in results)
    assert writers.platform.writes - before <= 5 + 5 * 5
