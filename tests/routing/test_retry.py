"""Tests of retries: budget, deadline and calls that are not repeatable."""

from __future__ import annotations

from datetime import timedelta
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.routing.event_sequencer import (
    AbortAttempt,
    Deliver,
    Drop,
    EventSequencer,
)
from banyansail.routing.retry import (
    MAX_ATTEMPTS,
    MAX_BACKOFF,
    RETRY_BUDGET_BURST,
    RETRY_BUDGET_SHARE,
    AttemptFailure,
    NoRetry,
    RetryAfterBackoff,
    RetryBudget,
    decide_retry,
)
from tests.naive.decisions import naive_retry

LONG_REMAINING_TIME = timedelta(hours=1)


def decide(failure: AttemptFailure, budget: RetryBudget, **changes):
    options = {
        "is_repeatable": True,
        "attempts": 1,
        "remaining": LONG_REMAINING_TIME,
        "random": Random(1),
        **changes,
    }
    return decide_retry(failure, budget=budget, **options)


def count_attempts(requests: int, retry) -> int:
    """Count the attempts of requests whose attempts all fail."""
    total = 0
    for _ in range(requests):
        attempts = 1
        while isinstance(retry(attempts), RetryAfterBackoff):
            attempts += 1
        total += attempts
    return total


@pytest.mark.parametrize(
    "failure",
    [
        AttemptFailure.REFUSED,
        AttemptFailure.CONNECTION_STALLED,
        AttemptFailure.CONNECTION_LOST,
        AttemptFailure.BAD_ANSWER,
    ],
)
def test_amplification_stays_at_the_share_of_the_budget(failure):
    budget = RetryBudget()

    def ours(attempts: int):
        if attempts == 1:
            budget.deposit()
        return decide(failure, budget, attempts=attempts)

    requests = 10_000
    assert (
        count_attempts(requests, ours)
        <= requests * (1 + RETRY_BUDGET_SHARE) + RETRY_BUDGET_BURST
    )
    assert count_attempts(requests, naive_retry) == 3 * requests


@settings(derandomize=True, deadline=None)
@given(
    failure=st.sampled_from(AttemptFailure),
    attempts=st.integers(1, MAX_ATTEMPTS + 2),
    remaining=st.floats(0, 30),
)
def test_non_repeatable_call_is_never_retried_once_sent(failure, attempts, remaining):
    decision = decide(
        failure,
        RetryBudget(),
        is_repeatable=False,
        attempts=attempts,
        remaining=timedelta(seconds=remaining),
    )
    if failure not in (AttemptFailure.NOT_SENT, AttemptFailure.REFUSED):
        assert isinstance(decision, NoRetry)


@settings(derandomize=True, deadline=None)
@given(attempts=st.integers(1, 3), remaining=st.floats(0, 2), seed=st.integers(0, 99))
def test_backoff_fits_inside_the_deadline(attempts, remaining, seed):
    decision = decide(
        AttemptFailure.CONNECTION_LOST,
        RetryBudget(),
        attempts=attempts,
        remaining=timedelta(seconds=remaining),
        random=Random(seed),
    )
    if isinstance(decision, RetryAfterBackoff):
        assert decision.delay < timedelta(seconds=remaining)
        assert decision.delay <= MAX_BACKOFF


def test_announced_reclaim_is_always_retried():
    budget = RetryBudget(burst=0)
    decision = decide(AttemptFailure.RECLAIMED, budget, attempts=99)
    assert decision == RetryAfterBackoff(timedelta(0))


@settings(derandomize=True, deadline=None)
@given(
    total=st.integers(1, 30),
    breaks=st.lists(st.tuples(st.integers(0, 30), st.integers(0, 3)), max_size=5),
)
def test_stream_broken_anywhere_loses_and_repeats_no_token(total, breaks):
    """Each attempt resumes at or shortly before the break of the last one."""
    sequencer = EventSequencer()
    delivered: list[int] = []
    for length, overlap in [*breaks, (total, 0)]:
        start = max(0, sequencer.next_index - overlap)
        for index in range(start, min(total, start + length)):
            match sequencer.accept(index):
                case Deliver():
                    delivered.append(index)
                case Drop():
                    assert index in delivered
                case AbortAttempt():
                    raise AssertionError("abort without a gap in the events")
    for index in range(sequencer.next_index, total):
        sequencer.accept(index)
        delivered.append(index)
    assert delivered == list(range(total))


def test_gap_aborts_the_attempt():
    sequencer = EventSequencer(3)
    assert isinstance(sequencer.accept(4), AbortAttempt)
    assert isinstance(sequencer.accept(3), Deliver)


@pytest.mark.parametrize("indexes", [(), (2,), (0, 1, 2), (3,), (1, 2, 3, 4)])
def test_an_answer_may_end_with_or_after_the_last_delivered_event(indexes):
    sequencer = EventSequencer(3)
    sequencer.start_attempt()
    for index in indexes:
        sequencer.accept(index)
    assert sequencer.accept_end() is None


@pytest.mark.parametrize("indexes", [(0,), (0, 1), (1,)])
def test_an_answer_that_ends_before_the_last_delivered_event_is_aborted(indexes):
    sequencer = EventSequencer()
    for index in range(3):
        sequencer.accept(index)
    sequencer.start_attempt()
    for index in indexes:
        sequencer.accept(index)
    assert isinstance(sequencer.accept_end(), AbortAttempt)
