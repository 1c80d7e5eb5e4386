"""What is counted of the responses to callers."""

from __future__ import annotations

from types import SimpleNamespace

from banyansail.gateway.decisions.responses.response_state import Started
from banyansail.gateway.decisions.responses.retry_policy import (
    Answered,
    Deliver,
    Progress,
)
from banyansail.gateway.request_types import ReplyHead, RunStatus
from banyansail.gateway.requests.caller_response import CallerResponse
from banyansail.upstreams.body_end import BodyEnd


class Writer:
    """Records how a response ends."""

    def __init__(self):
        self.end = None

    def end_stream(self):
        self.end = "complete"

    def abort_stream(self):
        self.end = "broken off"


def ended(started, end):
    """Return how a started response ends, and the outcomes that are counted."""
    counted = []
    metrics = SimpleNamespace(
        count_answer=lambda route, outcome: counted.append(outcome)
    )
    request = SimpleNamespace(
        context=SimpleNamespace(metrics=metrics),
        route=SimpleNamespace(name="draft"),
        progress=Progress(2, 2, Started(started)),
        upstream_id="e1",
        last_event_id="2",
        is_finished=False,
        write_log=lambda decision, reason, **fields: None,
    )
    writer = Writer()
    head = ReplyHead(200, b"", [], "a1", True, RunStatus.RAN, end=end)
    CallerResponse(request, writer).end(Deliver(Answered(head)))
    return writer.end, counted


def test_a_response_that_is_broken_off_is_not_counted_as_a_success():
    end, counted = ended(BodyEnd.STATED, BodyEnd.CLOSE)
    assert end == "broken off"
    assert counted == ["upstream_failed"]


def test_a_response_that_is_complete_is_counted_as_its_upstream_answered():
    assert ended(BodyEnd.STATED, BodyEnd.STATED) == ("complete", ["upstream_200"])
