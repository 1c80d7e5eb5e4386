"""Runs the demo: a mixed load while the instances of one zone are reclaimed."""

from __future__ import annotations

import sys
from datetime import timedelta
from random import Random

from twisted.internet import reactor, task

from banyansail.clock import SystemClock
from banyansail.commands.remote import run_coroutine
from banyansail.commands.table import format_table
from banyansail.demo.load import LoadGenerator
from banyansail.demo.site import LocalSite
from banyansail.log import open_log
from banyansail.standins.engine_state import EngineOptions

ZONES = ("glasgow", "edinburgh", "aberdeen")
RECLAIMED_ZONE = "aberdeen"
RECLAIM_NOTICE = timedelta(seconds=2)
REQUESTS_PER_S = 30.0
KINDS = ("question", "draft", "lookup", "order")
KIND_WEIGHTS = (5, 1, 4, 2)
LOG_FILE = "banyansail-demo.log"
RULES = """\
service advisor-llm kind=model latency=330ms  # Isla: counter answers cannot wait
service depot-app kind=plain latency=200ms  # Isla: stock and orders of the depots
workspace counter weight=3  # Isla: counter staff have a customer waiting
workspace drafts weight=1  # Ewan: range reviews can wait
route advisor-llm POST /v1/chat/completions repeat=yes priority=9 deadline=10s \
workspace=counter  # Isla: questions first
route advisor-llm POST /v1/chat/completions repeat=yes priority=1 deadline=60s \
 # Ewan: drafts must finish
route depot-app GET /stock/* repeat=yes priority=5 deadline=5s  # Isla: lookups
route depot-app POST /orders repeat=no priority=5 deadline=5s  # Isla: never doubled
"""


def run_demo(seconds: float, seed: int) -> int:
    """Run the demo; return 0 if no request was lost and no order ran twice."""
    with open_log(LOG_FILE):
        return run_coroutine(lambda: _run(seconds, Random(seed)))


async def _run(seconds: float, random: Random) -> int:
    clock = SystemClock()
    with LocalSite(reactor, clock) as site:
        _add_upstreams(site)
        await site.apply_rules(RULES.splitlines())
        for number, zone in enumerate(ZONES):
            site.add_router(f"router-{number}", zone, seed=random.randrange(1000))
        await _wait_until_ready(site)
        addresses = [item.settings.listen for item in site.router_by_name.values()]
        load = LoadGenerator(reactor, clock, addresses, random)
        reclaim_at = clock.monotonic() + timedelta(seconds=seconds / 2)
        end = clock.monotonic() + timedelta(seconds=seconds)
        is_reclaimed = False
        while clock.monotonic() < end:
            load.send(random.choices(KINDS, KIND_WEIGHTS)[0])
            await task.deferLater(reactor, random.expovariate(REQUESTS_PER_S))
            if not is_reclaimed and clock.monotonic() >= reclaim_at:
                is_reclaimed = True
                _reclaim(site)
        await load.drain()
        await load.close()
        return _report(site, load)


def _add_upstreams(site: LocalSite) -> None:
    for number in range(5):
        options = EngineOptions(token_s=0.01)
        site.add_engine(f"engine-{number}", ZONES[number % len(ZONES)], options)
    for number in range(4):
        site.add_service(f"depot-{number}", ZONES[number % len(ZONES)])


async def _wait_until_ready(site: LocalSite) -> None:
    while not all(item.lifecycle.is_ready for item in site.router_by_name.values()):
        await task.deferLater(reactor, 0.05)


def _reclaim(site: LocalSite) -> None:
    reclaimed = [
        item for item in site.upstream_by_name.values() if item.zone == RECLAIMED_ZONE
    ]
    names = [item.name for item in reclaimed]
    seconds = RECLAIM_NOTICE.total_seconds()
    site.platform.resource.reclaim(ids=names, notice_s=seconds)
    for item in reclaimed:
        reactor.callLater(seconds, item.standin.kill)
    print(f"zone {RECLAIMED_ZONE} is reclaimed: {', '.join(names)}", file=sys.stderr)


def _report(site: LocalSite, load: LoadGenerator) -> int:
    rows = []
    for kind in KINDS:
        result = load.result(kind)
        rows.append(
            [
                kind,
                *map(str, (result.sent, result.answered, result.refused)),
                *map(str, (result.unknown, result.lost)),
                *(_milliseconds(result.percentile(share)) for share in (0.5, 0.95)),
            ]
        )
    header = ["kind", "sent", "answered", "refused", "unknown", "lost", "p50", "p95"]
    print(format_table(header, rows))
    duplicates = _count_duplicate_orders(site)
    counters = [
        item.state.counters
        for item in site.upstream_by_name.values()
        if item.service == "advisor-llm"
    ]
    generated = sum(item.get("tokens", 0) for item in counters)
    recomputed = sum(item.get("recomputed_tokens", 0) for item in counters)
    lost = sum(item.lost for item in load.result_by_kind.values())
    print(
        f"lost {lost}, doubled {duplicates}, "
        f"tokens made {generated}, recomputed {recomputed}"
    )
    return 0 if lost == duplicates == 0 else 1


def _count_duplicate_orders(site: LocalSite) -> int:
    effects: dict[str, int] = {}
    for item in site.upstream_by_name.values():
        if item.service == "depot-app":
            for key, count in item.state.effects.items():
                effects[key] = effects.get(key, 0) + count
    return sum(count - 1 for count in effects.values() if count > 1)


def _milliseconds(duration: timedelta) -> str:
    return f"{duration / timedelta(milliseconds=1):.0f} ms"
