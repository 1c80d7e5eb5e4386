"""Scripted upstream, as a process of its own.

Usage:
  soak-upstream --listen=ADDRESS --name=NAME --record=FILE

Options:
  --listen=ADDRESS  IP number and port.
  --name=NAME       Id that it is registered with.
  --record=FILE     Where its runs are recorded.
"""

from __future__ import annotations

import json
import socketserver
import threading
from itertools import count
from pathlib import Path

from docopt import docopt

from banyansail.clock import Clock, SystemClock
from banyansail.config.fields import parse_address
from benchmarks.soak.answering import (
    FAILURE_BY_CONTINUATION,
    SWITCH_BY_CONTINUATION,
    Answering,
    Content,
)
from benchmarks.soak.engine_copies import (
    COPY_PATH,
    FREE_PATH,
    RECEIVE_PATH,
    ActiveRun,
    EngineCopies,
)
from benchmarks.soak.extra_bytes import send_extra
from benchmarks.soak.http_server import Connection, Request, head_of
from benchmarks.soak.records import RecordWriter, Run, RunEnd
from benchmarks.soak.switches import Continuation, StreamSwitch, Switches

SWITCHES_PATH = "/soak/switches"
RUN_PREFIXES = ("/stock/", "/orders/", "/draft/")
NOT_EXECUTED = {"X-Not-Executed": "1", "Content-Length": "0"}


class Upstream:
    """State of the upstream and the answers to its requests.

    Parameters
    ----------
    name : str
        Id that it is registered with.
    address : str
        Address that other upstreams know it by.
    record : RecordWriter
        Where its runs are recorded.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, name: str, address: str, record: RecordWriter, clock: Clock
    ) -> None:
        self._name = name
        self._record = record
        self._clock = clock
        self._switches = Switches()
        self._copies = EngineCopies(address)
        # Runs of an earlier process of the same name are in the same file.
        self._numbers = count(int(clock.now().timestamp() * 1000) << 20)

    def serve(self, connection: Connection) -> None:
        """Answer the requests of a connection."""
        while (request := connection.read_request()) is not None:
            if not self._answer(connection, request):
                return
            send_extra(connection, self._switches.extra, request)

    def _answer(self, connection: Connection, request: Request) -> bool:
        if request.path.startswith(RUN_PREFIXES):
            return self._answer_request(connection, request)
        status, body = self._answer_call(request)
        data = json.dumps(body).encode()
        headers = {"Content-Length": str(len(data)), "X-Replica-Id": self._name}
        return connection.send(head_of(status, headers) + data)

    def _answer_call(self, request: Request) -> tuple[int, dict[str, object]]:
        body = json.loads(request.body or b"{}")
        match request.path:
            case path if path == SWITCHES_PATH:
                self._switches.set(body)
            case path if path == COPY_PATH:
                return self._copies.copy(body)
            case path if path == RECEIVE_PATH:
                self._copies.receive(body)
            case path if path.startswith(FREE_PATH):
                self._copies.attempt_by_handle.pop(path[len(FREE_PATH) :], None)
        return 200, {}

    def _answer_request(self, connection: Connection, request: Request) -> bool:
        attempt = request.headers.get("x-attempt-id", "")
        if request.headers.get("x-expect-replica", self._name) != self._name:
            return self._reject(connection, attempt, 421)
        continues = "last-event-id" in request.headers
        continuation = self._switches.continuation if continues else None
        memory = request.headers.get("kv-from", "")
        is_refused = self._switches.is_full or (
            memory and not self._copies.take(memory, attempt)
        )
        if is_refused or continuation is Continuation.NOT_RUN:
            return self._reject(connection, attempt, 503)
        return self._run(connection, request, attempt, continuation)

    def _run(
        self,
        connection: Connection,
        request: Request,
        attempt: str,
        continuation: Continuation | None,
    ) -> bool:
        first = int(request.headers.get("last-event-id", "0")) + 1
        switch = SWITCH_BY_CONTINUATION.get(continuation, self._switches.stream)
        if continuation is Continuation.ANEW:
            first, switch = 1, StreamSwitch()
        run = self._begin(request, attempt, first, switch)
        active = ActiveRun(attempt, first - 1)
        self._copies.run_by_attempt[attempt] = active

        def record_end(end: RunEnd) -> None:
            run.end, run.ended_at = end, self._now()
            self._record.write(run)
            self._copies.run_by_attempt.pop(attempt, None)
            active.ended.set()

        headers = {"X-Attempt-Id": attempt, "X-Replica-Stamp": f"{self._name}.s"}
        if request.path.startswith("/draft/"):
            headers["Content-Type"] = "text/event-stream"
        answering = Answering(connection, headers, active, record_end)
        if self._switches.rejects_after_run:
            return answering.fail(503)
        size, event_bytes = map(int, request.path.split("/")[-3:-1])
        if continuation in FAILURE_BY_CONTINUATION:
            return answering.fail(FAILURE_BY_CONTINUATION[continuation])
        if continuation in (Continuation.EMPTY, Continuation.NO_CONTENT):
            status = 200 if continuation is Continuation.EMPTY else 204
            end = RunEnd.EMPTY if first <= size else RunEnd.FULL
            return answering.send_nothing(status, end)
        return answering.send_events(Content(attempt, size, event_bytes), first, switch)

    def _reject(self, connection: Connection, attempt: str, status: int) -> bool:
        now = self._now()
        number = next(self._numbers)
        self._record.write(
            Run(attempt, self._name, number, now, ended_at=now, end=RunEnd.NOT_RUN)
        )
        answer = head_of(status, {"X-Attempt-Id": attempt, **NOT_EXECUTED})
        is_open = connection.send(answer)
        if self._switches.copies_rejections:
            connection.send_before_next(answer)
        return is_open

    def _begin(
        self, request: Request, attempt: str, first: int, switch: StreamSwitch
    ) -> Run:
        run = Run(
            attempt,
            self._name,
            next(self._numbers),
            self._now(),
            first,
            switch.framing,
            is_continuation="kv-from" in request.headers,
        )
        self._record.write(run)
        return run

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()


class _Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 128


def main() -> None:
    """Run one upstream until the process is terminated."""
    arguments = docopt(__doc__)
    address = parse_address(arguments["--listen"])
    record = RecordWriter(Path(arguments["--record"]))
    upstream = Upstream(arguments["--name"], str(address), record, SystemClock())

    class Handler(socketserver.BaseRequestHandler):
        def handle(self) -> None:
            upstream.serve(Connection(self.request))

    threading.stack_size(256 * 1024)
    with _Server((address.host, address.port), Handler) as server:
        server.serve_forever()


if __name__ == "__main__":
    main()
