"""Compact index of the keys in sealed segments: a few bytes per key.

A segment is an immutable object in the platform's store that holds settled records. A
page is an immutable object that holds the key hashes of many segments, so that a writer
that loads a shard has few objects to read.
"""

from __future__ import annotations

import struct
from array import array
from base64 import b64decode, b64encode
from bisect import bisect_left
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import UTC, datetime

from banyansail.utils import hash64

KEY_HASH_SHIFT = 32
POSITION_BITS = 32  # an entry holds a key hash and the position of its segment
POSITION_MASK = 2**POSITION_BITS - 1


@dataclass(slots=True, frozen=True)
class Segment:
    """Metadata of a sealed segment.

    Parameters
    ----------
    name : str
        Name, unique within the shard.
    newest_at : datetime
        Start time of its newest record, which decides when it expires.
    key_hashes : tuple of int
        Hashes of its keys, see `hash_key`.
    """

    name: str
    newest_at: datetime
    key_hashes: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class PageRef:
    """Reference to a page from the head of a shard.

    Parameters
    ----------
    name : str
        Name, unique within the shard.
    newest_at : datetime
        Start time of the newest record in its segments, which decides when it expires.
    key_count : int
        Number of key hashes in the page.
    """

    name: str
    newest_at: datetime
    key_count: int


class KeyIndex:
    """Index from key hashes to segments, with rare false positives.

    It takes eight bytes per key and does not keep the hash tuples of the segments.

    Parameters
    ----------
    segments : iterable of Segment
        Segments from the oldest to the newest.
    """

    __slots__ = ("_entries", "_names", "_newest")

    def __init__(self, segments: Iterable[Segment]) -> None:
        self._names: list[str] = []
        self._newest: list[datetime] = []
        entries: list[int] = []
        for position, segment in enumerate(segments):
            self._names.append(segment.name)
            self._newest.append(segment.newest_at)
            entries += [
                key_hash << POSITION_BITS | position for key_hash in segment.key_hashes
            ]
        entries.sort()
        self._entries = array("Q", entries)

    def candidate_segments(self, key: str) -> Iterator[str]:
        """Yield the names of the segments that may hold a key, newest first."""
        key_hash = hash_key(key)
        start = bisect_left(self._entries, key_hash << POSITION_BITS)
        end = bisect_left(self._entries, (key_hash + 1) << POSITION_BITS, start)
        for entry in reversed(self._entries[start:end]):
            yield self._names[entry & POSITION_MASK]

    def segments(self) -> tuple[Segment, ...]:
        """Return the segments that the index was built from."""
        hashes: list[list[int]] = [[] for _ in self._names]
        for entry in self._entries:
            hashes[entry & POSITION_MASK].append(entry >> POSITION_BITS)
        named = zip(self._names, self._newest, hashes, strict=True)
        return tuple(
            Segment(name, at, tuple(key_hashes)) for name, at, key_hashes in named
        )


def hash_key(key: str) -> int:
    """Return the hash that indexes a key, independent of the hash that shards it."""
    return hash64(key) >> KEY_HASH_SHIFT


def encode_segments(segments: Iterable[Segment]) -> list[list[object]]:
    """Encode the metadata of segments for JSON."""
    return [
        [segment.name, segment.newest_at.timestamp(), _pack(segment.key_hashes)]
        for segment in segments
    ]


def decode_segments(encoded: list[list[object]]) -> tuple[Segment, ...]:
    """Decode the result of `encode_segments`."""
    return tuple(
        Segment(name, datetime.fromtimestamp(newest, tz=UTC), _unpack(hashes))
        for name, newest, hashes, *_ in encoded
    )


def _pack(hashes: tuple[int, ...]) -> str:
    return b64encode(struct.pack(f"<{len(hashes)}I", *hashes)).decode()


def _unpack(text: str) -> tuple[int, ...]:
    data = b64decode(text)
    return struct.unpack(f"<{len(data) // 4}I", data)
