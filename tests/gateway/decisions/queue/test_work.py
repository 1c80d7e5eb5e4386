"""Units of work, weights of workspaces, and requests that are repeated too early."""

from __future__ import annotations

from dataclasses import replace

import pytest

from banyansail.gateway.decisions.queue.repeats import MAX_REMEMBERED, Repeats
from banyansail.gateway.decisions.queue.work import (
    OUTPUT_TOKEN_WEIGHT,
    assigned_work,
    expected_answer_time,
    expected_work,
    workspace_weights,
)
from tests.fakes import FakeClock
from tests.gateway.builders import prompt, seconds, workspace


def test_the_work_of_a_prompt_is_what_is_left_to_prefill_and_the_output():
    long = prompt(tokens=1000, output=10)
    assert assigned_work(long, 200) == 200 + 10 * OUTPUT_TOKEN_WEIGHT
    assert expected_work(long) == 440 + 10 * OUTPUT_TOKEN_WEIGHT
    assert assigned_work(None, 0) == 1.0


def test_a_hint_of_the_output_counts_up_to_the_maximum():
    """Guards against a hint that exceeds what the request may generate."""
    hinted = replace(prompt(output=100), expected_output=7)
    assert assigned_work(hinted, 0) == 7 * OUTPUT_TOKEN_WEIGHT
    hinted = replace(prompt(output=100), expected_output=900)
    assert assigned_work(hinted, 0) == 100 * OUTPUT_TOKEN_WEIGHT


def test_the_time_to_the_first_token_follows_the_prefill_rate():
    time = expected_answer_time(prompt(tokens=1000), 44.0, seconds(3))
    assert time == seconds(0.04 + 0.01)
    assert expected_answer_time(None, 44.0, seconds(3)) == seconds(3)


def test_weights_are_quotas_and_the_mean_where_there_is_none():
    weights = workspace_weights(
        [workspace("a", 100.0), workspace("b", 300.0), workspace("c", 0.0)]
    )
    assert weights == {"a": 0.5, "b": 1.5, "c": 1.0}
    assert workspace_weights([workspace("c", 0.0)]) == {"c": 1.0}


def test_quotas_in_tokens_are_not_compared_with_quotas_in_requests():
    """Guards against a quota in tokens that outweighs all others."""
    weights = workspace_weights(
        [workspace("a", 9000.0, counts_tokens=True), workspace("b", 3.0)]
    )
    assert weights == {"a": pytest.approx(1.0), "b": pytest.approx(1.0)}


def test_a_repeat_is_too_early_until_its_retry_after_has_passed():
    clock = FakeClock()
    repeats = Repeats(clock)
    repeats.record_rejection(7, seconds(1))
    repeats.record_rejection(8, None)
    clock.advance(0.9)
    assert repeats.is_too_early(7)
    assert not repeats.is_too_early(8)
    clock.advance(0.2)
    assert not repeats.is_too_early(7)


def test_the_memory_of_rejections_is_bounded():
    """Guards against a flood of rejections that fills the memory of a router."""
    repeats = Repeats(FakeClock())
    for fingerprint in range(1, MAX_REMEMBERED + 2):
        repeats.record_rejection(fingerprint, seconds(1))
    assert not repeats.is_too_early(1)
    assert repeats.is_too_early(2)
