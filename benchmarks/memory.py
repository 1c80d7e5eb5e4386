"""Memory of each record of the ledger and each upstream, in bytes.

Run with ``python -m benchmarks.memory``.
"""

from __future__ import annotations

import tracemalloc
from datetime import UTC, datetime

from banyansail.commands.table import format_table
from banyansail.ledger.records import ShardHead, StartKey
from benchmarks.decisions import build_dispatcher
from benchmarks.points import save_points

RECORDS = 20_000
UPSTREAMS = 600


def measure_records() -> float:
    """Return the bytes of one record."""
    now = datetime.now(UTC)
    tracemalloc.start()
    records = ShardHead()
    for number in range(RECORDS):
        key = f"depot-app/workspace/key-{number:08d}"
        attempt = f"router-001.1796337637123/{number:020d}"
        records.apply(StartKey(key, attempt, number * 7919), now)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / len(records.record_by_key)


def measure_upstreams() -> float:
    """Return the bytes of one upstream in the indexes of the dispatcher."""
    tracemalloc.start()
    dispatcher = build_dispatcher(UPSTREAMS)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / len(dispatcher.state_by_name)


def main() -> None:
    """Print a table and save the points."""
    points = {
        "record_bytes": measure_records(),
        "upstream_bytes": measure_upstreams(),
    }
    save_points("memory", points)
    rows = [[name, f"{value:.0f}"] for name, value in points.items()]
    print(format_table(["what", "bytes"], rows))


if __name__ == "__main__":
    main()
