"""Stand-in for a replica of a plain service, after PROTOCOL.md."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from review.http import Answer, Message, Server
from review.platform import Store
from review.record import Record

HEARTBEAT_S = 1.2
STAMP = "x-replica-stamp"


class Replica:
    """A replica that runs requests in slots and registers itself in the store.

    Parameters
    ----------
    store : Store
        Store that it registers in, as its own calls would.
    record : Record
        Gets a line for each request that it runs.
    is_bad : callable
        Returns whether the answer to a request is a failure.
    draw_late_bytes : callable
        Returns the bytes that follow an answer late, mostly none.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        *,
        name: str,
        service: str,
        version: str,
        zone: str,
        work_s: float,
        slots: int = 6,
        is_bad: Callable[[Message], bool] = lambda request: False,
        draw_late_bytes: Callable[[], bytes] = lambda: b"",
    ) -> None:
        self.name = name
        self.version = version
        self._store = store
        self._record = record
        self._service = service
        self._zone = zone
        self._work_s = work_s
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._waiting = 0
        self._is_bad = is_bad
        self._draw_late_bytes = draw_late_bytes
        self._server = Server(self._handle)
        self._heartbeat: asyncio.Task[None] | None = None
        self._entry: dict[str, Any] = {}

    async def start(self, host: str) -> None:
        """Listen, register, and go on to register."""
        port = await self._server.listen(host)
        self._entry = {
            "service": self._service,
            "address": f"{host}:{port}",
            "zone": self._zone,
            "version": self.version,
            "slots": self._slot_count,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 0,
            "born": int(time.time() * 1000),
        }
        self._heartbeat = asyncio.create_task(self._register())

    async def _register(self) -> None:
        while True:
            # An entry changes when more than its `seq` does.
            if not self._store.is_away:
                self._store.put("servers", self.name, spec=self._entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def stop(self) -> None:
        """End at once; the entry is removed."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        await self._server.close()
        self._store.delete("servers", self.name)

    async def _handle(self, request: Message) -> Answer:
        attempt = request.headers.get("x-attempt-id", "")
        headers = {"X-Attempt-Id": attempt}
        if request.headers.get("x-expect-replica", self.name) != self.name:
            return Answer(421, headers)
        self._record.write("arrive", attempt, self.name, self.version)
        if not attempt:
            return Answer(400, {"X-Not-Executed": "1"})
        if self._waiting >= 4 * self._slot_count:
            return Answer(503, {**headers, "X-Not-Executed": "1"})
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self._record.write("run", attempt, self.name, self.version)
            await asyncio.sleep(self._work_s)
        is_bad = self._is_bad(request)
        self._record.write("end", attempt, self.name, "bad" if is_bad else "good")
        headers["X-Replica-Stamp"] = f"{self.name}.{attempt}"
        body = b"failed" if is_bad else b"done " + attempt.encode()
        return Answer(500 if is_bad else 200, headers, body, self._draw_late_bytes())
