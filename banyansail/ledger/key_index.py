"""Index of the keys in sealed segments: a few bytes a key, in memory and stored.

A segment is an object of the platform that holds settled records and never changes. A
page is such an object, too, and holds the hashes of the keys of many segments, so that
a writer that does not know them yet has little to read.
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

HASH_SHIFT = 32
PLACE_BITS = 32
PLACE_MASK = 2**PLACE_BITS - 1


@dataclass(slots=True, frozen=True)
class Segment:
    """What is known of a segment without reading it.

    Parameters
    ----------
    name : str
        Unique within the shard.
    newest : datetime
        Start of its newest record, for the expiry.
    hashes : tuple of int
        Hashes of its keys, see `hash_key`.
    """

    name: str
    newest: datetime
    hashes: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class PageRef:
    """A page that the head of a shard names.

    Parameters
    ----------
    name : str
        Unique within the shard.
    newest : datetime
        Start of the newest record in its segments, for the expiry.
    keys : int
        How many hashes it holds.
    """

    name: str
    newest: datetime
    keys: int


class KeyIndex:
    """Finds the segments that may hold a key; rarely one that does not.

    It takes eight bytes a key and does not keep the segments' own hashes.

    Parameters
    ----------
    segments : iterable of Segment
        From the oldest to the newest.
    """

    __slots__ = ("_names", "_newest", "_places")

    def __init__(self, segments: Iterable[Segment]) -> None:
        self._names: list[str] = []
        self._newest: list[datetime] = []
        places: list[int] = []
        for place, segment in enumerate(segments):
            self._names.append(segment.name)
            self._newest.append(segment.newest)
            places += [key_hash << PLACE_BITS | place for key_hash in segment.hashes]
        places.sort()
        self._places = array("Q", places)

    def candidates(self, key: str) -> Iterator[str]:
        """Yield the names of segments that may hold a key, newest first."""
        key_hash = hash_key(key)
        start = bisect_left(self._places, key_hash << PLACE_BITS)
        end = bisect_left(self._places, (key_hash + 1) << PLACE_BITS, start)
        for found in reversed(self._places[start:end]):
            yield self._names[found & PLACE_MASK]

    def segments(self) -> tuple[Segment, ...]:
        """Return what the index was made of."""
        hashes: list[list[int]] = [[] for _ in self._names]
        for found in self._places:
            hashes[found & PLACE_MASK].append(found >> PLACE_BITS)
        named = zip(self._names, self._newest, hashes, strict=True)
        return tuple(Segment(name, at, tuple(held)) for name, at, held in named)


def hash_key(key: str) -> int:
    """Return the hash by which a key is found; it does not depend on the shard."""
    return hash64(key) >> HASH_SHIFT


def encode_segments(segments: Iterable[Segment]) -> list[list[object]]:
    """Encode what is known of segments for JSON."""
    return [
        [segment.name, segment.newest.timestamp(), _pack(segment.hashes)]
        for segment in segments
    ]


def decode_segments(encoded: list[list[object]]) -> tuple[Segment, ...]:
    """Decode the result of `encode_segments`."""
    return tuple(
        Segment(name, datetime.fromtimestamp(newest, tz=UTC), _unpack(hashes))
        for name, newest, hashes in encoded
    )


def _pack(hashes: tuple[int, ...]) -> str:
    return b64encode(struct.pack(f"<{len(hashes)}I", *hashes)).decode()


def _unpack(text: str) -> tuple[int, ...]:
    data = b64decode(text)
    return struct.unpack(f"<{len(data) // 4}I", data)
