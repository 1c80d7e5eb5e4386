"""Requests through live routers, compared with naive decisions in the same run.

Run with ``python -m benchmarks.requests [NAME...]``.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Awaitable, Callable
from random import Random

from twisted.internet import defer, reactor, task
from twisted.web.client import Agent, HTTPConnectionPool, readBody

from banyansail.clock import SystemClock
from banyansail.commands.remote import run_coroutine
from banyansail.commands.table import format_table
from banyansail.demo.load import LoadGenerator
from banyansail.demo.site import LocalSite
from banyansail.routing import choice
from banyansail.routing.retry import RetryBudget
from banyansail.standins.engine_state import EngineOptions
from benchmarks.measure import percentile, run_site, wait_until, wait_until_ready
from benchmarks.points import save_points
from tests.naive.decisions import NaiveQueue

RULES = [
    "service advisor-llm kind=model latency=330ms  # bench: x",
    "service depot-app kind=plain latency=200ms silence=300ms  # bench: x",
    "workspace counter weight=3  # bench: x",
    "workspace drafts weight=1  # bench: x",
    "limit advisor-llm queue=1000  # bench: x",
    "limit depot-app queue=1000  # bench: x",
    "route advisor-llm POST /v1/chat/completions repeat=yes priority=9 deadline=30s "
    "workspace=counter  # bench: x",
    "route advisor-llm POST /v1/chat/completions repeat=yes priority=1 "
    "deadline=120s  # bench: x",
    "route depot-app GET /stock/* repeat=yes priority=5 deadline=5s  # bench: x",
    "route depot-app POST /orders repeat=no priority=5 deadline=5s  # bench: x",
]


class UnlimitedRetryBudget(RetryBudget):
    """Retry budget without a limit."""

    def withdraw(self) -> bool:
        """Allow every retry."""
        return True


async def start(site: LocalSite, *zones: str) -> LoadGenerator:
    """Apply the rules, start a router in each zone and return a load generator."""
    await site.apply_rules(RULES)
    for number, zone in enumerate(zones):
        site.add_router(f"r{number}", zone)
    await wait_until_ready(site)
    addresses = [item.settings.listen for item in site.router_by_name.values()]
    return LoadGenerator(reactor, SystemClock(), addresses, Random(1))


async def measure_hop(site: LocalSite) -> list[list[str]]:
    """Measure the latency of lookups through a router and of direct calls."""
    service = site.add_service("s0", "glasgow")
    await start(site, "glasgow")
    listen = site.router_by_name["r0"].settings.listen
    pool = HTTPConnectionPool(reactor)
    agent = Agent(reactor, pool=pool)
    direct = f"http://{service.standin.address}/stock/a".encode()
    routed = f"http://{listen}/depot-app/stock/a".encode()
    samples: dict[bytes, list[float]] = {direct: [], routed: []}
    for _ in range(400):
        for url, latencies_ms in samples.items():
            started_at = time.perf_counter()
            await readBody(await agent.request(b"GET", url))
            latencies_ms.append((time.perf_counter() - started_at) * 1e3)
    await pool.closeCachedConnections()
    rows = []
    for share in (0.5, 0.95):
        direct_ms, routed_ms = (
            percentile(samples[url], share) for url in (direct, routed)
        )
        rows.append(
            [
                f"p{share * 100:.0f}",
                f"{direct_ms:.2f}",
                f"{routed_ms:.2f}",
                f"{routed_ms - direct_ms:.2f}",
            ]
        )
    return [["lookup", "direct, ms", "routed, ms", "added, ms"], *rows]


async def _measure_questions(site: LocalSite, *, is_naive: bool) -> list[str]:
    for number in range(3):
        options = EngineOptions(token_s=0.004, slots=8)
        site.add_engine(f"e{number}", "glasgow", options)
    load = await start(site, "glasgow")
    if is_naive:
        _use_naive_queue(site)
    for _ in range(120):
        load.send("draft")
    await task.deferLater(reactor, 0.5)
    for _ in range(60):
        load.send("question")
        await task.deferLater(reactor, 0.03)
    await load.drain()
    await load.close()
    question, draft = load.result("question"), load.result("draft")
    return [
        "naive" if is_naive else "ours",
        f"{question.answered}/{question.sent}",
        f"{question.percentile(0.5).total_seconds():.2f}",
        f"{question.percentile(0.95).total_seconds():.2f}",
        f"{draft.answered}/{draft.sent}",
        f"{draft.percentile(0.95).total_seconds():.2f}",
    ]


def _use_naive_queue(site: LocalSite) -> None:
    for router in site.router_by_name.values():
        for dispatch in router.dispatcher.dispatch_by_service.values():
            dispatch.queue = NaiveQueue(1000)


async def measure_affinity(site: LocalSite, *, is_naive: bool) -> list[str]:
    """Measure the prompt tokens that engines prefill, with or without affinity."""
    for number in range(6):
        site.add_engine(f"e{number}", "glasgow", EngineOptions(token_s=0.001))
    load = await start(site, "glasgow", "edinburgh")
    prefixes = [
        f"shop {number}: " + " ".join(f"word{number}x{n}" for n in range(200))
        for number in range(60)
    ]
    original = choice._choose_by_affinity
    if is_naive:
        choice._choose_by_affinity = lambda *arguments: None
    try:
        random = Random(3)
        for _ in range(1200):
            prompt = random.choice(prefixes)
            done = defer.Deferred.fromCoroutine(
                load._complete(prompt, 2, "counter", stream=False)
            )
            load.pending.add(done)
            done.addBoth(lambda result, item=done: load.pending.discard(item))
            await task.deferLater(reactor, 0.004)
        await load.drain()
    finally:
        choice._choose_by_affinity = original
    await load.close()
    counters = [item.state.counters for item in site.upstream_by_name.values()]
    prefill_tokens = sum(item["prefill_tokens"] for item in counters)
    return ["random choice" if is_naive else "affinity", str(prefill_tokens)]


WARM_UP_REQUESTS = 300
STEADY_REQUESTS = 600
FAULTS = ("refusing", "hanging", "flapping")


async def measure_amplification(
    site: LocalSite, fault: str, *, is_naive: bool
) -> list[str]:
    """Measure the attempts for each request while every upstream fails."""
    services = [site.add_service(f"s{number}", "glasgow") for number in range(3)]
    load = await start(site, "glasgow")
    if is_naive:
        for router in site.router_by_name.values():
            router.context.retry_budget_by_service["depot-app"] = UnlimitedRetryBudget()
    for item in services:
        faults = item.state.faults
        faults.refuse = fault == "refusing"
        faults.delay_s = 3.0 if fault == "hanging" else 0.0
        faults.drop_answers = 10**9 if fault == "flapping" else 0
    attempts = []
    for requests in (WARM_UP_REQUESTS, STEADY_REQUESTS):
        before = sum(item.state.calls for item in services)
        for _ in range(requests):
            load.send("lookup")
            await task.deferLater(reactor, 0.005)
        await load.drain()
        attempt_count = sum(item.state.calls for item in services) - before
        attempts.append(attempt_count / requests)
    await load.close()
    return [
        fault,
        "naive" if is_naive else "ours",
        *(f"{number:.2f}" for number in attempts),
    ]


async def measure_ledger(site: LocalSite, rate: float) -> list[str]:
    """Measure the platform writes for each order at a rate of orders a second."""
    for number in range(2):
        site.add_service(f"s{number}", "glasgow")
    load = await start(site, "glasgow", "glasgow", "edinburgh")
    before = site.platform_state.calls.get("write", 0)
    seconds = max(3.0, 10 / rate)
    count = int(rate * seconds)
    for _ in range(count):
        load.send("order")
        await task.deferLater(reactor, 1 / rate)
    await load.drain()
    await task.deferLater(reactor, 1.0)
    writes = site.platform_state.calls["write"] - before
    result = load.result("order")
    await load.close()
    p95 = result.percentile(0.95).total_seconds() * 1e3
    return [f"{rate:.0f}", str(count), f"{writes / count:.2f}", f"{p95:.0f}"]


def _print_table(title: str, rows: list[list[str]]) -> None:
    print(f"\n{title}")
    print(format_table(rows[0], rows[1:]))


def bench_hop() -> None:
    """Print the latency that a router adds."""
    _print_table("Latency of a hop", run_site(measure_hop))


def _run_on_new_sites(
    measurements: list[Callable[[LocalSite], Awaitable[list[str]]]],
) -> Callable[[], Awaitable[list[list[str]]]]:
    async def run() -> list[list[str]]:
        rows = []
        for measurement in measurements:
            with LocalSite(reactor) as site:
                rows.append(await measurement(site))
            await wait_until(lambda: True)
        return rows

    return run


def _measure_and_print(
    title: str, header: list[str], measurements: list
) -> list[list[str]]:
    rows = run_coroutine(_run_on_new_sites(measurements))
    _print_table(title, [header, *rows])
    return rows


def bench_questions() -> None:
    """Print latencies of questions while drafts saturate the engines."""
    _measure_and_print(
        "Counter questions while drafts saturate the engines (seconds)",
        ["queue", "questions", "p50", "p95", "drafts", "p95"],
        [
            lambda site: _measure_questions(site, is_naive=False),
            lambda site: _measure_questions(site, is_naive=True),
        ],
    )


def bench_affinity() -> None:
    """Print the prompt tokens prefilled with and without affinity."""
    _measure_and_print(
        "Prompt tokens read by engines, 1200 requests with 60 prefixes",
        ["choice", "tokens read"],
        [
            lambda site: measure_affinity(site, is_naive=False),
            lambda site: measure_affinity(site, is_naive=True),
        ],
    )


def bench_amplification() -> None:
    """Print the attempts for each request while upstreams fail."""
    measurements = []
    for fault in FAULTS:
        for is_naive in (False, True):
            measurements.append(
                lambda site, fault=fault, is_naive=is_naive: measure_amplification(
                    site, fault, is_naive=is_naive
                )
            )
    _measure_and_print(
        "Attempts for each request while every upstream fails",
        ["upstreams", "budget", "first 300", "next 600"],
        measurements,
    )


def bench_ledger() -> None:
    """Print the platform writes for each order."""
    rows = _measure_and_print(
        "Platform writes for each order, three routers",
        ["orders/s", "orders", "writes an order", "p95, ms"],
        [lambda site, rate=rate: measure_ledger(site, rate) for rate in (1, 10, 100)],
    )
    points = [{"rate": float(row[0]), "writes": float(row[2])} for row in rows]
    save_points("ledger", points)


BENCHMARK_BY_NAME = {
    "hop": bench_hop,
    "questions": bench_questions,
    "affinity": bench_affinity,
    "amplification": bench_amplification,
    "ledger": bench_ledger,
}

if __name__ == "__main__":
    # The reactor can run only once in a process.
    for name in sys.argv[1:2]:
        BENCHMARK_BY_NAME[name]()
    if not sys.argv[1:]:
        sys.exit(f"name one of {', '.join(BENCHMARK_BY_NAME)}")
