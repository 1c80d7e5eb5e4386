"""JSON bodies of a shard's objects: its head and its segments."""

from __future__ import annotations

from datetime import UTC, datetime

from banyansail.ledger.records import (
    KeptAnswer,
    KeyState,
    Record,
    SegmentRef,
    ShardRecords,
)


def encode_records(records: ShardRecords) -> dict[str, object]:
    """Encode the head of a shard as the JSON body of its object."""
    segments = [
        [segment.name, segment.newest.timestamp()] for segment in records.segments
    ]
    return {"segments": segments, **encode_segment(records.record_by_key)}


def decode_records(
    body: dict[str, object] | None,
    sealed_by_segment: dict[str, dict[str, Record]] | None = None,
) -> ShardRecords:
    """Decode the JSON body of a shard's object; ``None`` means an empty shard."""
    if body is None:
        return ShardRecords()
    segments = tuple(
        SegmentRef(name, datetime.fromtimestamp(newest, tz=UTC))
        for name, newest in body["segments"]
    )
    return ShardRecords(decode_segment(body), segments, sealed_by_segment)


def encode_segment(record_by_key: dict[str, Record]) -> dict[str, object]:
    """Encode records as the JSON body of a segment."""
    encoded = {}
    for key, record in record_by_key.items():
        answer = record.answer
        kept = [answer.status, answer.content_type, answer.body] if answer else None
        encoded[key] = [
            record.state.value,
            record.attempt,
            record.fingerprint,
            record.at.timestamp(),
            kept,
        ]
    return {"records": encoded}


def decode_segment(body: dict[str, object]) -> dict[str, Record]:
    """Decode the JSON body of a segment."""
    decoded = {}
    for key, item in body["records"].items():
        state, attempt, fingerprint, at, kept = item
        decoded[key] = Record(
            KeyState(state),
            attempt,
            fingerprint,
            datetime.fromtimestamp(at, tz=UTC),
            KeptAnswer(*kept) if kept else None,
        )
    return decoded
