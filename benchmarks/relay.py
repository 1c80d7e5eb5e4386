"""Processor time of a router for each streamed token and each request.

Runs a router, an engine and this client as separate processes, and reads the
router's processor time. Run with ``python -m benchmarks.relay``.
"""

from __future__ import annotations

import os
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from banyansail.commands.table import format_table
from benchmarks.points import save_points
from tests.processes import Programs, call, completion, wait_for_http

STREAMS = 12
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def processor_time_s(process_id: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(process_id: int) -> int:
    """Return the memory of a process."""
    pages = int(Path(f"/proc/{process_id}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def main() -> None:
    """Print a table and save the points."""
    with tempfile.TemporaryDirectory() as folder, Programs(Path(folder)) as programs:
        platform = programs.start_platform()
        engines = {
            name: programs.start_engine(name, "--token-ms=10", "--slots=64")
            for name in ("e1", "e2")
        }
        service = programs.start_service("s1")
        for port in engines.values():
            wait_for_http(port, "/health")
        wait_for_http(service, "/health")
        location = "zone=glasgow version=v1"
        upstream_lines = "".join(
            f"upstream {name} service=advisor-llm address=127.0.0.1:{port} {location}"
            "  # b: x\n"
            for name, port in engines.items()
        )
        programs.apply_rules(
            platform,
            "service advisor-llm kind=model  # b: x\n"
            "service depot-app kind=plain  # b: x\n"
            "route advisor-llm POST /v1/chat/completions repeat=yes "
            "deadline=2m  # b: x\n"
            "route depot-app GET /stock/* repeat=yes  # b: x\n"
            f"{upstream_lines}"
            f"upstream s1 service=depot-app address=127.0.0.1:{service} {location}"
            "  # b: x\n",
        )
        router_port, _, _ = programs.start_router("r0", platform)
        process_id = programs.process_by_name["r0"].pid
        rows = [
            ["streamed token", *_measure_tokens(router_port, process_id)],
            ["lookup", *_measure_lookups(router_port, process_id)],
        ]
        save_points(
            "relay",
            {
                "token_us": float(rows[0][2]),
                "lookup_us": float(rows[1][2]),
                "memory_mb": resident_bytes(process_id) / 1e6,
            },
        )
        print(f"router memory {resident_bytes(process_id) / 1e6:.0f} MB")
        print(format_table(["work", "count", "processor time each, us"], rows))


def _measure_tokens(router_port: int, process_id: int) -> list[str]:
    def stream(tokens: int) -> None:
        body = completion("bench", tokens, stream=True)
        status, _, _ = call(
            router_port, "POST", "/v1/chat/completions", body, timeout=120
        )
        assert status == 200

    stream(100)
    with ThreadPoolExecutor(STREAMS) as pool:
        used_s = []
        for tokens in (50, 550):
            before = processor_time_s(process_id)
            list(pool.map(stream, [tokens] * STREAMS))
            used_s.append(processor_time_s(process_id) - before)
    count = 500 * STREAMS
    return [str(count), f"{(used_s[1] - used_s[0]) / count * 1e6:.0f}"]


def _measure_lookups(router_port: int, process_id: int) -> list[str]:
    count = 2000

    def look_up(_: int) -> None:
        assert call(router_port, "GET", "/depot-app/stock/a")[0] == 200

    look_up(0)
    with ThreadPoolExecutor(STREAMS) as pool:
        before = processor_time_s(process_id)
        list(pool.map(look_up, range(count)))
        used_s = processor_time_s(process_id) - before
    return [str(count), f"{used_s / count * 1e6:.0f}"]


if __name__ == "__main__":
    main()
