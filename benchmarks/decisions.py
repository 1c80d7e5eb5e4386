"""Time of one routing decision at 5, 60 and 600 upstreams, against a naive scan.

Run with ``python -m benchmarks.decisions``.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable
from datetime import timedelta
from random import Random

from banyansail.clock import SystemClock
from banyansail.commands.table import format_table
from banyansail.config.fields import Address
from banyansail.config.rule_parser import parse_rules
from banyansail.config.rules import ServiceKind, UpstreamRule
from banyansail.routing.dispatch import Dispatcher
from banyansail.routing.request_types import RequestClass, Ticket
from benchmarks.points import save_points

SIZES = (5, 60, 600)
DECISIONS = 4000
IN_FLIGHT_SHARE = 0.5
RULES = "service llm kind=model  # bench: x\nlimit llm queue=1000  # bench: x\n"
ZONES = [f"zone{number}" for number in range(7)]


class UniformZoneLatency:
    """Gives all other zones the same latency."""

    def to_zone(self, zone: str) -> timedelta:
        """Return the latency to a zone."""
        return timedelta(0) if zone == ZONES[0] else timedelta(milliseconds=1)


def build_dispatcher(size: int) -> Dispatcher:
    """Return a dispatcher with upstreams spread over the zones."""
    dispatcher = Dispatcher(ZONES[0], UniformZoneLatency(), SystemClock(), Random(1))
    dispatcher.apply_rules(parse_rules(RULES)[0])
    dispatcher.apply_upstreams(
        {
            f"u{number}": UpstreamRule(
                f"u{number}",
                "llm",
                "v1",
                Address("127.0.0.1", 1),
                ZONES[number % len(ZONES)],
            )
            for number in range(size)
        }
    )
    return dispatcher


def new_ticket(number: int, affinity: str) -> Ticket:
    """Return a request whose deadline is far in the future."""
    request_class = RequestClass(
        "llm", ServiceKind.MODEL, "r", "w", True, 1, timedelta(hours=1)
    )
    deadline = timedelta(days=10_000)
    return Ticket(
        f"r{number}", request_class, timedelta(0), deadline, affinity=affinity
    )


def measure(size: int, affinity: Callable[[int], str]) -> float:
    """Return the median time of admission, assignment and end, in microseconds."""
    dispatcher = build_dispatcher(size)
    running = []
    for number in range(int(size * 8 * IN_FLIGHT_SHARE)):
        dispatcher.admit(new_ticket(number, ""))
        running.extend(dispatcher.assign())
    samples = []
    latency = timedelta(milliseconds=50)
    for number in range(DECISIONS):
        ticket = new_ticket(number, affinity(number))
        started_at = time.perf_counter()
        dispatcher.admit(ticket)
        assigned = dispatcher.assign()
        dispatcher.release(running[number % len(running)], latency, latency)
        samples.append(time.perf_counter() - started_at)
        running[number % len(running)] = assigned[0]
    return statistics.median(samples) * 1e6


def measure_naive(size: int) -> float:
    """Return the median time of a scan of all upstreams, in microseconds."""
    dispatcher = build_dispatcher(size)
    states = list(dispatcher.state_by_name.values())
    samples = []
    clock = SystemClock()
    for _ in range(DECISIONS // 10):
        started_at = time.perf_counter()
        now = clock.monotonic()
        usable = [state for state in states if state.has_room(now)]
        min(usable, key=lambda state: state.estimated_in_flight(now))
        samples.append(time.perf_counter() - started_at)
    return statistics.median(samples) * 1e6


def main() -> None:
    """Print a table and save the points."""
    points = [
        {
            "upstreams": size,
            "least_loaded_us": measure(size, lambda number: ""),
            "affinity_us": measure(size, lambda number: f"w/{number % 50}"),
            "naive_us": measure_naive(size),
        }
        for size in SIZES
    ]
    save_points("decisions", points)
    rows = [[f"{value:.0f}" for value in point.values()] for point in points]
    header = ["upstreams", "least loaded, us", "affinity, us", "naive scan, us"]
    print("median time of one decision (admission, choice, end of a call)")
    print(format_table(header, rows))


if __name__ == "__main__":
    main()
