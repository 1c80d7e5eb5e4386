from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.gateway.attempts import (
    Answered,
    Broken,
    Deliver,
    NotSent,
    Progress,
    TryAgain,
    next_step,
    patience,
)
from banyansail.gateway.messages import Ran, Rejection, ReplyHead
from banyansail.gateway.site import RouteKind
from tests.gateway.builders import route, seconds

NOT_RUN_STATUSES = (408, 421, 429, 503)


def answer(status=200, ran=Ran.RAN) -> Answered:
    return Answered(ReplyHead(status, b"", [], "", True, ran))


outcomes = st.one_of(
    st.just(NotSent("refused")),
    st.just(Broken("reset")),
    st.just(Broken("time", is_timeout=True)),
    st.sampled_from([200, 404, 500, 503]).map(answer),
    st.just(answer(503, Ran.NOT_RUN)),
    st.just(answer(421, Ran.NOT_RUN)),
)


def may_have_run(outcome) -> bool:
    match outcome:
        case NotSent():
            return False
        case Answered(head):
            return head.ran is Ran.RAN
    return True


@settings(derandomize=True, max_examples=500)
@given(
    st.sampled_from(list(RouteKind)),
    st.booleans(),
    st.integers(1, 3),
    st.lists(st.tuples(outcomes, st.booleans(), st.floats(0, 1)), max_size=8),
)
def test_not_run_is_true_and_nothing_runs_too_often(kind, resumable, most, steps):
    """Whatever the outcomes and the budget, rejections are truthful."""
    the_route = route(kind, max_attempts=most, is_resumable=resumable)
    progress = Progress()
    runs = 0
    for outcome, has_budget, remaining in steps:
        progress.runs += may_have_run(outcome)
        runs += may_have_run(outcome)
        step = next_step(outcome, the_route, progress, seconds(remaining))
        if isinstance(step, TryAgain):
            if step.is_free or has_budget:
                continue
            step = step.otherwise
        if isinstance(step, Rejection) and step.status in NOT_RUN_STATUSES:
            assert runs == 0
        if isinstance(step, Deliver):
            assert step.answer is outcome
        break
    assert runs <= (most if the_route.is_repeatable else 1)


def test_a_failed_lookup_is_tried_again_and_its_answer_kept():
    outcome = answer(500)
    step = next_step(outcome, route(), Progress(runs=1), seconds(1))
    assert step == TryAgain(False, Deliver(outcome))


def test_a_failed_order_is_answered_as_the_upstream_did():
    outcome = answer(500)
    step = next_step(outcome, route(RouteKind.ONCE), Progress(runs=1), seconds(1))
    assert step == Deliver(outcome)


def test_an_order_that_was_not_sent_goes_to_another_upstream_for_free():
    step = next_step(NotSent("x"), route(RouteKind.ONCE), Progress(), seconds(1))
    assert isinstance(step, TryAgain)
    assert step.is_free
    assert step.otherwise.status == 503
    assert step.otherwise.retry_after is not None


def test_only_a_request_that_may_run_again_is_given_up_for_its_silence():
    safe = route(RouteKind.IDEMPOTENT, max_attempts=2)
    assert patience(safe, Progress(runs=1), seconds(0.1), seconds(5)) == seconds(0.4)
    assert patience(safe, Progress(runs=2), seconds(0.1), seconds(5)) is None
    order = route(RouteKind.ONCE, max_attempts=2)
    assert patience(order, Progress(runs=1), seconds(0.1), seconds(5)) is None


def test_silence_is_borne_longer_where_it_is_usual_and_shorter_near_the_deadline():
    safe = route(RouteKind.IDEMPOTENT, max_attempts=2)
    progress = Progress(runs=1)
    assert patience(safe, progress, seconds(0.001), seconds(5)) == seconds(0.2)
    assert patience(safe, progress, seconds(1), seconds(20)) == seconds(4)
    assert patience(safe, progress, seconds(1), seconds(2)) == seconds(1)
