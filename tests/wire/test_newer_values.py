"""Values of a newer build: further fields, and lists of another length."""

from __future__ import annotations

import pytest

from banyansail.exceptions import WireError
from banyansail.rollout.evidence import LATENCY_BUCKETS
from banyansail.wire.gossip_codec import decode_evidence, decode_gossip
from tests.wire.future import future, with_future_field
from tests.wire.samples import all_samples

STRUCT_BY_FILE = {
    "datagram": "Datagram",
    "value-member": "Member",
    "value-leaving": "LeavingMarks",
    "value-loads": "Loads",
    "value-deaths": "Deaths",
    "value-evidence": "Evidence",
    "value-statements": "Names",
    "value-zone-evidence": "Evidence",
    "value-traffic": "TrafficReport",
    "value-zone-traffic": "TrafficSum",
    "value-fleet-traffic": "TrafficSum",
    "value-usage": "Usage",
}
SAMPLE_BY_FILE = {sample.file.removesuffix(".bin"): sample for sample in all_samples()}


@pytest.mark.parametrize("file", STRUCT_BY_FILE)
def test_unknown_fields_change_nothing(file):
    sample = SAMPLE_BY_FILE[file]
    data = with_future_field(STRUCT_BY_FILE[file], sample.encode())
    assert data != sample.encode()
    assert sample.decode(data) == sample.content


@pytest.mark.parametrize("file", [*STRUCT_BY_FILE, "call-start", "reply-document"])
def test_truncated_values_raise_only_wire_errors(file):
    """Guards against an error that escapes the function that receives a value."""
    sample = SAMPLE_BY_FILE[file]
    data = sample.encode()
    for length in range(len(data)):
        try:
            sample.decode(data[:length])
        except WireError:
            pass


@pytest.mark.parametrize("count", [0, 3, LATENCY_BUCKETS, LATENCY_BUCKETS + 5])
def test_another_number_of_latency_buckets_loses_no_answer(count):
    cells = [{"latencies": [1] * count}]
    data = future.Evidence.new_message(cells=cells).to_bytes_packed()
    (cell,) = decode_evidence(data).values()
    assert len(cell.latencies) == LATENCY_BUCKETS
    assert sum(cell.latencies) == count


def test_unknown_entries_are_counted():
    entries = [{"topic": 4000}, {"topic": 1}, {"topic": 4001}]
    data = future.Datagram.new_message(entries=entries).to_bytes_packed()
    gossip = decode_gossip(data)
    assert gossip.unknown_entries == 2
    assert len(gossip.entries) == 1
