"""Answers of a scripted upstream: streams in each framing, breaks, continuations."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from benchmarks.soak.http_server import (
    Connection,
    frame,
    frame_end,
    framing_headers,
    head_of,
)
from benchmarks.soak.records import Framing, RunEnd
from benchmarks.soak.switches import Break, Continuation, StreamSwitch

if TYPE_CHECKING:
    from collections.abc import Callable

    from benchmarks.soak.engine_copies import ActiveRun

PAUSE_S = 0.03  # before each event
FAILURE_BY_CONTINUATION = {
    Continuation.ERROR: 500,
    Continuation.TIMEOUT: 504,
    Continuation.NOT_FOUND: 404,
    Continuation.REDIRECT: 302,
}
SWITCH_BY_CONTINUATION = {
    Continuation.EMPTY: StreamSwitch(Framing.LENGTH),
    Continuation.UNFRAMED: StreamSwitch(Framing.NONE, 1),
    Continuation.SHORT: StreamSwitch(Framing.LENGTH, 1),
    Continuation.BREAK: StreamSwitch(Framing.CHUNKS, 1, False, Break.RESET),
}


@dataclass(slots=True, frozen=True)
class Content:
    """Events of a whole answer; one that is no stream is a single event.

    Parameters
    ----------
    size : int
        Number of events.
    event_bytes : int
        Bytes that each event has beyond its id and its request.
    """

    attempt: str
    size: int
    event_bytes: int = 0

    def events(self, first: int) -> list[bytes]:
        """Return the events from the one with an id on."""
        filler = "x" * self.event_bytes
        return [
            f"id: {number}\ndata: {self.attempt} {number} {filler}\n\n".encode()
            for number in range(first, self.size + 1)
        ]


class Answering:
    """Sends the answer of one run.

    Parameters
    ----------
    connection : Connection
        Connection that the request came on.
    headers : dict
        Headers of each answer.
    run : ActiveRun
        The run, which may be told to stop.
    record_end : callable
        Records how the run ends, before its last bytes are sent.
    """

    def __init__(
        self,
        connection: Connection,
        headers: dict[str, str],
        run: ActiveRun,
        record_end: Callable[[RunEnd], None],
    ) -> None:
        self._connection = connection
        self._headers = headers
        self._run = run
        self._record_end = record_end

    def fail(self, status: int) -> bool:
        """Answer with a failure; return whether the connection is still open."""
        self._record_end(RunEnd.FAILED)
        return self._send_head(status, framing_headers(Framing.LENGTH, 0))

    def send_nothing(self, status: int, end: RunEnd) -> bool:
        """Answer with success and without any event."""
        self._record_end(end)
        is_empty = status == 204
        length = {} if is_empty else framing_headers(Framing.LENGTH, 0)
        return self._send_head(status, length)

    def send_events(self, content: Content, first: int, switch: StreamSwitch) -> bool:
        """Send events; return whether the connection can be used again."""
        pieces = content.events(first)
        length = sum(map(len, pieces))
        if not self._send_head(200, framing_headers(switch.framing, length)):
            return self._end(RunEnd.LEFT)
        for position, piece in enumerate(pieces):
            if position == switch.after_events:
                return self._break(switch, piece)
            if self._connection.is_left(PAUSE_S):
                return self._end(RunEnd.LEFT)
            if self._run.stop.is_set():
                return self._end(RunEnd.STOPPED)
            if switch.framing is Framing.LENGTH and piece is pieces[-1]:
                return self._finish(switch.framing, piece)
            if not self._connection.send(frame(switch.framing, piece)):
                return self._end(RunEnd.LEFT)
            self._run.events = first + position
        is_told = switch.framing is Framing.LENGTH  # its length is reached
        if len(pieces) == switch.after_events and not is_told:
            return self._break(switch, b"")
        return self._finish(switch.framing)

    def _finish(self, framing: Framing, last: bytes = b"") -> bool:
        self._record_end(RunEnd.FULL)
        self._connection.send(last + frame_end(framing))
        if framing is Framing.NONE:
            self._connection.close()
        return framing is not Framing.NONE

    def _send_head(self, status: int, framing: dict[str, str]) -> bool:
        return self._connection.send(head_of(status, {**self._headers, **framing}))

    def _break(self, switch: StreamSwitch, piece: bytes) -> bool:
        if switch.is_inside_event and piece:
            self._connection.send(frame(switch.framing, piece[: len(piece) // 2]))
        match switch.end:
            case Break.CLOSE:
                return self._end(RunEnd.CLOSED)
            case Break.RESET:
                self._connection.is_left(PAUSE_S)  # lets the events arrive first
                self._record_end(RunEnd.RESET)
                self._connection.reset()
                return False
            case Break.SILENCE:
                self._connection.wait_until_left()
                return self._end(RunEnd.LEFT)

    def _end(self, end: RunEnd) -> bool:
        self._record_end(end)
        self._connection.close()
        return False
