"""Processor time of a gateway among others without requests, by function.

Gateways run as processes on loopback, with a store in this process. One of them is
profiled; the shares of a core are those of the others.

Usage:
  idle_router [--routers=N] [--zones=N] [--upstreams=N] [--seconds=S] [--functions=N]
              [--profile=FILE]

Options:
  --routers=N    Gateways [default: 36].
  --zones=N      Data centres [default: 6].
  --upstreams=N  Upstreams in the store [default: 45].
  --seconds=S    Time to measure in [default: 20].
  --functions=N  Functions to print, by their own time [default: 25].
  --profile=FILE  Where to keep the profile, for ``pstats``.
"""

from __future__ import annotations

import http.client
import json
import os
import pstats
import resource
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from docopt import docopt

from banyansail.commands.table import format_table
from banyansail.config.fields import Address
from banyansail.standins.server import RunningStandin
from banyansail.standins.store import StoreStandin
from banyansail.standins.web import TrackingSite
from benchmarks.relay import processor_time_s, resident_bytes
from tests.gateway.live_gateway import config_body
from tests.live import in_reactor, run_reactor
from tests.ports import free_port
from tests.processes import Programs, wait_until

START_TIMEOUT_S = 240
SETTLE_S = 20.0  # from readiness; the duties have their holders by then
WORKSPACES = 16
IMPORT_RUNS = 5
LOAD_CODE = "from banyansail.gateway.__main__ import load_gateway; load_gateway()"
LISTENERS = ("listen", "ready", "relay", "metrics", "peer")
PROFILED = "r0"
WRITE_S = 1.0  # of the profile
# Functions whose time, with that of the functions they call, is printed.
PARTS = {
    "datagrams in": ("datagrams.py", "datagramReceived"),
    "- decoding of datagrams": ("gossip_codec.py", "decode_gossip"),
    "- digests and entries": ("gossiper.py", "receive"),
    "- entries applied": ("peer_messages.py", "apply_entries"),
    "- - decoding of reports": ("traffic_codec.py", "decode_report"),
    "- - decoding of sums": ("traffic_codec.py", "decode_sum"),
    "- - use of sums": ("traffic_report.py", "apply_fleet_traffic"),
    "datagrams out": ("datagrams.py", "send"),
    "push": ("gossip_work.py", "push"),
    "digests": ("gossip_work.py", "exchange_digests"),
    "state": ("gossip_work.py", "publish_state"),
    "- limits": ("limit_sharing.py", "update"),
    "- speeds": ("speed_sharing.py", "update"),
    "traffic": ("gossip_work.py", "exchange_traffic"),
    "- report": ("exchange.py", "send_report"),
    "- sums": ("exchange.py", "send_sums"),
    "catch-up": ("store_work.py", "catch_up"),
    "following of a watcher": ("store_following.py", "follow_watcher"),
    "following of the store": ("store_following.py", "follow"),
    "answers to followers": ("store_following.py", "answer"),
    "store probe": ("store_work.py", "probe"),
    "assignment": ("tasks.py", "assign_waiting"),
    "reach": ("reach_check.py", "run"),
    "usage": ("duty_work.py", "report_usage"),
    "replicas": ("duty_work.py", "scale"),
    "moves": ("controller.py", "publish_states"),
    "quarantines": ("quarantine_store.py", "synchronize"),
    "lapsed upstreams": ("store_work.py", "expire_upstreams"),
    "connections, in and out": ("tcp.py", "doRead"),
    "timers, all tasks included": ("base.py", "runUntilCurrent"),
    "log": ("log.py", "log_event"),
    "clock": ("clock.py", "monotonic"),
}


