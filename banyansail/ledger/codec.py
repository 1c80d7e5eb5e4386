"""JSON codec of a shard's objects: its head and its segments."""

from __future__ import annotations

from datetime import UTC, datetime

from banyansail.ledger.key_index import (
    PageRef,
    decode_segments,
    encode_segments,
)
from banyansail.ledger.records import KeyState, Record, ShardHead, StoredAnswer

STATE_BY_WORD = {
    state.value: state for state in KeyState if state is not KeyState.UNKNOWN
}
ANSWER_ELEMENTS = 3


def encode_head(head: ShardHead) -> dict[str, object]:
    """Encode the head of a shard as the JSON body of its object."""
    pages = [
        [page.name, page.newest_at.timestamp(), page.key_count] for page in head.pages
    ]
    return {
        "pages": pages,
        "segments": encode_segments(head.segments),
        **encode_segment(head.record_by_key),
    }


def decode_head(body: dict[str, object] | None) -> ShardHead:
    """Decode the JSON body of a shard's head; ``None`` means an empty shard."""
    if body is None:
        return ShardHead()
    pages = tuple(
        PageRef(name, datetime.fromtimestamp(newest, tz=UTC), keys)
        for name, newest, keys, *_ in body["pages"]
    )
    segments = decode_segments(body["segments"])
    return ShardHead(decode_segment(body), segments, pages)


def encode_segment(record_by_key: dict[str, Record]) -> dict[str, object]:
    """Encode records as the JSON body of a segment."""
    encoded = {}
    for key, record in record_by_key.items():
        answer = record.answer
        stored = [answer.status, answer.content_type, answer.body] if answer else None
        encoded[key] = [
            record.unknown_state or record.state.value,
            record.claimant_id,
            record.fingerprint,
            record.started_at.timestamp(),
            stored,
            *record.further,
        ]
    return {"records": encoded}


def decode_segment(body: dict[str, object]) -> dict[str, Record]:
    """Decode the JSON body of a segment.

    States and elements of a newer build are kept and written back as they are.
    """
    decoded = {}
    for key, item in body["records"].items():
        word, claimant_id, fingerprint, at, stored, *further = item
        state = STATE_BY_WORD.get(word, KeyState.UNKNOWN)
        decoded[key] = Record(
            state,
            claimant_id,
            fingerprint,
            datetime.fromtimestamp(at, tz=UTC),
            StoredAnswer(*stored[:ANSWER_ELEMENTS]) if stored else None,
            word if state is KeyState.UNKNOWN else "",
            tuple(further),
        )
    return decoded
