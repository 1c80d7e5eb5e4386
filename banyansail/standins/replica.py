"""Stand-in for an upstream, after the published protocol: answers and streams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import reactor, task

from banyansail.standins.engine_memory import (
    COPY_PATH,
    FREE_PATH,
    EngineMemory,
    Run,
)
from banyansail.standins.replica_state import ReplicaFaults, ReplicaState
from banyansail.standins.web import StandinResource, answer_json, is_open

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.web.server import Request

FIRST_EVENT_ID = 1
SILENCE_CHECK_S = 0.05
BRITTLE_WINDOW_S = 1.0
COLD_WINDOW_S = 1.0


class ReplicaStandin(StandinResource):
    """Answers requests as an upstream does.

    Parameters
    ----------
    replica_id : str
        Id that the upstream registers with.
    crash : callable
        Ends the upstream.
    memory : EngineMemory or None
        Memory that the engines of a test copy from each other.
    """

    def __init__(
        self,
        replica_id: str,
        crash: Callable[[], None] = lambda: None,
        memory: EngineMemory | None = None,
    ) -> None:
        super().__init__()
        self.crash = crash
        self.memory = memory or EngineMemory()
        self.address = ""
        self.state = ReplicaState(replica_id)
        self.faults = ReplicaFaults()

    async def handle(self, request: Request) -> None:
        """Answer one request."""
        if request.path == COPY_PATH or request.path.startswith(FREE_PATH):
            await self.memory.answer(self.address, request)
            return
        attempt = request.getHeader("x-attempt-id") or ""
        self.state.arrivals.append(attempt)
        self.state.arrived_at.append(reactor.seconds())
        request.setHeader("x-attempt-id", attempt)
        self._describe_itself(request)
        if self._turns_away(request) or not self._begin(request, attempt):
            return
        self._record_run(request)
        await task.deferLater(reactor, self.state.pause_s)
        await self._wait_while_silent()
        if _contains_part(request, self.faults.crashes_on_part):
            self.crash()
            return
        if self.faults.cuts_before_answer:
            request.transport.abortConnection()
            return
        if self.faults.sends_stray_answer:
            request.transport.write(
                b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Replica-Stamp: s\r\n"
                b"Content-Length: 5\r\n\r\nstray"
            )
        request.setHeader("x-replica-stamp", f"{self.state.id}.{attempt}")
        if request.path.startswith(b"/draft/"):
            await self._stream(request)
            return
        self._answer(request)

    def _record_run(self, request: Request) -> None:
        fields = request.requestHeaders.getAllRawHeaders()
        self.state.headers.append(
            {name.decode().lower(): values[0].decode() for name, values in fields}
        )
        request.notifyFinish().addErrback(self._count_disconnect)
        self.state.running += 1
        request.notifyFinish().addBoth(self._release)

    def _turns_away(self, request: Request) -> bool:
        """Answer a request that does not run, or end; return whether it was one."""
        if request.getHeader("x-expect-replica") not in (None, self.state.id):
            self._reject(request, 421)
        elif self._is_overloaded_while_cold():
            self.crash()
        elif self.faults.is_full:
            self._reject(request, 503)
        elif self.faults.brittle and self.state.running >= self.state.slots:
            self._reject_brittle(request)
        else:
            return False
        return True

    def _begin(self, request: Request, attempt: str) -> bool:
        """Record that a request begins to run; else answer it and return False."""
        memory = request.getHeader("kv-from")
        if memory is None:
            self.state.runs.append(attempt)
            return True
        if not self.memory.take(self.address, memory, attempt):
            self._reject(request, 503)
            return False
        if self.memory.faults.fails_continuations:
            answer_json(request, {"error": "the engine failed"}, status=500)
            return False
        self.state.continued.append(attempt)
        return True

    def _describe_itself(self, request: Request) -> None:
        if self.faults.is_leaving:
            request.setHeader("server-leaving", "1")
        if self.faults.limit:
            request.setHeader("server-limit", self.faults.limit)
        if self.faults.brittle:
            request.setHeader("server-brittle", self.faults.brittle)
        cold_s = self.faults.cold_until - reactor.seconds()
        if cold_s > 0:
            request.setHeader("x-cold-ms", str(int(cold_s * 1000)))

    def _is_overloaded_while_cold(self) -> bool:
        now = reactor.seconds()
        self.state.accepted_at.append(now)
        if now >= self.faults.cold_until:
            return False
        recent = [at for at in self.state.accepted_at if now - at < COLD_WINDOW_S]
        return len(recent) > self.faults.cold_limit

    async def _wait_while_silent(self) -> None:
        while self.faults.is_silent:
            await task.deferLater(reactor, SILENCE_CHECK_S)

    def _count_disconnect(self, failure: object) -> None:
        self.state.disconnect_count += 1

    def _release(self, result: object) -> None:
        self.state.running -= 1

    def _reject_brittle(self, request: Request) -> None:
        now = reactor.seconds()
        self.state.rejected_at.append(now)
        recent = [at for at in self.state.rejected_at if now - at < BRITTLE_WINDOW_S]
        if len(recent) > int(self.faults.brittle):
            self.crash()
        else:
            self._reject(request, 503)

    def _reject(self, request: Request, status: int) -> None:
        request.setResponseCode(status)
        request.setHeader("x-not-executed", "1")
        if self.faults.retry_after:
            request.setHeader("retry-after", self.faults.retry_after)
        request.setHeader("content-length", "0")
        request.finish()

    def _answer(self, request: Request) -> None:
        if not is_open(request):
            return
        body = request.method + b" " + request.uri + b" " + request.content.read()
        request.setResponseCode(500 if self.faults.fails else 200)
        request.setHeader("content-length", str(len(body)))
        request.write(body)
        request.finish()

    async def _stream(self, request: Request) -> None:
        attempt = request.getHeader("x-attempt-id") or ""
        request.setHeader("content-type", "text/event-stream")
        run = self.memory.start(self.address, attempt)
        try:
            await self._write_events(request, run)
        finally:
            self.memory.end(attempt)

    async def _write_events(self, request: Request, run: Run) -> None:
        last_event_id = int(request.getHeader("last-event-id") or FIRST_EVENT_ID - 1)
        for number in range(last_event_id + 1, self.state.events + 1):
            if not is_open(request):
                return
            if run.is_stopped:
                request.transport.loseConnection()
                return
            event = f"id: {number}\ndata: part {number}\n\n".encode()
            if number == self.faults.cuts_at_event:
                request.write(event[:9])
                await task.deferLater(reactor, self.state.pause_s)
                request.transport.abortConnection()
                return
            await self._wait_while_silent()
            run.events = number
            request.write(event)
            await task.deferLater(reactor, self.state.pause_s)
        if is_open(request):
            request.finish()


def _contains_part(request: Request, part_id: str) -> bool:
    prefix = request.getHeader("x-prompt-prefix") or ""
    ids = [item.partition(":")[0] for item in prefix.split(",")]
    return bool(part_id) and part_id in ids
