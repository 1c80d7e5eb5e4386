"""Control traffic of 3, 9, 18 and 36 routers as processes on loopback.

Each size is measured at rest for a fixed time, then while rules change and while an
instance is marked as leaving. Run with
``python -m benchmarks.fleet [SIZE...]``; points go to ``benchmarks/points.json``.
"""

from __future__ import annotations

import json
import sys
import tempfile
import time
from pathlib import Path

from banyansail.commands.table import format_table
from benchmarks.measure import percentile
from benchmarks.points import save_points
from benchmarks.relay import processor_time_s, resident_bytes
from tests.processes import Programs, call, wait_until

SIZES = (3, 9, 18, 36)
ZONES = 3
REST_S = 15.0
CHANGES = 5
UPSTREAMS = 6


class Fleet:
    """A platform, engines and routers as processes."""

    def __init__(self, programs: Programs, size: int) -> None:
        self.programs = programs
        self.size = size
        self.platform = programs.start_platform()
        self.engines = {
            f"e{number}": programs.start_engine(f"e{number}")
            for number in range(UPSTREAMS)
        }
        self.apply_rules(0)
        self.admin: list[int] = []
        peers: list[int] = []
        for number in range(size):
            _, peer, admin = programs.start_router(
                f"r{number}",
                self.platform,
                zone=f"zone{number % ZONES}",
                peers=peers[:4],
                wait=False,
            )
            peers.append(peer)
            self.admin.append(admin)
        wait_until(
            lambda: all(self.live_member_count(port) == size for port in self.admin), 90
        )

    def apply_rules(self, number: int) -> None:
        """Apply rules that differ from the previous ones."""
        lines = [
            "service advisor-llm kind=model  # b: x",
            "route advisor-llm POST /v1/chat/completions repeat=yes  # b: x",
            f"workspace w{number}  # b: changes",
        ]
        for index, (name, port) in enumerate(self.engines.items()):
            lines.append(
                f"upstream {name} service=advisor-llm version=v1 "
                f"address=127.0.0.1:{port} zone=zone{index % ZONES}  # b: x"
            )
        self.programs.apply_rules(self.platform, "\n".join(lines) + "\n")

    def status(self, admin: int) -> dict:
        """Return the status of a router."""
        return json.loads(call(admin, "GET", "/status")[2])

    def live_member_count(self, admin: int) -> int:
        """Return how many routers are live according to one router."""
        return sum(item["live"] for item in self.status(admin)["members"])

    def platform_calls(self) -> int:
        """Return the number of calls to the platform."""
        count_by_kind = json.loads(call(self.platform, "GET", "/calls")[2])
        return sum(count_by_kind.values())

    def process_ids(self) -> list[int]:
        """Return the routers' process ids."""
        return [
            self.programs.process_by_name[f"r{number}"].pid
            for number in range(self.size)
        ]


def measure(size: int) -> dict[str, float]:
    """Measure one size."""
    with tempfile.TemporaryDirectory() as folder, Programs(Path(folder)) as programs:
        fleet = Fleet(programs, size)
        time.sleep(3)
        point = _measure_rest(fleet)
        point.update(_measure_changes(fleet))
        point["leaving_s"] = _measure_leaving(fleet)
        return point


def _measure_rest(fleet: Fleet) -> dict[str, float]:
    process_ids = fleet.process_ids()
    before = [processor_time_s(item) for item in process_ids]
    old_statuses = [fleet.status(port) for port in fleet.admin]
    platform_calls = fleet.platform_calls()
    started_at = time.monotonic()
    time.sleep(REST_S)
    elapsed = time.monotonic() - started_at
    after = [processor_time_s(item) for item in process_ids]
    rates = []
    datagrams = []
    for port, old in zip(fleet.admin, old_statuses, strict=True):
        new = fleet.status(port)
        counter_names = ("gossip_bytes_sent", "gossip_bytes_received")
        rates.append(sum(new[name] - old[name] for name in counter_names) / elapsed)
        sent = new["gossip_datagrams_sent"] - old["gossip_datagrams_sent"]
        datagrams.append(sent / elapsed)
    used_s = [new - old for new, old in zip(after, before, strict=True)]
    count = len(process_ids)
    return {
        "routers": count,
        "gossip_bytes_per_s": sum(rates) / count,
        "gossip_bytes_per_s_max": max(rates),
        "datagrams_per_s": sum(datagrams) / count,
        "core_share": sum(used_s) / elapsed / count,
        "core_share_max": max(used_s) / elapsed,
        "memory_mb": sum(resident_bytes(item) for item in process_ids) / count / 1e6,
        "platform_calls_per_s": (fleet.platform_calls() - platform_calls) / elapsed,
    }


def _measure_changes(fleet: Fleet) -> dict[str, float]:
    times = []
    platform_calls = fleet.platform_calls()
    for number in range(1, CHANGES + 1):
        fleet.apply_rules(number)
        accepted_at = time.monotonic()
        expected_version = number + 1
        waiting = set(fleet.admin)
        while waiting:
            for port in list(waiting):
                if fleet.status(port)["rules_version"] >= expected_version:
                    waiting.discard(port)
        times.append(time.monotonic() - accepted_at)
    return {
        "in_force_s": percentile(times, 0.5),
        "in_force_s_max": max(times),
        "calls_per_change": (fleet.platform_calls() - platform_calls) / CHANGES,
    }


def _measure_leaving(fleet: Fleet) -> float:
    call(
        fleet.platform,
        "POST",
        "/cloud/reclaim",
        {"ids": ["e0"], "notice_s": 60},
    )
    started_at = time.monotonic()
    waiting = set(fleet.admin)
    while waiting:
        for port in list(waiting):
            rows = fleet.status(port)["upstreams"]
            if any(item["name"] == "e0" and item["leaving"] for item in rows):
                waiting.discard(port)
    return time.monotonic() - started_at


def main(sizes: list[int]) -> None:
    """Print a table and save the points."""
    points = []
    for size in sizes:
        points.append(measure(size))
        print(json.dumps(points[-1]), flush=True)
    save_points("fleet", points)
    header = list(points[0])
    rows = [[f"{point[name]:.3g}" for name in header] for point in points]
    print(format_table(header, rows))


if __name__ == "__main__":
    main([int(item) for item in sys.argv[1:]] or list(SIZES))
