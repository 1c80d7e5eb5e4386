"""Log output while its reader stops reading, resumes or closes its end."""

from __future__ import annotations

import json
import os

import pytest

from banyansail.log_output import MAX_BUFFERED_BYTES, LogOutput

LINE = b'{"message_type": "banyansail:test"}\n'
MANY = 3 * MAX_BUFFERED_BYTES // len(LINE)


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    for descriptor in (reader, writer):
        try:
            os.close(descriptor)
        except OSError:
            pass  # closed by the test


def drain(reader: int) -> bytes:
    os.set_blocking(reader, False)
    data = b""
    try:
        while piece := os.read(reader, 65536):
            data += piece
    except BlockingIOError:
        return data
    return data


def write_line(output: LogOutput) -> None:
    output.write(LINE)
    output.flush()


def test_lines_arrive_complete_and_in_order(pipe):
    reader, writer = pipe
    with LogOutput(writer) as output:
        for _ in range(5):
            write_line(output)
    assert drain(reader) == 5 * LINE


def test_reader_that_stops_costs_lines_and_their_number_is_told(pipe):
    reader, writer = pipe
    with LogOutput(writer) as output:
        for _ in range(MANY):
            write_line(output)
        dropped_count = output.dropped_count
        assert 0 < dropped_count < MANY
        data = b""
        while piece := drain(reader):
            data += piece
            output.flush()
        write_line(output)
        data += drain(reader)
    messages = [json.loads(line) for line in data.decode().splitlines()]
    counts = [item["count"] for item in messages if "count" in item]
    assert counts == [dropped_count]
    assert len(messages) == MANY - dropped_count + 2


def test_closed_reader_does_not_block_or_raise(pipe):
    reader, writer = pipe
    with LogOutput(writer) as output:
        os.close(reader)
        for _ in range(10):
            write_line(output)
        assert output.dropped_count == 10


def test_descriptor_is_blocking_again_afterwards(pipe):
    _, writer = pipe
    with LogOutput(writer):
        assert not os.get_blocking(writer)
    assert os.get_blocking(writer)
