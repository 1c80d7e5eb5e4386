from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.gateway.decisions.responses.retry_policy import (
    Answered,
    Deliver,
    Incomplete,
    NotSent,
    Progress,
    Retry,
    attempt_timeout,
    next_step,
)
from banyansail.gateway.request_types import Rejection, ReplyHead, RunStatus
from banyansail.gateway.site import RouteKind
from tests.gateway.builders import route, seconds

NOT_RUN_STATUSES = (408, 421, 429, 503)


def answer(status=200, run_status=RunStatus.RAN) -> Answered:
    return Answered(ReplyHead(status, b"", [], "", True, run_status))


outcomes = st.one_of(
    st.just(NotSent("refused")),
    st.just(Incomplete("reset")),
    st.just(Incomplete("time", is_timeout=True)),
    st.sampled_from([200, 404, 500, 503]).map(answer),
    st.just(answer(503, RunStatus.NOT_RUN)),
    st.just(answer(421, RunStatus.NOT_RUN)),
)


def may_have_run(outcome) -> bool:
    match outcome:
        case NotSent():
            return False
        case Answered(head):
            return head.run_status is RunStatus.RAN
    return True


@settings(derandomize=True, max_examples=500)
@given(
    st.sampled_from(list(RouteKind)),
    st.booleans(),
    st.integers(1, 3),
    st.lists(st.tuples(outcomes, st.booleans(), st.floats(0, 1)), max_size=8),
)
def test_not_run_is_true_and_nothing_runs_too_often(
    kind, resumable, max_attempts, steps
):
    """For any outcomes and budget, no rejection claims wrongly that nothing ran."""
    the_route = route(kind, max_attempts=max_attempts, is_resumable=resumable)
    progress = Progress()
    runs = 0
    for outcome, has_budget, remaining in steps:
        progress.possible_runs += may_have_run(outcome)
        runs += may_have_run(outcome)
        step = next_step(outcome, the_route, progress, seconds(remaining))
        if isinstance(step, Retry):
            if step.is_free or has_budget:
                continue
            step = step.fallback
        if isinstance(step, Rejection) and step.status in NOT_RUN_STATUSES:
            assert runs == 0
        if isinstance(step, Deliver):
            assert step.answer is outcome
            assert outcome.head.status not in NOT_RUN_STATUSES
        break
    assert runs <= (max_attempts if the_route.is_repeatable else 1)


def test_a_failed_idempotent_request_is_retried_with_its_answer_as_fallback():
    outcome = answer(500)
    step = next_step(outcome, route(), Progress(possible_runs=1), seconds(1))
    assert step == Retry(False, Deliver(outcome))


def test_a_failed_request_that_must_run_once_gets_the_answer_of_the_upstream():
    outcome = answer(500)
    step = next_step(
        outcome, route(RouteKind.ONCE), Progress(possible_runs=1), seconds(1)
    )
    assert step == Deliver(outcome)


@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize("kind", [RouteKind.ONCE, RouteKind.IDEMPOTENT])
def test_an_answer_that_states_no_rejection_is_not_passed_on_as_one(status, kind):
    """Guards against callers that send a request again which ran (REFUSED)."""
    step = next_step(answer(status), route(kind), Progress(1, 1), seconds(0))
    assert isinstance(step, Rejection)
    assert step.status == 502


def test_a_request_that_was_not_sent_is_retried_without_charge():
    step = next_step(NotSent("x"), route(RouteKind.ONCE), Progress(), seconds(1))
    assert isinstance(step, Retry)
    assert step.is_free
    assert step.fallback.status == 503
    assert step.fallback.retry_after is not None


def test_only_a_request_that_may_run_again_has_an_attempt_timeout():
    idempotent = route(RouteKind.IDEMPOTENT, max_attempts=2)
    assert attempt_timeout(
        idempotent, Progress(possible_runs=1), seconds(0.1), seconds(5)
    ) == seconds(0.4)
    assert (
        attempt_timeout(idempotent, Progress(possible_runs=2), seconds(0.1), seconds(5))
        is None
    )
    once = route(RouteKind.ONCE, max_attempts=2)
    assert (
        attempt_timeout(once, Progress(possible_runs=1), seconds(0.1), seconds(5))
        is None
    )


def test_attempt_timeout_grows_with_expected_latency_and_shrinks_near_the_deadline():
    idempotent = route(RouteKind.IDEMPOTENT, max_attempts=2)
    progress = Progress(possible_runs=1)
    assert attempt_timeout(idempotent, progress, seconds(0.001), seconds(5)) == seconds(
        0.2
    )
    assert attempt_timeout(idempotent, progress, seconds(1), seconds(20)) == seconds(4)
    assert attempt_timeout(idempotent, progress, seconds(1), seconds(2)) == seconds(1)
