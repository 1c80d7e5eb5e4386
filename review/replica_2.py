"""Stand-in of a replica that answers plain requests, after the users' pages."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from review.web_2 import Message, Server, encode

if TYPE_CHECKING:
    from collections.abc import Callable

    from review.store_2 import Store

HEARTBEAT_S = 1.2
LAPSE_HEARTBEATS = 3


@dataclass(slots=True)
class Arrival:
    """A request that reached a replica."""

    attempt: str
    replica: str
    at: float
    ran: bool


@dataclass(slots=True)
class Replica:
    """A replica of a plain service.

    Parameters
    ----------
    note : callable
        Records what is worth a line in the record.
    work_s : float
        Time that a request takes.
    """

    id: str
    service: str
    zone: str
    host: str
    port: int
    note: Callable[..., None]
    slots: int = 6
    queue: int = 24
    work_s: float = 0.045
    version: str = "1"
    born: int = 0
    arrivals: list[Arrival] = field(default_factory=list)
    running: int = 0
    cut: list[str] = field(default_factory=list)  # attempts at work as it ended
    _seq: int = 0
    _server: Server | None = None
    _at_work: set[str] = field(default_factory=set)
    _places: asyncio.Semaphore | None = None

    async def start(self) -> None:
        """Listen."""
        self.born = int(time.time() * 1000)
        self._places = asyncio.Semaphore(self.slots)
        self._server = Server(self._answer)
        await self._server.start(self.host, self.port)

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the entry in the store."""
        self._seq += 1
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "seq": self._seq,
            "born": self.born,
        }

    def register(self, store: Store, state: str = "ready") -> None:
        """Write the entry."""
        store.put("servers", self.id, spec=self.entry(state))

    def stop(self) -> None:
        """End, as a process that exits."""
        self.cut = sorted(self._at_work)
        if self._server is not None:
            self._server.stop()
            self._server = None

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        attempt = request.get("x-attempt-id")
        echoed = [("X-Attempt-Id", attempt)] if attempt else []
        refusal = self._refusal(request, attempt)
        self.arrivals.append(Arrival(attempt, self.id, time.time(), refusal == 0))
        self.note("turned away" if refusal else "run", attempt=attempt, replica=self.id)
        if refusal:
            headers = [*echoed, ("X-Not-Executed", "1")]
            writer.write(encode(f"HTTP/1.1 {refusal} x", headers))
            return True
        self.running += 1
        self._at_work.add(attempt)
        try:
            async with self._places:
                await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        self._at_work.discard(attempt)
        stamp = ("X-Replica-Stamp", f"{self.id}.{attempt}")
        writer.write(encode("HTTP/1.1 200 OK", [*echoed, stamp], b"x" * 800))
        return True

    def _refusal(self, request: Message, attempt: str) -> int:
        if request.get("x-expect-replica", self.id) != self.id:
            return 421
        if not attempt:
            return 400
        return 503 if self.running >= self.slots + self.queue else 0
