"""One request of a caller over a blocking socket, and how its response ended."""

from __future__ import annotations

import re
import socket
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11

from benchmarks.soak.records import Framing, Kind, Response, ResponseEnd

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.config.fields import Address

HOST = "soak.example"
KEY = "key-of-callers"
PREFIX_BY_KIND = {
    Kind.STOCK: "/stock/",
    Kind.ORDERS: "/orders/",
    Kind.DRAFT: "/draft/",
    Kind.RESUMABLE: "/draft/resumable/",
}
CONNECT_TIMEOUT_S = 1.0
OVERDUE_S = 3.0  # after the deadline
POLL_S = 0.1
RECEIVE_BYTES = 65536
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+) (x*)")


@dataclass(slots=True, frozen=True)
class Behaviour:
    """How a caller treats its request.

    Parameters
    ----------
    leaves_after_s : float or None
        When it leaves; ``None`` if it stays to the end.
    read_pause_s : float
        Pause before each read; 0 for one that reads at once.
    """

    http_version: str = "1.1"
    leaves_after_s: float | None = None
    read_pause_s: float = 0.0

    @property
    def is_patient(self) -> bool:
        """Whether the caller reads at once and stays to the end."""
        return self.leaves_after_s is None and not self.read_pause_s


class CallerConnection:
    """A connection to a router; it carries one request after the other."""

    def __init__(self, address: Address) -> None:
        self._socket = socket.create_connection(
            (address.host, address.port), CONNECT_TIMEOUT_S
        )
        self._parser = h11.Connection(h11.CLIENT)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def send(self, request: bytes) -> None:
        """Send a request as it is; the parser only learns that there is one."""
        if self._parser.states[h11.CLIENT] is not h11.IDLE:
            self._parser.start_next_cycle()
        headers = [(b"host", HOST.encode())]
        self._parser.send(h11.Request(method=b"POST", target=b"/", headers=headers))
        self._parser.send(h11.EndOfMessage())
        self._socket.sendall(request)

    def read(self, exchange: Exchange) -> ResponseEnd:
        """Read the response until it ends; return how it ended."""
        self._socket.settimeout(POLL_S)
        while True:
            if (end := exchange.own_end()) is not None:
                return end
            time.sleep(exchange.behaviour.read_pause_s)
            try:
                data = self._socket.recv(RECEIVE_BYTES)
            except TimeoutError:
                continue
            except OSError:
                return ResponseEnd.RESET
            if (end := self._parse(data, exchange)) is not None:
                return end

    def _parse(self, data: bytes, exchange: Exchange) -> ResponseEnd | None:
        try:
            self._parser.receive_data(data)
            while (event := self._parser.next_event()) is not h11.NEED_DATA:
                match event:
                    case h11.Response():
                        exchange.head_received(event)
                    case h11.Data():
                        exchange.body_received(bytes(event.data))
                    case h11.EndOfMessage():
                        return ResponseEnd.COMPLETE if data else ResponseEnd.CLOSED
                    case h11.ConnectionClosed():
                        return ResponseEnd.CLOSED
        except h11.RemoteProtocolError:
            exchange.response.has_foreign_data = bool(data)
            return ResponseEnd.CLOSED
        return None


class Exchange:
    """A request and what arrives in response.

    Parameters
    ----------
    response : Response
        What the caller sees.
    behaviour : Behaviour
        How the caller treats it.
    clock : Clock
        Source of time.
    """

    def __init__(self, response: Response, behaviour: Behaviour, clock: Clock) -> None:
        self._clock = clock
        self.response = response
        self.behaviour = behaviour
        self.is_kept = response.http_version == "1.1"
        self._body = b""

    def request(self) -> bytes:
        """Return the bytes of the request."""
        response = self.response
        prefix = PREFIX_BY_KIND[response.kind]
        method = "GET" if response.kind is Kind.STOCK else "POST"
        lines = [
            f"{method} {prefix}{response.size}/{response.event_bytes}/"
            f"{response.attempt} HTTP/{response.http_version}",
            f"Host: {HOST}",
            f"Api-Key: {KEY}",
            f"X-Attempt-Id: {response.attempt}",
            f"X-Deadline-Ms: {round(response.deadline_s * 1000)}",
            "Content-Length: 0",
        ]
        if response.kind.is_stream:
            lines += [
                "X-Model: m",
                f"X-Token-Count: 100,{response.size}",
                "X-Prompt-Prefix: aa:60,bb:40",
            ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def now(self) -> float:
        """Return the present moment, in seconds."""
        return self._clock.monotonic().total_seconds()

    def own_end(self) -> ResponseEnd | None:
        """Return how the caller ends it now; ``None`` if it reads on."""
        elapsed = self.now() - self.response.sent_at
        leaves_after_s = self.behaviour.leaves_after_s
        if leaves_after_s is not None and elapsed > leaves_after_s:
            return ResponseEnd.LEFT
        if elapsed > self.response.deadline_s + OVERDUE_S:
            return ResponseEnd.OVERDUE
        return None

    def head_received(self, head: h11.Response) -> None:
        """Record the head of the response."""
        self.response.status = head.status_code
        names = {name for name, _ in head.headers}
        if (b"connection", b"close") in head.headers:
            self.is_kept = False
        if b"transfer-encoding" in names:
            self.response.framing = Framing.CHUNKS
        elif b"content-length" in names or head.status_code == 204:
            self.response.framing = Framing.LENGTH
        else:
            self.response.framing = Framing.NONE

    def body_received(self, data: bytes) -> None:
        """Record the events of a success."""
        if not self.response.is_success:
            return
        self._body += data
        *events, self._body = self._body.split(b"\n\n")
        for event in events:
            self._record_event(event)

    def _record_event(self, event: bytes) -> None:
        found = EVENT.fullmatch(event)
        if found is None or not self._is_own(*found.groups()):
            self.response.has_foreign_data = True
        else:
            self.response.event_ids.append(int(found[1]))

    def _is_own(self, number: bytes, attempt: bytes, again: bytes, end: bytes) -> bool:
        response = self.response
        is_whole = number == again and len(end) == response.event_bytes
        return is_whole and attempt == response.attempt.encode()
