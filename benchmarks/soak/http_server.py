"""Requests and raw answers of a scripted upstream, over blocking sockets."""

from __future__ import annotations

import select
import socket
import struct
from dataclasses import dataclass

from benchmarks.soak.records import Framing

RECEIVE_BYTES = 65536
MAX_REMEMBERED_BYTES = 65536  # of an answer that may be copied
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
HEAD_END = b"\r\n\r\n"
REASON = "Scripted"


@dataclass(slots=True, frozen=True)
class Request:
    """A request; its header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Connection:
    """A connection of a gateway to the upstream."""

    __slots__ = ("_pending", "_received", "answer", "socket")

    def __init__(self, connection: socket.socket) -> None:
        self.socket = connection
        self._received = b""
        self._pending = b""
        self.answer = bytearray()  # sent since the last request, up to a limit

    def read_request(self) -> Request | None:
        """Return the next request; ``None`` once the connection is closed."""
        try:
            while HEAD_END not in self._received:
                self._receive()
            head, _, self._received = self._received.partition(HEAD_END)
            first, *lines = head.decode("latin-1").split("\r\n")
            pairs = (line.partition(":") for line in lines)
            headers = {name.lower(): value.strip() for name, _, value in pairs}
            length = int(headers.get("content-length", "0"))
            while len(self._received) < length:
                self._receive()
        except OSError:
            return None
        body, self._received = self._received[:length], self._received[length:]
        self.answer.clear()
        method, path, _ = first.split(" ")
        return Request(method, path, headers, body)

    def _receive(self) -> None:
        data = self.socket.recv(RECEIVE_BYTES)
        if not data:
            raise ConnectionAbortedError("closed")
        self._received += data

    def is_left(self, seconds: float) -> bool:
        """Wait for a time; return whether the other side has closed meanwhile."""
        readable, _, _ = select.select([self.socket], [], [], seconds)
        if not readable:
            return False
        try:
            return not self.socket.recv(1, socket.MSG_PEEK)
        except OSError:
            return True

    def wait_until_left(self) -> None:
        """Wait until the other side has closed."""
        while not self.is_left(1.0):
            pass

    def send(self, data: bytes) -> bool:
        """Send data; return whether the connection is still open."""
        if len(self.answer) < MAX_REMEMBERED_BYTES:
            self.answer += data
        pending, self._pending = self._pending, b""
        try:
            self.socket.sendall(pending + data)
        except OSError:
            return False
        return True

    def send_before_next(self, data: bytes) -> None:
        """Send data before the next answer."""
        self._pending = data

    def reset(self) -> None:
        """Close the connection with a reset."""
        option = (socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.socket.setsockopt(*option)
        self.socket.close()

    def close(self) -> None:
        """Close the connection in order, also if bytes were not read."""
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        self.socket.close()


def head_of(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} {REASON}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + HEAD_END


def framing_headers(framing: Framing, length: int) -> dict[str, str]:
    """Return the headers that tell the length of a body."""
    match framing:
        case Framing.CHUNKS:
            return {"Transfer-Encoding": "chunked"}
        case Framing.LENGTH:
            return {"Content-Length": str(length)}
        case Framing.NONE:
            return {"Connection": "close"}


def frame(framing: Framing, data: bytes) -> bytes:
    """Return a piece of a body as it is sent."""
    if framing is Framing.CHUNKS:
        return b"%x\r\n%b\r\n" % (len(data), data)
    return data


def frame_end(framing: Framing) -> bytes:
    """Return what follows the last piece of a body."""
    return b"0\r\n\r\n" if framing is Framing.CHUNKS else b""
