"""Clients that send requests at a steady rate, each on a new connection."""

from __future__ import annotations

import asyncio
import random
import secrets
from dataclasses import dataclass

from review.fleet import Gateway
from review.http import call
from review.record import Record

CONNECTION_TIME_S = 1.0


@dataclass(slots=True, frozen=True)
class Kind:
    """A kind of request.

    Parameters
    ----------
    share : float
        Of all requests.
    """

    name: str
    host: str
    path: str
    method: str
    deadline_ms: int
    share: float
    key: str


class Clients:
    """Sends requests to the gateways that are ready."""

    def __init__(
        self,
        gateways: list[Gateway],
        kinds: list[Kind],
        per_s: float,
        record: Record,
        seed: int = 1,
    ) -> None:
        self._gateways = gateways
        self._ready = list(gateways)
        self._kinds = kinds
        self._per_s = per_s
        self._record = record
        self._random = random.Random(seed)
        self._pending: set[asyncio.Task[None]] = set()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to send."""
        self._tasks = [
            asyncio.create_task(self._send_all()),
            asyncio.create_task(self._watch_readiness()),
        ]

    async def stop(self) -> None:
        """Send no more, and wait for the answers."""
        for task in self._tasks:
            task.cancel()
        if self._pending:
            await asyncio.wait(self._pending, timeout=5)

    async def _watch_readiness(self) -> None:
        """Take a gateway out after two misses, as the platform's balancer does."""
        misses = dict.fromkeys(self._gateways, 0)
        while True:
            for gateway in self._gateways:
                is_ready = await gateway.is_ready()
                misses[gateway] = 0 if is_ready else misses[gateway] + 1
            ready = [item for item in self._gateways if misses[item] < 2]
            self._ready = ready or list(self._gateways)
            await asyncio.sleep(1.0)

    async def _send_all(self) -> None:
        while True:
            weights = [kind.share for kind in self._kinds]
            kind = self._random.choices(self._kinds, weights)[0]
            gateway = self._random.choice(self._ready)
            task = asyncio.create_task(self._send(kind, gateway))
            self._pending.add(task)
            task.add_done_callback(self._pending.discard)
            await asyncio.sleep(self._random.expovariate(self._per_s))

    async def _send(self, kind: Kind, gateway: Gateway) -> None:
        attempt = secrets.token_hex(8)
        headers = {
            "Host": kind.host,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(kind.deadline_ms),
            "Api-Key": kind.key,
        }
        self._record.write("send", attempt, kind.name, gateway.name)
        try:
            answer = await asyncio.wait_for(
                call(
                    gateway.host,
                    gateway.ports["front"],
                    kind.method,
                    kind.path + attempt,
                    headers,
                ),
                kind.deadline_ms / 1000 + CONNECTION_TIME_S,
            )
        except TimeoutError:
            answer = None
        if answer is None:
            self._record.write("answer", attempt, "none", "-", "-")
            return
        stamp = answer.headers.get("x-replica-stamp", "none")
        text = answer.body[:80].decode("latin-1").replace(" ", "_")
        self._record.write("answer", attempt, answer.status, stamp, text)
