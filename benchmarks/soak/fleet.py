"""The processes under test: store, upstreams, routers and callers."""

from __future__ import annotations

import json
import signal
import subprocess
import time
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from benchmarks.soak.cut_gateway import SILENCE, cut_path, cut_text
from benchmarks.soak.site_config import (
    DEPOT,
    ENGINES,
    ZONES,
    gateway_settings,
    site_config,
    upstream_entry,
)
from benchmarks.soak.store import DRILL_PATH, FAULTS_PATH
from benchmarks.soak.upstream import SWITCHES_PATH
from tests.ports import free_port
from tests.processes import Programs, call, wait_until

if TYPE_CHECKING:
    from pathlib import Path

    from tests.gateway.cut_reactor import Cut

HOST = "127.0.0.1"
OBJECTS = "/v1/objects"
DEPOT_COUNT = 2
SUCCESSOR_SUFFIX = "-successor"
CALL_TIMEOUT_S = 2.0
EXIT_TIMEOUT_S = 5.0


@dataclass(slots=True)
class Instance:
    """A program that is ended and started again at its ports."""

    name: str
    service: str = ""
    zone: str = ""
    ports: dict[str, int] = field(default_factory=dict)
    born_ms: int = 0

    @property
    def address(self) -> str:
        """Address that callers or gateways connect to."""
        return f"{HOST}:{self.ports['listen']}"