class IdleFleet:
    """Gateways as processes, one of them profiled, and their store."""

    def __init__(self, folder: Path, routers: int, zones: int, upstreams: int) -> None:
        self._folder = folder
        self._zones = zones
        self._upstreams = upstreams
        self._host_by_name = {
            f"r{item}": f"127.0.1.{item + 1}" for item in range(routers)
        }
        self._port_by_listener = {name: free_port() for name in LISTENERS}
        self._programs = Programs(folder)
        self._profile_path = folder / "profile"
        store = StoreStandin()
        self._state = store.state
        self._running = RunningStandin(store, TrackingSite(store))

    def __enter__(self) -> IdleFleet:
        run_reactor()
        in_reactor(self._start_store)
        for number, name in enumerate(self._host_by_name):
            self._start_router(name, f"zone-{number % self._zones}")
        for host in self._host_by_name.values():
            wait_until(lambda: self._is_ready(host), START_TIMEOUT_S)  # noqa: B023
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._programs.__exit__(*exc_info)
        in_reactor(self._running.kill)

    def _start_store(self) -> None:
        self._running.listen(Address("127.0.0.1", 0))
        workspaces = [
            {"name": f"w{item}", "apiKeys": [f"key-{item}"], "ratePerS": 5, "burst": 5}
            for item in range(WORKSPACES)
        ]
        self._state.put("config", "main", spec=config_body(tenants=workspaces))
        for number in range(self._upstreams):
            spec = {
                "service": "depot" if number % 3 else "engines",
                "address": f"127.0.2.{number + 1}:80",
                "zone": f"zone-{number % self._zones}",
                "version": "v1",
                "slots": 16,
                "state": "ready",
                "seq": 1,
                "born": 1,
            }
            self._state.put("servers", f"u{number}", spec=spec)

    def _start_router(self, name: str, zone: str) -> None:
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(self._settings(name, zone)))
        arguments = [f"--settings={path}"]
        module = "banyansail.gateway"
        if name == PROFILED:
            module = "benchmarks.profiled_gateway"
            arguments.append(f"--output={self._profile_path}")
        self._programs.start(name, module, *arguments)

    def _settings(self, name: str, zone: str) -> dict[str, object]:
        host = self._host_by_name[name]
        store = str(self._running.address)
        addresses = {
            listener: f"{host}:{port}"
            for listener, port in self._port_by_listener.items()
        }
        return {
            **addresses,
            "name": name,
            "zone": zone,
            "region": "scotland",
            "seeds": [f"{item}:1" for item in self._host_by_name.values()],
            "store": store,
            "cloud": store,
            "shared_key": "a shared key for tests only",
            "grace_s": 8,
            "retry_ratio": 0.2,
            "retry_slack": 58,
            "retry_window_s": 10,
            "quota_slack": 25.0,
            "usage_window_s": 5,
            "usage_late_s": 10,
            "lease_ms": 3000,
            "expose_share": 0.5,
            "evacuate_ms": 5000,
            "cold_over": 1.5,
            "cold_slack": 5.0,
            "store_watchers": 3,
        }

    def _is_ready(self, host: str) -> bool:
        port = self._port_by_listener["ready"]
        connection = http.client.HTTPConnection(host, port, timeout=5)
        try:
            connection.request("GET", "/")
            return connection.getresponse().status == 200
        finally:
            connection.close()

    def process_ids(self) -> list[int]:
        """Return the process ids of the gateways that are not profiled."""
        return [
            process.pid
            for name, process in self._programs.process_by_name.items()
            if name != PROFILED
        ]

    def start_profile(self) -> None:
        """Begin to profile one gateway."""
        self._programs.signal(PROFILED, signal.SIGUSR1)

    def finish_profile(self) -> pstats.Stats:
        """Return the profile of that gateway."""
        self._programs.signal(PROFILED, signal.SIGUSR2)
        wait_until(lambda: self._profile_path.stat().st_size > 0)
        time.sleep(WRITE_S)
        return pstats.Stats(str(self._profile_path))


def import_time_s() -> float:
    """Return the processor time of a process that only loads the gateway."""
    command = [sys.executable, "-c", LOAD_CODE]
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    for _ in range(IMPORT_RUNS):
        subprocess.run(command, check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    used_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    return used_s / IMPORT_RUNS


def measure(fleet: IdleFleet, seconds: float) -> tuple[dict[str, float], pstats.Stats]:
    """Return the figures of the gateways, and the profile of one of them."""
    process_ids = fleet.process_ids()
    ready_s = [processor_time_s(item) for item in process_ids]
    time.sleep(SETTLE_S)
    before_s = [processor_time_s(item) for item in process_ids]
    fleet.start_profile()
    started_at = time.monotonic()
    time.sleep(seconds)
    elapsed_s = time.monotonic() - started_at
    after_s = [processor_time_s(item) for item in process_ids]
    profile = fleet.finish_profile()
    shares = [
        (after - before) / elapsed_s
        for before, after in zip(before_s, after_s, strict=True)
    ]
    count = len(process_ids)
    figures = {
        "until_ready_s": sum(ready_s) / count,
        "core_share_settling": (sum(before_s) - sum(ready_s)) / SETTLE_S / count,
        "core_share": sum(shares) / count,
        "core_share_max": max(shares),
        "memory_mb": sum(map(resident_bytes, process_ids)) / count / 1e6,
    }
    return figures, profile


def part_rows(profile: pstats.Stats, seconds: float) -> list[list[str]]:
    """Return a row for each of the `PARTS`."""
    rows = []
    for part, (file, function) in PARTS.items():
        for key, (_, calls, _, total_s, _) in profile.stats.items():
            if Path(key[0]).name == file and key[2] == function:
                rows.append(_row(part, calls, total_s, seconds))
    return rows


def function_rows(profile: pstats.Stats, seconds: float, count: int) -> list[list[str]]:
    """Return a row for each of the functions with the most time of their own."""
    functions = sorted(profile.stats.items(), key=lambda item: -item[1][2])
    rows = []
    for (file, line, name), (_, calls, own_s, _, _) in functions[:count]:
        where = f"{Path(file).name}:{line} {name}" if line else name
        rows.append(_row(where, calls, own_s, seconds))
    return rows


def _row(name: str, calls: int, used_s: float, seconds: float) -> list[str]:
    return [name, f"{calls / seconds:.1f}", f"{used_s / seconds * 1000:.2f}"]


def main(argv: list[str] | None = None) -> None:
    """Print the figures and the profile."""
    arguments = docopt(__doc__, argv)
    sizes = [int(arguments[name]) for name in ("--routers", "--zones", "--upstreams")]
    seconds = float(arguments["--seconds"])
    print(json.dumps({"import_s": import_time_s()}), flush=True)
    with tempfile.TemporaryDirectory() as folder:
        with IdleFleet(Path(folder), *sizes) as fleet:
            figures, profile = measure(fleet, seconds)
    print(json.dumps({"load": os.getloadavg()[0], **figures}))
    if arguments["--profile"]:
        profile.dump_stats(arguments["--profile"])
    header = ["of one gateway", "calls/s", "ms/s, profiled"]
    print(format_table(header, part_rows(profile, seconds)))
    header[0] = "function, own time"
    count = int(arguments["--functions"])
    print(format_table(header, function_rows(profile, seconds, count)))


if __name__ == "__main__":
    main()
