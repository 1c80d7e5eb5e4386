"""A started response is complete only if its upstream said so."""

from __future__ import annotations

import itertools

import pytest

from banyansail.gateway.decisions.responses.response_end import (
    BreakOff,
    Complete,
    WriteRejection,
    WriteResponse,
    WriteUntilClose,
    decide_end,
)
from banyansail.gateway.decisions.responses.response_state import NotStarted, Started
from banyansail.gateway.decisions.responses.retry_policy import Answered, Deliver
from banyansail.gateway.request_types import Cause, Rejection, ReplyHead, RunStatus
from banyansail.upstreams.body_end import BodyEnd

REJECTION = Rejection(502, Cause.UPSTREAM_FAILED, "the connection was closed")


def answer(status=200, end=BodyEnd.STATED):
    return Answered(ReplyHead(status, b"", [], "a1", True, RunStatus.RAN, end=end))


def test_a_rejection_breaks_a_started_response_off():
    for end in BodyEnd:
        assert decide_end(Started(end), REJECTION) == BreakOff(REJECTION.detail)
    assert decide_end(NotStarted(), REJECTION) == WriteRejection(REJECTION)


@pytest.mark.parametrize("status", [200, 404, 500])
def test_a_response_that_was_not_started_ends_as_its_upstream_ended_it(status):
    stated, closed = answer(status), answer(status, BodyEnd.CLOSE)
    assert decide_end(NotStarted(), Deliver(stated)) == WriteResponse(stated)
    assert decide_end(NotStarted(), Deliver(closed)) == WriteUntilClose(closed)


@pytest.mark.parametrize("status", [302, 404, 429, 500, 503])
def test_no_failure_completes_a_started_response(status):
    for started, end in itertools.product(BodyEnd, BodyEnd):
        result = decide_end(Started(started), Deliver(answer(status, end)))
        assert isinstance(result, BreakOff)


@pytest.mark.parametrize(
    "started, end, is_complete",
    [
        (BodyEnd.STATED, BodyEnd.STATED, True),
        (BodyEnd.STATED, BodyEnd.CLOSE, False),
        (BodyEnd.CLOSE, BodyEnd.STATED, True),
        (BodyEnd.CLOSE, BodyEnd.CLOSE, True),
    ],
)
def test_a_stated_end_is_not_made_up(started, end, is_complete):
    result = decide_end(Started(started), Deliver(answer(200, end)))
    assert isinstance(result, Complete) is is_complete
