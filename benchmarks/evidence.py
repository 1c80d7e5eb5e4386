"""Bytes and delay of the evidence of a move for up to 320 routers.

The exchanges of all routers run in this process on a fake clock; datagrams are encoded
and decoded as on the wire. Run with
``python -m benchmarks.evidence [SIZE...]``.
"""

from __future__ import annotations

import sys
import time

from benchmarks.points import report_sizes
from tests.router.control.evidence_network import MOVE_NUMBER, Routers

SIZES = (9, 36, 90, 320)
ZONES = 7
WORKSPACES = 5
TRAFFIC_S = 20
STEP_S = 0.4
MAX_DELAY_S = 120


def measure(size: int) -> dict[str, float]:
    """Measure one size, with traffic of the move at every router."""
    zones = min(ZONES, size // 2)
    routers = Routers(zones, size // zones)
    at_rest = _bytes_per_s(routers, [])
    names = list(routers.recorder_by_name)
    moving = _bytes_per_s(routers, names)
    return {
        "routers": len(names),
        "rest_bytes_per_s": at_rest["mean"],
        "rest_busiest_bytes_per_s": at_rest["most"],
        "moving_bytes_per_s": moving["mean"],
        "moving_busiest_bytes_per_s": moving["most"],
        "known_everywhere_s": _propagation_delay_s(routers),
        "plan_ms": _plan_ms(routers),
    }


def _bytes_per_s(routers: Routers, recording: list[str]) -> dict[str, float]:
    """Return the bytes that a router sends and receives per second."""
    network = routers.network
    sent_before = dict(network.bytes_by_name)
    received_before = dict(network.received_by_name)
    for _ in range(round(TRAFFIC_S / STEP_S)):
        for name in recording:
            for number in range(WORKSPACES):
                routers.record_calls(name, 1, f"workspace-{number}")
        routers.run(STEP_S)
    transferred = [
        network.bytes_by_name[name]
        - sent_before[name]
        + network.received_by_name[name]
        - received_before[name]
        for name in routers.recorder_by_name
    ]
    return {
        "mean": sum(transferred) / len(transferred) / TRAFFIC_S,
        "most": max(transferred) / TRAFFIC_S,
    }


def _propagation_delay_s(routers: Routers) -> float:
    """Return how long it takes until every router has counted a call."""
    name = next(iter(routers.recorder_by_name))
    routers.run(MAX_DELAY_S / 4)
    (before,) = routers.totals()
    routers.record_calls(name, 1)
    elapsed = 0.0
    while routers.totals() != {before + 1}:
        routers.run(STEP_S)
        elapsed += STEP_S
        assert elapsed < MAX_DELAY_S
    return elapsed


def _plan_ms(routers: Routers) -> float:
    """Return the processor time of one exchange and sum at an aggregator."""
    node = next(iter(routers.network.node_by_name.values()))
    name = routers.duties(node).zone_aggregators()[0]
    exchange = routers.exchange_by_name[name]
    rounds = 20
    start = time.process_time()
    for _ in range(rounds):
        exchange.exchange()
        exchange.of_move(MOVE_NUMBER)
    return (time.process_time() - start) / rounds * 1e3


def main(sizes: list[int]) -> None:
    """Print a table and save the points."""
    report_sizes("evidence", "routers", [measure(size) for size in sizes])


if __name__ == "__main__":
    main([int(item) for item in sys.argv[1:]] or list(SIZES))
