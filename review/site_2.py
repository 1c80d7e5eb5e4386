"""A small deployment: its configuration, processes, replicas and clients."""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING, Any

from review.client_2 import Client, Result
from review.replica_2 import Replica
from review.routers_2 import Routers
from review.store_2 import Store
from review.web_2 import read_head

if TYPE_CHECKING:
    from types import TracebackType

HOST = "depot.example"
ZONES = ["zone-a", "zone-b", "zone-c"]
HELD, BROKEN, NOT_RUN = 0, 1, 2


def has_trouble() -> bool:
    """Return whether the disruption of the case is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(
    name: str, prefix: str, kind: str, service: str, timeout_ms: int
) -> dict[str, Any]:
    """Return a route of plain requests."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": timeout_ms,
        "sloMs": 200,
        "priority": 0,
        "service": service,
        "maxAttempts": 2 if kind == "safe" else 1,
        "noAuth": True,
    }


def configuration(
    version: int, services: list[str], timeout_ms: int = 1500
) -> dict[str, Any]:
    """Return a configuration with orders and lookups of each service."""
    routes = []
    for name in services:
        for kind, path in (("unsafe", "order"), ("safe", "look")):
            prefix = f"/{name}/{path}/"
            routes.append(route(f"{name}-{path}", prefix, kind, name, timeout_ms))
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 110}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def free_port(host: str) -> int:
    """Return a port that is free at an address."""
    with socket.socket() as found:
        found.bind((host, 0))
        return found.getsockname()[1]


class Site:
    """Everything that a case starts; it ends all of it."""

    def __init__(self, folder: Path, routers: int) -> None:
        self._record = (folder / "record.txt").open("w")
        self._temporary = tempfile.TemporaryDirectory()
        self.started_at = time.time()
        self.store = Store(self.note)
        self._count = routers
        self.replicas: dict[str, Replica] = {}
        self.results: list[Result] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._is_over = False
        self._clients: list[Client] = []

    async def __aenter__(self) -> Site:
        self.routers = Routers(Path(self._temporary.name), ZONES, self._count, "")
        self.platform_host = f"{self.routers.net}.2"
        port = free_port(self.platform_host)
        self.routers._store = f"{self.platform_host}:{port}"
        await self.store.start(self.platform_host, port)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._is_over = True  # a cancelled `wait_for` may end as if it was not
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=3)
        for client in self._clients:
            client.close()
        self.routers.end()
        for replica in self.replicas.values():
            replica.stop()
        if self.store.server is not None:
            self.store.server.stop()
        await asyncio.sleep(0.2)  # lets the closed connections end
        self._temporary.cleanup()
        self._record.close()

    def note(self, what: str, **fields: Any) -> None:
        """Write a line to the record."""
        at = time.time() - self.started_at
        text = " ".join(f"{name}={json.dumps(value)}" for name, value in fields.items())
        self._record.write(f"{at:8.3f} {what} {text}\n")
        self._record.flush()

    def begin(self, work: Any) -> None:
        """Run a coroutine until the end of the case."""
        self._tasks.append(asyncio.ensure_future(work))

    async def add_replica(
        self, name: str, service: str, zone: str, **options: Any
    ) -> Replica:
        """Start and register a replica."""
        host = f"{self.routers.net}.{100 + len(self.replicas)}"
        replica = Replica(
            name, service, zone, host, free_port(host), self.note, **options
        )
        self.replicas[name] = replica
        await replica.start()
        replica.register(self.store)
        self.note("replica starts", id=name, address=f"{host}:{replica.port}")
        return replica

    async def wait_ready(self, name: str, timeout_s: float = 20) -> bool:
        """Wait until a machine says that it is ready."""
        until = time.time() + timeout_s
        while time.time() < until:
            if await self.is_ready(name):
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self, name: str) -> bool:
        """Ask a machine whether it is ready, as the platform does."""
        host = self.routers.hosts[name]
        with suppress(OSError, TimeoutError):
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, self.routers.ready), 1
            )
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            answer = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return answer is not None and answer.status == 200
        return False

    async def send_orders(self, machine: str, service: str, pause_s: float) -> None:
        """Send orders and lookups of one client, one after the other."""
        client = Client(self.routers.hosts[machine], self.routers.front)
        self._clients.append(client)
        count = 0
        while not self._is_over:
            count += 1
            kind = "order" if count % 2 else "look"
            method = "POST" if kind == "order" else "GET"
            body = b"blades" if kind == "order" else b""
            target = f"/{service}/{kind}/{random.getrandbits(32):08x}"
            result = await client.send(method, target, [("Host", HOST)], body)
            self.results.append(result)
            ran = [
                arrival.replica
                for replica in self.replicas.values()
                for arrival in replica.arrivals[-200:]
                if arrival.attempt == result.attempt and arrival.ran
            ]
            self.note(
                kind,
                attempt=result.attempt,
                machine=machine,
                sent=round(result.sent_at - self.started_at, 3),
                status=result.status,
                ran_at=ran,
            )
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
