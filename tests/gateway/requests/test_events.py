from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.gateway.requests.events import MAX_EVENT_BYTES, EventParser, may_follow

RAW = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nx-weight-versions: 3\nid: 3\ndata: c\n\n"


@settings(derandomize=True)
@given(st.lists(st.integers(0, len(RAW)), max_size=10))
def test_events_are_whole_however_the_bytes_come(cuts):
    parser = EventParser()
    boundaries = [0, *sorted(cuts), len(RAW)]
    events = [
        event
        for begin, end in pairwise(boundaries)
        for event in parser.feed(RAW[begin:end])
    ]
    assert [event.id for event in events] == ["1", "2", "3"]
    assert b"".join(event.raw for event in events) == RAW
    assert not parser.has_partial_event


def test_an_incomplete_event_is_buffered():
    parser = EventParser()
    assert parser.feed(b"id: 1\ndata: a\n") == []
    assert parser.has_partial_event


def test_an_event_above_the_size_limit_is_an_error():
    with pytest.raises(ValueError, match="more than"):
        EventParser().feed(b"x" * (MAX_EVENT_BYTES + 1))


@pytest.mark.parametrize(
    "event_id, last_id, may",
    [
        ("3", "2", True),
        ("10", "9", True),
        ("2", "2", False),
        ("1", "2", False),
        ("9", "10", False),
        ("0010", "9", True),
        ("9" * 5000, "8", True),
        ("", "2", True),
        ("b", "a", True),
        ("1", "", True),
    ],
)
def test_ids_of_a_stream_increase(event_id, last_id, may):
    assert may_follow(event_id, last_id) is may
