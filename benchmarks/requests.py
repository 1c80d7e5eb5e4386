"""Requests through live routers, ours against naive decisions in the same run.

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
from banyansail.demo.load import LoadTool
from banyansail.demo.site import LocalSite
from banyansail.routing import choice
from banyansail.routing.retry import RetryBudget
from banyansail.standins.engine_state import EngineOptions
from benchmarks.measure import percentile, ready, run_site, until
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


class EndlessBudget(RetryBudget):
    """Retries as many as are asked for."""

    def withdraw(self) -> bool:
        """Allow every retry."""
        return True


async def start(site: LocalSite, *zones: str) -> LoadTool:
    """Apply the rules, start a router in each zone and return a load tool."""
    await site.apply_rules(RULES)
    for number, zone in enumerate(zones):
        site.add_router(f"r{number}", zone)
    await ready(site)
    addresses = [item.settings.listen for item in site.router_by_name.values()]
    return LoadTool(reactor, SystemClock(), addresses, Random(1))


async def measure_hop(site: LocalSite) -> list[list[str]]:
    """Latency of a lookup through a router against direct calls."""
    service = site.add_service("s0", "glasgow")
    await start(site, "glasgow")
    listen = site.router_by_name["r0"].settings.listen
    pool = HTTPConnectionPool(reactor)
    agent = Agent(reactor, pool=pool)
    direct = f"http://{service.standin.address}/stock/a".encode()
    routed = f"http://{listen}/depot-app/stock/a".encode()
    samples: dict[bytes, list[float]] = {direct: [], routed: []}
    for _ in range(400):
        for url, taken in samples.items():
            began = time.perf_counter()
            await readBody(await agent.request(b"GET", url))
            taken.append((time.perf_counter() - began) * 1e3)
    await pool.closeCachedConnections()
    rows = []
    for share in (0.5, 0.95):
        low, high = (percentile(samples[url], share) for url in (direct, routed))
        rows.append(
            [f"p{share * 100:.0f}", f"{low:.2f}", f"{high:.2f}", f"{high - low:.2f}"]
        )
    return [["lookup", "direct, ms", "routed, ms", "added, ms"], *rows]


async def _measure_questions(site: LocalSite, *, naive: bool) -> list[str]:
    for number in range(3):
        options = EngineOptions(token_s=0.004, slots=8)
        site.add_engine(f"e{number}", "glasgow", options)
    load = await start(site, "glasgow")
    if naive:
        _make_queue_naive(site)
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
        "naive" if naive else "ours",
        f"{question.answered}/{question.sent}",
        f"{question.percentile(0.5).total_seconds():.2f}",
        f"{question.percentile(0.95).total_seconds():.2f}",
        f"{draft.answered}/{draft.sent}",
        f"{draft.percentile(0.95).total_seconds():.2f}",
    ]


def _make_queue_naive(site: LocalSite) -> None:
    for router in site.router_by_name.values():
        for dispatch in router.dispatcher.dispatch_by_service.values():
            dispatch.queue = NaiveQueue(1000)


async def measure_affinity(site: LocalSite, *, naive: bool) -> list[str]:
    """Prompt tokens that engines had to read, with and without affinity."""
    for number in range(6):
        site.add_engine(f"e{number}", "glasgow", EngineOptions(token_s=0.001))
    load = await start(site, "glasgow", "edinburgh")
    prefixes = [
        f"shop {number}: " + " ".join(f"word{number}x{n}" for n in range(200))
        for number in range(60)
    ]
    original = choice._choose_by_affinity
    if naive:
        choice._choose_by_affinity = lambda *arguments: None
    try:
        random = Random(3)
        for _ in range(1200):
            prompt = random.choice(prefixes)
            done = defer.Deferred.fromCoroutine(
                load._complete(prompt, 2, "counter", stream=False)
            )
            load.running.add(done)
            done.addBoth(lambda result, item=done: load.running.discard(item))
            await task.deferLater(reactor, 0.004)
        await load.drain()
    finally:
        choice._choose_by_affinity = original
    await load.close()
    counters = [item.state.counters for item in site.upstream_by_name.values()]
    read = sum(item["prefill_tokens"] for item in counters)
    return ["random choice" if naive else "affinity", str(read)]


WARM_UP_REQUESTS = 300
STEADY_REQUESTS = 600
FAULTS = ("refusing", "hanging", "flapping")


async def measure_amplification(
    site: LocalSite, fault: str, *, naive: bool
) -> list[str]:
    """Attempts for each request while every upstream fails."""
    services = [site.add_service(f"s{number}", "glasgow") for number in range(3)]
    load = await start(site, "glasgow")
    if naive:
        for router in site.router_by_name.values():
            router.context.retry_budget_by_service["depot-app"] = EndlessBudget()
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
        made = sum(item.state.calls for item in services) - before
        attempts.append(made / requests)
    await load.close()
    return [
        fault,
        "naive" if naive else "ours",
        *(f"{number:.2f}" for number in attempts),
    ]


async def measure_ledger(site: LocalSite, rate: float) -> list[str]:
    """Platform writes for each order at a rate of orders a second."""
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


def _table(title: str, rows: list[list[str]]) -> None:
    print(f"\n{title}")
    print(format_table(rows[0], rows[1:]))


def bench_hop() -> None:
    """Print the cost of a hop."""
    _table("Latency of a hop", run_site(measure_hop))


def _each(
    acts: list[Callable[[LocalSite], Awaitable[list[str]]]],
) -> Callable[[], Awaitable[list[list[str]]]]:
    async def run() -> list[list[str]]:
        rows = []
        for act in acts:
            with LocalSite(reactor) as site:
                rows.append(await act(site))
            await until(lambda: True)
        return rows

    return run


def _run_each(title: str, header: list[str], acts: list) -> list[list[str]]:
    rows = run_coroutine(_each(acts))
    _table(title, [header, *rows])
    return rows


def bench_questions() -> None:
    """Print latencies of questions while drafts saturate the engines."""
    _run_each(
        "Counter questions while drafts saturate the engines (seconds)",
        ["queue", "questions", "p50", "p95", "drafts", "p95"],
        [
            lambda site: _measure_questions(site, naive=False),
            lambda site: _measure_questions(site, naive=True),
        ],
    )


def bench_affinity() -> None:
    """Print prompt tokens read with affinity and without."""
    _run_each(
        "Prompt tokens read by engines, 1200 requests with 60 prefixes",
        ["choice", "tokens read"],
        [
            lambda site: measure_affinity(site, naive=False),
            lambda site: measure_affinity(site, naive=True),
        ],
    )


def bench_amplification() -> None:
    """Print attempts for each request while upstreams fail."""
    acts = []
    for fault in FAULTS:
        for naive in (False, True):
            acts.append(
                lambda site, fault=fault, naive=naive: measure_amplification(
                    site, fault, naive=naive
                )
            )
    _run_each(
        "Attempts for each request while every upstream fails",
        ["upstreams", "budget", "first 300", "next 600"],
        acts,
    )


def bench_ledger() -> None:
    """Print platform writes for each order."""
    rows = _run_each(
        "Platform writes for each order, three routers",
        ["orders/s", "orders", "writes an order", "p95, ms"],
        [lambda site, rate=rate: measure_ledger(site, rate) for rate in (1, 10, 100)],
    )
    points = [{"rate": float(row[0]), "writes": float(row[2])} for row in rows]
    save_points("ledger", points)


BENCHES = {
    "hop": bench_hop,
    "questions": bench_questions,
    "affinity": bench_affinity,
    "amplification": bench_amplification,
    "ledger": bench_ledger,
}

if __name__ == "__main__":
    # The reactor runs once in a process.
    for name in sys.argv[1:2]:
        BENCHES[name]()
    if not sys.argv[1:]:
        sys.exit(f"name one of {', '.join(BENCHES)}")
