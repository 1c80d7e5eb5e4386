"""Sealed records of one shard, kept by the platform and read when they are needed."""

from __future__ import annotations

import uuid
from collections import OrderedDict
from collections.abc import Iterable
from datetime import datetime
from typing import TYPE_CHECKING

from banyansail.coordination.budget import CallKind
from banyansail.exceptions import ConflictError, PlatformUnavailableError
from banyansail.ledger.codec import decode_segment, encode_segment
from banyansail.ledger.key_index import (
    KeyIndex,
    PageRef,
    Segment,
    decode_segments,
    encode_segments,
    hash_key,
)
from banyansail.ledger.records import unexpired

if TYPE_CHECKING:
    from typing import Any

    from banyansail.coordination.client import PlatformClient
    from banyansail.ledger.records import Record, ShardRecords

MAX_LISTED_SEGMENTS = 32  # more of them in a head are moved to a page
MAX_PAGE_KEYS = 100_000
CACHED_SEGMENTS = 16


class ShardArchive:
    """Reads and writes the segments and pages of one shard.

    Parameters
    ----------
    platform : PlatformClient
        Holds them.
    key : str
        Key of the shard's head; those of the others begin with it.
    """

    __slots__ = (
        "_index_by_page",
        "_key",
        "_listed",
        "_platform",
        "_records_by_segment",
    )

    def __init__(self, platform: PlatformClient, key: str) -> None:
        self._platform = platform
        self._key = key
        self._index_by_page: dict[str, KeyIndex] = {}
        self._listed: tuple[tuple[Segment, ...], KeyIndex] = ((), KeyIndex(()))
        self._records_by_segment: OrderedDict[str, dict[str, Record]] = OrderedDict()

    async def load(self, head: ShardRecords) -> None:
        """Read the pages that a head names and forget all others.

        Raises
        ------
        PlatformUnavailableError
            If one of them can't be read.
        """
        named = {page.name for page in head.pages}
        for name in self._index_by_page.keys() - named:
            del self._index_by_page[name]
        for name in named - self._index_by_page.keys():
            body = await self._read(name)
            self._index_by_page[name] = KeyIndex(decode_segments(body["segments"]))

    async def find(self, head: ShardRecords, keys: Iterable[str]) -> dict[str, Record]:
        """Return the newest sealed record of each key that has one.

        Raises
        ------
        PlatformUnavailableError
            If a segment can't be read.
        """
        indexes = [self._index_by_page[page.name] for page in head.pages]
        if self._listed[0] != head.segments:
            self._listed = (head.segments, KeyIndex(head.segments))
        indexes.append(self._listed[1])
        found: dict[str, Record] = {}
        for key in keys:
            record = await self._find(key, indexes)
            if record is not None:
                found[key] = record
        return found

    async def seal(self, head: ShardRecords, now: datetime) -> None:
        """Move settled records of a large head to a segment that is written first.

        A segment or a page that no head comes to name is harmless.
        """
        sealed = head.sealable(now)
        if not sealed:
            return
        name = await self._write(encode_segment(sealed))
        if name is None:
            return
        newest = max(record.at for record in sealed.values())
        hashes = tuple(hash_key(key) for key in sealed)
        head.seal(Segment(name, newest, hashes), sealed)
        if len(head.segments) > MAX_LISTED_SEGMENTS:
            await self._move_to_page(head, now)

    async def _find(self, key: str, indexes: list[KeyIndex]) -> Record | None:
        for index in reversed(indexes):
            for name in index.candidates(key):
                record = (await self._segment(name)).get(key)
                if record is not None:
                    return record
        return None

    async def _move_to_page(self, head: ShardRecords, now: datetime) -> None:
        """Join the segments that a head lists with its last page, if that has room."""
        kept = head.pages
        segments = head.segments
        keys = _count_keys(segments)
        if kept and kept[-1].keys + keys <= MAX_PAGE_KEYS:
            segments = self._index_by_page[kept[-1].name].segments() + segments
            kept = kept[:-1]
        segments = unexpired(segments, now)
        name = await self._write({"segments": encode_segments(segments)})
        if name is None:
            return
        self._index_by_page[name] = KeyIndex(segments)
        newest = max(segment.newest for segment in segments)
        head.pages = (*kept, PageRef(name, newest, _count_keys(segments)))
        head.segments = ()

    async def _segment(self, name: str) -> dict[str, Record]:
        held = self._records_by_segment.get(name)
        if held is None:
            held = decode_segment(await self._read(name))
            self._records_by_segment[name] = held
            if len(self._records_by_segment) > CACHED_SEGMENTS:
                self._records_by_segment.popitem(last=False)
        self._records_by_segment.move_to_end(name)
        return held

    async def _read(self, name: str) -> dict[str, Any]:
        stored = await self._platform.get(f"{self._key}/{name}", CallKind.LEDGER)
        if stored.body is None:
            # A lagging read; a head names only what was written before it.
            raise PlatformUnavailableError(f"object {self._key}/{name} is missing")
        return stored.body

    async def _write(self, body: dict[str, Any]) -> str | None:
        """Write a new object; return its name, or ``None`` if that failed."""
        name = uuid.uuid4().hex
        try:
            await self._platform.put(f"{self._key}/{name}", body, 0, CallKind.LEDGER)
        except (ConflictError, PlatformUnavailableError):
            return None
        return name


def _count_keys(segments: tuple[Segment, ...]) -> int:
    return sum(len(segment.hashes) for segment in segments)
