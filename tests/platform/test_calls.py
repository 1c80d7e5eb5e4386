from __future__ import annotations

from datetime import timedelta

import pytest

from banyansail.exceptions import CallError
from banyansail.gateway.request_types import RunStatus
from banyansail.platform.calls import MAX_PAUSE, decode_call, decode_reply


def pause(value, status=503):
    headers = [] if value is None else [(b"Retry-After", value)]
    return decode_reply(status, b"", headers).pause


@pytest.mark.parametrize(
    "status, has_run", [(200, True), (206, True), (302, False), (429, False)]
)
def test_a_success_is_not_taken_for_not_run(status, has_run):
    head = decode_reply(status, b"", [(b"X-Not-Executed", b"1")])
    assert (head.run_status is RunStatus.RAN) is has_run


def test_a_rejection_asks_for_a_pause_in_seconds_with_fractions():
    assert pause(b"2") == timedelta(seconds=2)
    assert pause(b" 0.25 ") == timedelta(milliseconds=250)


@pytest.mark.parametrize(
    "value",
    [None, b"", b"0", b"-3", b"soon", b"nan", b"Fri, 04 Dec 2026 10:00:00 GMT"],
)
def test_zero_negative_dates_and_unreadable_values_ask_for_nothing(value):
    assert pause(value) is None


@pytest.mark.parametrize("value", [b"1e300", b"inf", b"9" * 400])
def test_a_huge_pause_is_bounded(value):
    assert pause(value) == MAX_PAUSE


def test_only_a_rejection_asks_for_a_pause():
    assert pause(b"2", status=200) is None
    assert pause(b"2", status=429) is None


def test_an_upstream_says_in_any_answer_that_it_leaves():
    def is_leaving(status, value):
        return decode_reply(status, b"", [(b"Server-Leaving", value)]).is_leaving

    assert is_leaving(200, b"1")
    assert is_leaving(503, b"1")
    assert not is_leaving(200, b"0")
    assert not decode_reply(200, b"", []).is_leaving


def limit(value):
    return decode_reply(200, b"", [(b"Server-Limit", value)]).limit


def test_an_answer_names_a_limit_in_requests_per_second():
    assert limit(b"1.3") == 1.3
    assert limit(b" 20 ") == 20.0
    assert limit(b"0") == 0.0


@pytest.mark.parametrize("value", [b"", b"-1", b"nan", b"inf", b"many"])
def test_an_unreadable_limit_limits_nothing(value):
    assert limit(value) is None


def test_an_answer_without_a_limit_names_none():
    assert decode_reply(200, b"", []).limit is None


def test_an_answer_says_that_its_upstream_is_brittle():
    assert decode_reply(200, b"", [(b"Server-Brittle", b"3")]).is_brittle
    assert not decode_reply(200, b"", []).is_brittle


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"X-Token-Count", b"-1"),
        (b"X-Token-Count", b"10,-1"),
        (b"X-Token-Count", b"9" * 401),
        (b"X-Length-Hint", b"-1"),
        (b"X-Prompt-Prefix", b"p:-1"),
    ],
)
def test_impossible_numbers_of_tokens_are_malformed(name, value):
    """Guards against quotas that callers fill up, and an error without an answer."""
    headers = [(b"X-Token-Count", b"10,10")] if name != b"X-Token-Count" else []
    with pytest.raises(CallError):
        decode_call(b"POST", b"/", [*headers, (name, value)], b"")
