"""Operator who changes the routes and asks each router which ones are in force."""

from __future__ import annotations

import json
import threading
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from benchmarks.soak.http_caller import KEY
from benchmarks.soak.records import Change, Probe
from benchmarks.soak.site_config import ADDED_HOST, added_prefix, site_config
from tests.processes import call

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from banyansail.clock import Clock
    from benchmarks.soak.fleet import Instance

CHANGE_PAUSE_S = 1.5
PROBE_PAUSE_S = 0.15
CALL_TIMEOUT_S = 1.0
KEPT_ROUTES = 6


class Operator:
    """Changes the configuration and asks the routers, each in a thread, in a context.

    Parameters
    ----------
    write : callable
        Writes a configuration to the store; raises ``OSError`` without an answer.
    routers : sequence of Instance
        Routers to ask.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        write: Callable[[dict[str, Any]], bool],
        routers: list[Instance],
        clock: Clock,
    ) -> None:
        self._write = write
        self._clock = clock
        self._is_over = threading.Event()
        self.changes: list[Change] = []
        self.probes: list[Probe] = []
        self._threads = [threading.Thread(target=self._change_all)] + [
            threading.Thread(target=self._probe_all, args=(router,))
            for router in routers
        ]

    def __enter__(self) -> Operator:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._is_over.set()
        for thread in self._threads:
            thread.join()

    def save(self, path: Path) -> None:
        """Write what was changed and asked to a file."""
        records = [asdict(item) for item in (*self.changes, *self.probes)]
        path.write_text("\n".join(map(json.dumps, records)) + "\n")

    def _change_all(self) -> None:
        while not self._is_over.wait(CHANGE_PAUSE_S):
            newest = len(self.changes) + 1
            routes = range(max(1, newest - KEPT_ROUTES + 1), newest + 1)
            change = Change(newest, self._now())
            self.changes.append(change)
            while change.acked_at is None and not self._is_over.is_set():
                try:
                    if self._write(site_config(newest + 1, routes)):
                        change.acked_at = self._now()
                except OSError:
                    self._is_over.wait(PROBE_PAUSE_S)

    def _probe_all(self, router: Instance) -> None:
        count = 0
        while not self._is_over.wait(PROBE_PAUSE_S):
            newest = len(self.changes)
            if not newest:
                continue
            count += 1
            # Mostly the newest route, and in turn one that was removed or kept.
            route = newest if count % 2 else max(1, newest - count // 2 % 10)
            probe = Probe(router.name, route, self._now())
            path = f"{added_prefix(route)}1/0/{router.name}-{count}"
            headers = {"Host": ADDED_HOST, "Api-Key": KEY, "X-Deadline-Ms": "1000"}
            headers["X-Attempt-Id"] = f"{router.name}-{count}"
            try:
                probe.status = call(
                    router.ports["listen"], "GET", path, None, CALL_TIMEOUT_S, **headers
                )[0]
            except OSError:
                probe.status = None
            probe.ended_at = self._now()
            self.probes.append(probe)

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()