class Fleet:
    """All processes; they are killed, by their ids, at the end of the context.

    Parameters
    ----------
    folder : Path
        Where settings, outputs and records are written.
    routers, upstreams : int
        How many there are of each.
    gateway_module : str
        Program that is run as a router.
    retry_slack : float
        Retries that the routers may send in a window beyond a share of the requests.
    """

    def __init__(
        self,
        folder: Path,
        routers: int,
        upstreams: int,
        gateway_module: str,
        retry_slack: float,
    ) -> None:
        self._folder = folder
        self._programs = Programs(folder)
        self._gateway_module = gateway_module
        self._retry_slack = retry_slack
        self._store_port = free_port()
        self._peer_port = free_port()
        self._config = site_config()  # as last acknowledged
        self._entry_by_upstream: dict[str, dict[str, Any]] = {}
        listeners = ("listen", "ready", "relay", "metrics")
        self.router_by_name = {
            f"front-{number}": Instance(
                f"front-{number}", ports={item: free_port() for item in listeners}
            )
            for number in range(1, routers + 1)
        }
        self.upstream_by_name = {
            item.name: item for item in map(_upstream, range(upstreams))
        }

    def __enter__(self) -> Fleet:
        try:
            self._start()
        except BaseException:
            self._programs.__exit__()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._programs.__exit__(*exc_info)

    def _start(self) -> None:
        self._programs.start(
            "store",
            "benchmarks.soak.store",
            f"--listen={HOST}:{self._store_port}",
            f"--record={self.record_path('store')}",
        )
        self._programs.wait_for_start("store", self._store_port, f"{OBJECTS}/servers")
        self._put("config", "main", self._config)
        for name in self.upstream_by_name:
            self.start_upstream(name)
        for name in self.router_by_name:
            self.start_router(name, waits=False)
        for router in self.router_by_name.values():
            wait_until(lambda: self._is_ready(router))  # noqa: B023

    def engines(self) -> list[str]:
        """Return the upstreams that answer with streams."""
        return self.upstreams_of(ENGINES)

    def upstreams_of(self, service: str) -> list[str]:
        """Return the names of a service's upstreams."""
        return [
            name
            for name, upstream in self.upstream_by_name.items()
            if upstream.service == service
        ]

    def _is_ready(self, router: Instance) -> bool:
        status = call(router.ports["ready"], "GET", "/", timeout=CALL_TIMEOUT_S)[0]
        return status == 200

    def start_router(self, name: str, *, waits: bool = True) -> None:
        """Start a router, by default until it is ready."""
        router = self.router_by_name[name]
        number = int(name.rpartition("-")[2])
        store = f"{HOST}:{self._store_port}"
        count = len(self.router_by_name)
        settings = gateway_settings(
            number, count, router.ports, self._peer_port, store, self._retry_slack
        )
        path = self._settings_path(name)
        path.write_text(json.dumps(settings))
        self._programs.start(name, self._gateway_module, f"--settings={path}")
        if waits:
            wait_until(lambda: self._is_ready(router))

    def start_successor(self, name: str) -> None:
        """Start an upstream of one slot at the address of one that was killed."""
        successor = name + SUCCESSOR_SUFFIX
        instance = replace(self.upstream_by_name[name], name=successor)
        self.upstream_by_name = {**self.upstream_by_name, successor: instance}
        self.start_upstream(successor, slots=1)

    def end_successor(self, name: str) -> None:
        """Kill the upstream that has the address of another one."""
        self.kill(name + SUCCESSOR_SUFFIX)
        self.unregister(name + SUCCESSOR_SUFFIX)

    def start_upstream(self, name: str, **fields: Any) -> None:
        """Start an upstream and register it."""
        upstream = self.upstream_by_name[name]
        upstream.born_ms = int(time.time() * 1000)
        self._programs.start(
            name,
            "benchmarks.soak.upstream",
            f"--listen={upstream.address}",
            f"--name={name}",
            f"--record={self.record_path(name)}",
        )
        port = upstream.ports["listen"]
        self._programs.wait_for_start(name, port, "/health")
        self.register(name, **fields)

    def register(self, name: str, **fields: Any) -> None:
        """Write the entry of an upstream, as it would do itself."""
        upstream = self.upstream_by_name[name]
        entry = upstream_entry(
            upstream.service,
            upstream.address,
            upstream.zone,
            upstream.born_ms,
            **fields,
        )
        self._entry_by_upstream[name] = entry
        wait_until(lambda: self._put("servers", name, entry) in (200, 201))

    def unregister(self, name: str) -> None:
        """Remove the entry of an upstream, as the store does after some silence."""
        self._entry_by_upstream.pop(name, None)
        path = f"{OBJECTS}/servers/{name}"
        wait_until(lambda: self._call_store("DELETE", path) < 500)

    def drill(self, away_s: float, copy_age_s: float) -> None:
        """Let the store come back from a copy; all writers but ours write again."""
        body = {"away_s": away_s, "copy_age_s": copy_age_s}
        self._call_store("PUT", DRILL_PATH, body)
        self._put("config", "main", self._config)
        for name in self.upstream_by_name:
            entry = self._entry_by_upstream.get(name)
            if entry is None:
                self._call_store("DELETE", f"{OBJECTS}/servers/{name}")
            else:
                self._put("servers", name, entry)

    def write_config(self, config: dict[str, Any]) -> bool:
        """Write a configuration; return whether the store acknowledged it."""
        body = {"metadata": {"name": "main"}, "spec": config}
        path = f"{OBJECTS}/config/main"
        is_acknowledged = self._call_store("PUT", path, body) == 200
        if is_acknowledged:
            self._config = config
        return is_acknowledged

    def disturb_store(self, **faults: Any) -> None:
        """Set fault switches of the store."""
        self._call_store("PUT", FAULTS_PATH, faults)

    def silence_connections(self, *, to_store: bool, to_routers: bool) -> None:
        """Silence what the routers have open; new connections work."""
        ports = [self._store_port] if to_store else []
        if to_routers:
            relays = [item.ports["relay"] for item in self.router_by_name.values()]
            ports += [self._peer_port, *relays]
        for name in self.router_by_name:
            self._cut(name, SILENCE, ports)

    def switch(self, name: str, **switches: Any) -> None:
        """Set fault switches of an upstream; one that has crashed has none."""
        port = self.upstream_by_name[name].ports["listen"]
        try:
            call(port, "PUT", SWITCHES_PATH, switches, timeout=CALL_TIMEOUT_S)
        except OSError:
            pass

    def cut_off(self, name: str, cut: Cut) -> None:
        """Cut the links of a router to all upstreams."""
        ports = [item.ports["listen"] for item in self.upstream_by_name.values()]
        self._cut(name, cut.value, ports)

    def _cut(self, name: str, form: str, ports: list[int]) -> None:
        path = self._settings_path(name)
        draft = path.with_suffix(".draft")
        draft.write_text(cut_text(form, ports))
        draft.rename(cut_path(path))

    def heal(self, name: str) -> None:
        """Let a router reach the upstreams again."""
        cut_path(self._settings_path(name)).unlink(missing_ok=True)

    def _settings_path(self, name: str) -> Path:
        return self._folder / f"{name}.json"

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._programs.signal(name, number)

    def kill(self, name: str) -> None:
        """Kill a process."""
        self._programs.kill(name)

    def stop(self, name: str) -> None:
        """Let a process end by itself after SIGTERM, or kill it when that is due."""
        self.signal(name, signal.SIGTERM)
        try:
            self._programs.process_by_name[name].wait(EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill(name)

    def start_callers(self, seed: int, count: int, seconds: float) -> None:
        """Start the callers."""
        addresses = ",".join(item.address for item in self.router_by_name.values())
        self._programs.start(
            "callers",
            "benchmarks.soak.callers",
            f"--routers={addresses}",
            f"--seed={seed}",
            f"--callers={count}",
            f"--seconds={seconds}",
            f"--record={self.record_path('callers')}",
        )

    def wait_for_callers(self, timeout_s: float) -> None:
        """Wait until all requests have ended."""
        code = self._programs.process_by_name["callers"].wait(timeout_s)
        if code:
            raise RuntimeError(f"the callers have ended with {code}")

    def record_path(self, name: str) -> Path:
        """Return the file in which a program records what it sees."""
        return self._folder / f"{name}.jsonl"

    def _put(self, kind: str, name: str, spec: dict[str, Any]) -> int:
        body = {"metadata": {"name": name}, "spec": spec}
        status = self._call_store("POST", f"{OBJECTS}/{kind}", body)
        if status == 409:
            return self._call_store("PUT", f"{OBJECTS}/{kind}/{name}", body)
        return status

    def _call_store(self, method: str, path: str, body: object = None) -> int:
        return call(self._store_port, method, path, body, timeout=CALL_TIMEOUT_S)[0]


def _upstream(number: int) -> Instance:
    is_depot = number < DEPOT_COUNT
    name = f"d{number + 1}" if is_depot else f"e{number + 1 - DEPOT_COUNT}"
    return Instance(
        name,
        DEPOT if is_depot else ENGINES,
        ZONES[number % len(ZONES)],
        {"listen": free_port()},
    )
