"""Archive of one shard's sealed records, read from the platform's store on demand."""

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
    from banyansail.ledger.records import Record, ShardHead

MAX_LISTED_SEGMENTS = 32  # a head that would list more moves them to a page
MAX_PAGE_KEYS = 100_000
CACHED_SEGMENTS = 16


class ShardArchive:
    """Reader and writer of the segments and pages of one shard.

    Parameters
    ----------
    platform : PlatformClient
        Client of the store that holds the objects.
    key : str
        Key of the shard's head, which prefixes the keys of its segments and pages.
    """

    __slots__ = (
        "_index_by_page",
        "_key",
        "_listed_index",
        "_platform",
        "_records_by_segment",
    )

    def __init__(self, platform: PlatformClient, key: str) -> None:
        self._platform = platform
        self._key = key
        self._index_by_page: dict[str, KeyIndex] = {}
        self._listed_index: tuple[tuple[Segment, ...], KeyIndex] = ((), KeyIndex(()))
        self._records_by_segment: OrderedDict[str, dict[str, Record]] = OrderedDict()

    async def load_pages(self, head: ShardHead) -> None:
        """Read the pages that a head names and remove all others from memory.

        Raises
        ------
        PlatformUnavailableError
            If a page can't be read.
        """
        page_names = {page.name for page in head.pages}
        for name in self._index_by_page.keys() - page_names:
            del self._index_by_page[name]
        for name in page_names - self._index_by_page.keys():
            body = await self._read_object(name)
            self._index_by_page[name] = KeyIndex(decode_segments(body["segments"]))

    async def find(self, head: ShardHead, keys: Iterable[str]) -> dict[str, Record]:
        """Return the newest sealed record of each key that has one.

        Raises
        ------
        PlatformUnavailableError
            If a segment can't be read.
        """
        indexes = [self._index_by_page[page.name] for page in head.pages]
        if self._listed_index[0] != head.segments:
            self._listed_index = (head.segments, KeyIndex(head.segments))
        indexes.append(self._listed_index[1])
        found: dict[str, Record] = {}
        for key in keys:
            record = await self._find_record(key, indexes)
            if record is not None:
                found[key] = record
        return found

    async def seal(self, head: ShardHead, now: datetime) -> None:
        """Move the settled records of a large head to a new segment.

        The segment is written before the head that names it. If that head is never
        written, no head names the segment or page, which is harmless.
        """
        sealed = head.sealable_records(now)
        if not sealed:
            return
        name = await self._write_object(encode_segment(sealed))
        if name is None:
            return
        newest = max(record.started_at for record in sealed.values())
        hashes = tuple(hash_key(key) for key in sealed)
        head.seal(Segment(name, newest, hashes), sealed)
        if len(head.segments) > MAX_LISTED_SEGMENTS:
            await self._move_to_page(head, now)

    async def _find_record(self, key: str, indexes: list[KeyIndex]) -> Record | None:
        for index in reversed(indexes):
            for name in index.candidate_segments(key):
                record = (await self._load_segment(name)).get(key)
                if record is not None:
                    return record
        return None

    async def _move_to_page(self, head: ShardHead, now: datetime) -> None:
        """Write a page of the listed segments, merged with the last page if it fits."""
        pages = head.pages
        segments = head.segments
        keys = _count_keys(segments)
        if pages and pages[-1].key_count + keys <= MAX_PAGE_KEYS:
            segments = self._index_by_page[pages[-1].name].segments() + segments
            pages = pages[:-1]
        segments = unexpired(segments, now)
        name = await self._write_object({"segments": encode_segments(segments)})
        if name is None:
            return
        self._index_by_page[name] = KeyIndex(segments)
        newest = max(segment.newest_at for segment in segments)
        head.pages = (*pages, PageRef(name, newest, _count_keys(segments)))
        head.segments = ()

    async def _load_segment(self, name: str) -> dict[str, Record]:
        records = self._records_by_segment.get(name)
        if records is None:
            records = decode_segment(await self._read_object(name))
            self._records_by_segment[name] = records
            if len(self._records_by_segment) > CACHED_SEGMENTS:
                self._records_by_segment.popitem(last=False)
        self._records_by_segment.move_to_end(name)
        return records

    async def _read_object(self, name: str) -> dict[str, Any]:
        stored = await self._platform.get(f"{self._key}/{name}", CallKind.LEDGER)
        if stored.body is None:
            # The read is stale: a head names only objects that were written before it.
            raise PlatformUnavailableError(f"object {self._key}/{name} is missing")
        return stored.body

    async def _write_object(self, body: dict[str, Any]) -> str | None:
        """Write a new object; return its name, or ``None`` if the write failed."""
        name = uuid.uuid4().hex
        try:
            await self._platform.put(f"{self._key}/{name}", body, 0, CallKind.LEDGER)
        except (ConflictError, PlatformUnavailableError):
            return None
        return name


def _count_keys(segments: tuple[Segment, ...]) -> int:
    return sum(len(segment.key_hashes) for segment in segments)
