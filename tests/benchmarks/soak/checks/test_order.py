"""The check of ORDER finds what breaks the rule by one, and nothing else."""

from __future__ import annotations

import pytest

from benchmarks.soak.checks.order import OrderCheck
from benchmarks.soak.records import GIVEN_UP_S, Framing, ResponseEnd, RunEnd
from tests.benchmarks.soak.histories import (
    fault_of,
    findings_of,
    response_of,
    run_of,
)

CLOSED_UNFRAMED = {"framing": Framing.NONE, "end": ResponseEnd.CLOSED}
BROKEN = {"end": RunEnd.RESET}


def test_a_stream_of_one_run_in_full_keeps_the_rule():
    assert findings_of(OrderCheck, response_of(), run_of()) == []


def test_a_stream_that_another_upstream_continued_keeps_the_rule():
    runs = (run_of(**BROKEN), run_of("e2", 11.0, first_event=3))
    assert findings_of(OrderCheck, response_of(), *runs) == []


@pytest.mark.parametrize(
    "event_ids", [[1, 2, 4, 5], [1, 2, 2, 3, 4, 5], [1, 2, 4, 3, 5], [2, 3, 4, 5]]
)
@pytest.mark.parametrize("end", [ResponseEnd.COMPLETE, ResponseEnd.RESET])
def test_an_event_missing_twice_or_out_of_order_is_found(event_ids, end):
    response = response_of(event_ids=event_ids, end=end)
    assert len(findings_of(OrderCheck, response, run_of())) == 1


def test_data_of_another_request_is_found():
    response = response_of(has_foreign_data=True)
    assert len(findings_of(OrderCheck, response, run_of())) == 1


@pytest.mark.parametrize("end", [end for end in RunEnd if end is not RunEnd.FULL])
def test_an_end_that_no_upstream_gave_is_found(end):
    response = response_of(event_ids=[1, 2, 3])
    runs = (run_of(**BROKEN), run_of("e2", 11.0, end=end, framing=Framing.NONE))
    assert len(findings_of(OrderCheck, response, *runs)) == 1


@pytest.mark.parametrize("end", [ResponseEnd.RESET, ResponseEnd.CLOSED])
def test_a_stream_that_is_visibly_broken_off_keeps_the_rule(end):
    response = response_of(event_ids=[1, 2, 3], end=end)
    assert findings_of(OrderCheck, response, run_of(**BROKEN)) == []


def test_a_last_event_missing_from_a_whole_stream_is_found():
    response = response_of(event_ids=[1, 2, 3, 4])
    assert len(findings_of(OrderCheck, response, run_of())) == 1


@pytest.mark.parametrize("end", [RunEnd.CLOSED, RunEnd.CRASHED])
def test_an_end_without_a_length_may_be_passed_on_as_it_came(end):
    response = response_of(event_ids=[1, 2, 3], **CLOSED_UNFRAMED)
    run = run_of(framing=Framing.NONE, end=end)
    assert findings_of(OrderCheck, response, run) == []


def test_an_end_without_a_length_may_be_passed_on_after_a_run_without_events():
    response = response_of(event_ids=[1, 2, 3], **CLOSED_UNFRAMED)
    last = run_of("e2", 11.0, framing=Framing.NONE, end=RunEnd.CLOSED)
    assert findings_of(OrderCheck, response, run_of(**BROKEN), last) == []


@pytest.mark.parametrize("lasted_s, count", [(GIVEN_UP_S / 2, 0), (GIVEN_UP_S * 2, 1)])
def test_a_run_that_was_given_up_before_it_was_read_has_no_place(lasted_s, count):
    response = response_of(event_ids=[1, 2, 3], **CLOSED_UNFRAMED)
    run = run_of(framing=Framing.NONE, end=RunEnd.CLOSED)
    late = run_of("e2", 11.5, end=RunEnd.LEFT, ended_at=11.5 + lasted_s)
    assert len(findings_of(OrderCheck, response, run, late)) == count


@pytest.mark.parametrize("end", [RunEnd.RESET, RunEnd.LEFT])
def test_another_end_may_not_look_so(end):
    response = response_of(event_ids=[1, 2, 3], **CLOSED_UNFRAMED)
    run = run_of(framing=Framing.NONE, end=end)
    assert len(findings_of(OrderCheck, response, run)) == 1


def test_an_end_without_a_length_after_a_framed_part_is_found():
    response = response_of(event_ids=[1, 2, 3], **CLOSED_UNFRAMED)
    ended = {"framing": Framing.NONE, "end": RunEnd.CLOSED}
    last = run_of("e2", 11.0, first_event=3, **ended)
    assert len(findings_of(OrderCheck, response, run_of(**BROKEN), last)) == 1


def test_a_closed_answer_to_a_caller_without_chunks_is_found():
    response = response_of(event_ids=[1, 2, 3], **CLOSED_UNFRAMED)
    assert len(findings_of(OrderCheck, response, run_of(end=RunEnd.LEFT))) == 1


def test_a_finding_names_the_fault_of_its_router():
    faults = (fault_of("killed router", "front-1", 10.5, 12.0),)
    response = response_of(event_ids=[1, 2, 3], **CLOSED_UNFRAMED)
    run = run_of(end=RunEnd.LEFT)
    (detail,) = findings_of(OrderCheck, response, run, faults=faults)
    assert detail.endswith("killed router")


def test_a_failure_has_no_events_to_check():
    response = response_of(status=502, event_ids=[])
    assert findings_of(OrderCheck, response, run_of(**BROKEN)) == []
