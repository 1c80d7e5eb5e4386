"""A site within the test process, with the reactor in a separate thread."""

from __future__ import annotations

import threading
from collections.abc import Callable, Coroutine
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from twisted.internet import defer, reactor, threads

from banyansail.demo.site import LocalSite
from tests.ports import free_port
from tests.processes import call, wait_until

RULES = [
    "service advisor-llm kind=model latency=330ms silence=400ms  # isla: counter",
    "service depot-app kind=plain latency=200ms silence=400ms  # isla: depots",
    "workspace counter weight=3  # isla: a customer waits",
    "workspace drafts weight=1  # ewan: can wait",
    "route advisor-llm POST /v1/chat/completions repeat=yes priority=9 deadline=8s "
    "workspace=counter  # isla: questions first",
    "route advisor-llm POST /v1/chat/completions repeat=yes priority=1 "
    "deadline=30s  # ewan: drafts",
    "route depot-app GET /stock/* repeat=yes priority=5 deadline=5s  # isla: lookups",
    "route depot-app POST /orders repeat=no priority=5 deadline=3s  # isla: once",
]

_reactor_started = threading.Event()


def run_reactor() -> None:
    """Start the reactor in a thread, once for all tests."""
    if _reactor_started.is_set():
        return
    reactor.callWhenRunning(_reactor_started.set)
    thread = threading.Thread(
        target=reactor.run, kwargs={"installSignalHandlers": False}, daemon=True
    )
    thread.start()
    _reactor_started.wait()


def in_reactor(function: Callable[..., Any], *args: Any, **kwargs: Any) -> Any:
    """Call a function in the reactor's thread and wait for its result."""

    def run() -> Any:
        result = function(*args, **kwargs)
        if isinstance(result, Coroutine):
            return defer.Deferred.fromCoroutine(result)
        return result

    return threads.blockingCallFromThread(reactor, run)


class LiveSite:
    """Blocking interface to a `LocalSite`."""

    def __init__(self, rules: list[str] | None = None) -> None:
        run_reactor()
        self.rules = list(RULES if rules is None else rules)
        self.site = LocalSite(reactor, next_port=free_port)
        self._call_executor = ThreadPoolExecutor(64)

    def __enter__(self) -> LiveSite:
        in_reactor(self.site.__enter__)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._call_executor.shutdown(wait=False, cancel_futures=True)
        in_reactor(self.site.__exit__, *exc_info)

    def engine(self, name: str, zone: str = "glasgow", *args: Any, **options: Any):
        return in_reactor(self.site.add_engine, name, zone, *args, **options)

    def service(self, name: str, zone: str = "glasgow", *args: Any, **options: Any):
        return in_reactor(self.site.add_service, name, zone, *args, **options)

    def router(self, name: str = "r0", zone: str = "glasgow", **options: Any):
        return in_reactor(self.site.add_router, name, zone, **options)

    def apply(self, *extra: str, by: str = "operator") -> int:
        return in_reactor(self.site.apply_rules, [*self.rules, *extra], by)

    def start(self, *routers: str) -> None:
        """Apply the rules and start routers, given as ``name:zone``."""
        self.apply()
        for item in routers or ("r0:glasgow",):
            name, _, zone = item.partition(":")
            self.router(name, zone or "glasgow")
        self.wait_ready()

    def wait_ready(self) -> None:
        routers = self.site.router_by_name
        wait_until(
            lambda: all(
                item.lifecycle.is_ready
                and len(item.gossiper.live_members()) == len(routers)
                for item in routers.values()
                if item.running
            )
        )

    def faults(self, upstream: str, **switches: Any) -> None:
        port = self.site.upstream_by_name[upstream].standin.address.port
        assert call(port, "POST", "/faults", switches)[0] == 200

    def platform_faults(self, **switches: Any) -> None:
        port = self.site.platform.address.port
        assert call(port, "POST", "/faults", switches)[0] == 200

    def kill(self, upstream: str) -> None:
        in_reactor(self.site.upstream_by_name[upstream].standin.kill)

    def state(self, upstream: str) -> Any:
        return self.site.upstream_by_name[upstream].state

    def port(self, router: str = "r0") -> int:
        return self.site.router_by_name[router].settings.listen.port

    def call(self, method: str, path: str, body: Any = None, **headers: Any):
        router = headers.pop("router", "r0")
        return call(self.port(router), method, path, body, **headers)

    def call_later(self, *args: Any, **kwargs: Any) -> Future:
        """Start a call in another thread."""
        return self._call_executor.submit(self.call, *args, **kwargs)

    def effects(self) -> dict[str, int]:
        """Return how many times each order took effect, summed over all replicas."""
        total: dict[str, int] = {}
        for item in self.site.upstream_by_name.values():
            for key, count in getattr(item.state, "effects", {}).items():
                total[key] = total.get(key, 0) + count
        return total

    def counter(self, name: str) -> int:
        """Return a counter, summed over all engines."""
        states = [item.state for item in self.site.upstream_by_name.values()]
        return sum(getattr(item, "counters", {}).get(name, 0) for item in states)
