"""A ledger shard with a day of orders: memory, start time and cost of an order.

The platform is a fake in memory; bodies are encoded as JSON as on the wire. Run with
``python -m benchmarks.ledger_size [KEYS...]``.
"""

from __future__ import annotations

import json
import sys
import time
import tracemalloc
from random import Random

from twisted.internet.task import Clock as TwistedClock

from banyansail.ledger.archive import MAX_PAGE_KEYS
from banyansail.ledger.codec import encode_head
from banyansail.ledger.committer import ShardCommitter
from banyansail.ledger.key_index import PageRef, Segment, encode_segments
from banyansail.ledger.records import (
    FinishKey,
    ShardHead,
    Started,
    StartKey,
    StoredAnswer,
)
from benchmarks.points import report_sizes
from tests.fakes import FakeClock, FakePlatform

KEY_COUNTS = (0, 100_000, 1_000_000, 2_800_000)
SEGMENT_KEYS = 250
ORDERS = 2000
ANSWER = StoredAnswer(200, "application/json", json.dumps({"order": "x" * 100}))
STEP_S = 0.03  # about one order in each write, as at 32 orders a second


class JsonPlatform(FakePlatform):
    """Stores bodies as JSON and counts their bytes."""

    def __init__(self, clock: FakeClock) -> None:
        super().__init__(clock)
        self.bytes_written = 0

    async def get(self, key, kind=None):
        """Return a decoded object; a segment that was not stored is empty."""
        stored = await super().get(key, kind)
        body = {"records": {}} if stored.body is None else json.loads(stored.body)
        return type(stored)(key, stored.version, body)

    async def put(self, key, body, expected, kind=None):
        """Encode and store an object."""
        text = json.dumps(body)
        self.bytes_written += len(text)
        return await super().put(key, text, expected, kind)


def build_platform(key_count: int, clock: FakeClock) -> JsonPlatform:
    """Return a platform that stores a shard with a number of sealed keys."""
    random = Random(1)
    platform = JsonPlatform(clock)
    pages = []
    for number in range(key_count // MAX_PAGE_KEYS):
        segments = [
            Segment(
                f"{number:016x}{segment_number:016x}",
                clock.now(),
                tuple(random.getrandbits(32) for _ in range(SEGMENT_KEYS)),
            )
            for segment_number in range(MAX_PAGE_KEYS // SEGMENT_KEYS)
        ]
        name = f"{number:032x}"
        body = json.dumps({"segments": encode_segments(segments)})
        platform.stored[f"shard/{name}"] = (1, body)
        pages.append(PageRef(name, clock.now(), MAX_PAGE_KEYS))
    head = encode_head(ShardHead(pages=tuple(pages)))
    platform.stored["shard"] = (1, json.dumps(head))
    return platform


def measure(key_count: int) -> dict[str, float]:
    """Measure one size."""
    clock = FakeClock()
    platform = build_platform(key_count, clock)
    reactor = TwistedClock()
    tracemalloc.start()
    committer = ShardCommitter(reactor, platform, "shard", clock)
    start_s = _processor_time_s(
        lambda: _submit_order(committer, reactor, clock, "first")
    )
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    # Tracing slows a program down, so the times are measured without it.
    untraced = ShardCommitter(reactor, platform, "shard", clock)
    start_s = _processor_time_s(
        lambda: _submit_order(untraced, reactor, clock, "second")
    )
    reads, written, writes = platform.reads, platform.bytes_written, platform.writes

    def submit_orders() -> None:
        for number in range(ORDERS):
            _submit_order(
                untraced, reactor, clock, f"depot-app/shop-{number % 5}/{number}"
            )

    cost_s = _processor_time_s(submit_orders)
    return {
        "keys": key_count,
        "memory_mb": memory_bytes / 1e6,
        "start_s": start_s,
        "order_us": cost_s / ORDERS * 1e6,
        "reads_an_order": (platform.reads - reads) / ORDERS,
        "writes_an_order": (platform.writes - writes) / ORDERS,
        "written_kb_an_order": (platform.bytes_written - written) / ORDERS / 1e3,
    }


def _submit_order(
    committer: ShardCommitter, reactor: TwistedClock, clock: FakeClock, key: str
) -> None:
    results: list = []
    attempt = f"router-001.1796337637123/{key}"
    committer.submit(StartKey(key, attempt, 1)).addBoth(results.append)
    committer.submit(FinishKey(key, attempt, ANSWER))
    clock.advance(STEP_S)
    reactor.advance(STEP_S)
    assert results == [Started()], results


def _processor_time_s(work) -> float:
    start = time.process_time()
    work()
    return time.process_time() - start


def main(sizes: list[int]) -> None:
    """Print a table and save the points."""
    report_sizes("ledger", "keys", [measure(size) for size in sizes])


if __name__ == "__main__":
    main([int(item) for item in sys.argv[1:]] or list(KEY_COUNTS))
