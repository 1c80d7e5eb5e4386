"""Records survive being written and read, also without their end."""

from __future__ import annotations

import pytest

from benchmarks.soak.records import (
    Framing,
    RecordWriter,
    ResponseEnd,
    RunEnd,
    read_responses,
    read_runs,
)
from tests.benchmarks.soak.histories import ATTEMPT, response_of, run_of


def test_a_run_is_read_with_its_end_or_without(tmp_path):
    writer = RecordWriter(tmp_path / "e1.jsonl")
    begun = run_of(ended_at=None, end=RunEnd.CRASHED, number=1)
    writer.write(begun)
    ended = run_of(number=1)
    assert read_runs([tmp_path / "e1.jsonl"]) == {ATTEMPT: [begun]}
    writer.write(ended)
    assert read_runs([tmp_path / "e1.jsonl"]) == {ATTEMPT: [ended]}


def test_runs_are_read_by_their_beginning(tmp_path):
    later, earlier = run_of("e1", 12.0), run_of("e2", 11.0)
    for run in (later, earlier):
        RecordWriter(tmp_path / f"{run.upstream}.jsonl").write(run)
    runs = read_runs(sorted(tmp_path.iterdir()))
    assert runs[ATTEMPT] == [earlier, later]


def test_a_response_is_read_as_it_was_written(tmp_path):
    response = response_of(framing=Framing.NONE, end=ResponseEnd.CLOSED)
    RecordWriter(tmp_path / "callers.jsonl").write(response)
    assert read_responses(tmp_path / "callers.jsonl") == [response]


@pytest.mark.parametrize(
    "framing, end, looks_complete",
    [
        (Framing.CHUNKS, ResponseEnd.COMPLETE, True),
        (Framing.CHUNKS, ResponseEnd.CLOSED, False),
        (Framing.LENGTH, ResponseEnd.CLOSED, False),
        (Framing.NONE, ResponseEnd.CLOSED, True),
        (Framing.NONE, ResponseEnd.RESET, False),
        (Framing.NONE, ResponseEnd.LEFT, False),
    ],
)
def test_what_looks_complete_to_a_caller(framing, end, looks_complete):
    response = response_of(framing=framing, end=end)
    assert response.looks_complete is looks_complete


def test_a_connection_without_a_head_does_not_look_complete():
    response = response_of(status=None, framing=Framing.NONE, end=ResponseEnd.CLOSED)
    assert not response.looks_complete
