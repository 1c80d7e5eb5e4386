"""Sealed records are found by every writer, newest first, with few reads."""

from __future__ import annotations

from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.exceptions import PlatformUnavailableError
from banyansail.ledger import archive, key_index
from banyansail.ledger.archive import ShardArchive
from banyansail.ledger.codec import decode_head, encode_head
from banyansail.ledger.key_index import KeyIndex, Segment, decode_segments
from banyansail.ledger.records import (
    RETENTION,
    KeyState,
    Record,
    ShardHead,
    StoredAnswer,
)
from tests.fakes import START, FakeClock, FakePlatform, run_now

LARGE = StoredAnswer(200, "text/plain", "x" * 40_000)  # two of them fill a head


def record(claimant_id: str, at=START) -> Record:
    return Record(KeyState.DONE, claimant_id, 1, at, LARGE)


class Shard:
    """A head that is sealed as soon as it is large enough, and its archive."""

    def __init__(self) -> None:
        self.platform = FakePlatform(FakeClock())
        self.archive = ShardArchive(self.platform, "shard")
        self.head = ShardHead()

    def seal(self, record_by_key: dict[str, Record], now=START) -> None:
        merged = {**self.head.record_by_key, **record_by_key}
        self.head = ShardHead(merged, self.head.segments, self.head.pages)
        run_now(self.archive.seal(self.head, now))
        run_now(self.archive.load_pages(self.head))

    def find(self, key: str, reader: ShardArchive | None = None) -> Record | None:
        found = run_now((reader or self.archive).find(self.head, [key]))
        return found.get(key)


@settings(derandomize=True, max_examples=50, deadline=None)
@given(
    steps=st.lists(st.sets(st.integers(0, 9), min_size=2, max_size=4), max_size=60),
    shift=st.sampled_from([32, 63]),  # a shift of 63 makes most hashes collide
)
def test_newest_record_is_found_through_any_number_of_pages(steps, shift):
    shard = Shard()
    newest: dict[str, Record] = {}
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(key_index, "KEY_HASH_SHIFT", shift)
        patch.setattr(archive, "MAX_LISTED_SEGMENTS", 3)
        patch.setattr(archive, "MAX_PAGE_KEYS", 20)
        for number, keys in enumerate(steps):
            records = {f"k{key}": record(f"a{number}") for key in keys}
            shard.seal(records)
            newest.update(records)
        assert not shard.head.record_by_key
        shard.head = decode_head(encode_head(shard.head))
        other_reader = ShardArchive(shard.platform, "shard")
        run_now(other_reader.load_pages(shard.head))
        for key in (f"k{number}" for number in range(10)):
            assert shard.find(key) == newest.get(key)
            assert shard.find(key, other_reader) == newest.get(key)


def test_new_key_reads_no_segment_and_an_old_one_reads_one():
    shard = Shard()
    for number in range(archive.MAX_LISTED_SEGMENTS + 5):
        shard.seal({f"{number}/{item}": record("a") for item in range(2)})
    assert shard.head.pages
    assert len(shard.head.segments) <= archive.MAX_LISTED_SEGMENTS
    before = shard.platform.reads
    assert shard.find("new") is None
    assert shard.platform.reads == before
    other_reader = ShardArchive(shard.platform, "shard")
    run_now(other_reader.load_pages(shard.head))
    before = shard.platform.reads
    assert shard.find("0/1", other_reader) == record("a")
    assert shard.platform.reads == before + 1


def test_expired_segments_leave_their_page():
    shard = Shard()
    late = START + RETENTION + timedelta(seconds=1)
    for number in range(archive.MAX_LISTED_SEGMENTS + 1):
        shard.seal({f"{number}/{item}": record("a") for item in range(2)})
    assert shard.head.pages[0].key_count == 2 * (archive.MAX_LISTED_SEGMENTS + 1)
    for number in range(archive.MAX_LISTED_SEGMENTS + 1):
        records = {f"late/{number}/{item}": record("a", late) for item in range(2)}
        shard.seal(records, late)
    (page,) = shard.head.pages
    assert page.key_count == 2 * (archive.MAX_LISTED_SEGMENTS + 1)
    assert shard.find("0/1") is None
    assert shard.find("late/0/1") == record("a", late)


def test_page_missing_from_a_stale_read_is_an_error():
    shard = Shard()
    for number in range(archive.MAX_LISTED_SEGMENTS + 1):
        shard.seal({f"{number}/{item}": record("a") for item in range(2)})
    del shard.platform.stored[f"shard/{shard.head.pages[0].name}"]
    other_reader = ShardArchive(shard.platform, "shard")
    with pytest.raises(PlatformUnavailableError):
        run_now(other_reader.load_pages(shard.head))


def test_page_that_can_not_be_written_leaves_its_segments_in_the_head():
    shard = Shard()
    for number in range(archive.MAX_LISTED_SEGMENTS):
        shard.seal({f"{number}/{item}": record("a") for item in range(2)})
    shard.platform.failed_calls = [False, True]  # the write of the page fails
    shard.seal({f"last/{item}": record("a") for item in range(2)})
    assert not shard.head.pages
    assert shard.find("last/1") == record("a")
    shard.seal({f"next/{item}": record("a") for item in range(2)})
    assert shard.head.pages
    assert shard.find("0/0") == shard.find("next/1") == record("a")


def test_index_is_rebuilt_from_its_segments():
    segments = (Segment("old", START, (5, 1)), Segment("new", START, (1,)))
    index = KeyIndex(segments)
    assert index.segments() == (
        Segment("old", START, (1, 5)),
        Segment("new", START, (1,)),
    )
    assert decode_segments(key_index.encode_segments(segments)) == segments
