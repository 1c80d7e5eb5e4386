"""Upstream that answers with bytes of the test's choice, and a caller that sees all."""

from __future__ import annotations

import json
import re
import socket
from dataclasses import dataclass
from types import SimpleNamespace

from twisted.internet import protocol, reactor

from banyansail.config.fields import Address
from banyansail.demo.site import LocalUpstream
from tests.live import LiveSite, in_reactor
from tests.ports import free_port

CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"x-request-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n"
)
HEAD_WITHOUT_LENGTH = CHUNKED_HEAD.replace(b"transfer-encoding: chunked\r\n", b"")
DONE = b"data: [DONE]\n\n"
LAST_CHUNK = b"0\r\n\r\n"
RESET_DELAY_S = 0.05  # so that the bytes before it arrive


@dataclass(slots=True, frozen=True)
class Script:
    """Answer to one request; ``{id}`` in it stands for the ID of the request.

    Parameters
    ----------
    parts : tuple of bytes
        Parts of the body, each sent as a chunk if the answer has chunks.
    end : bytes
        Sent after the body.
    is_reset : bool
        Whether the connection is reset afterwards rather than closed.
    is_kept_open : bool
        Whether the connection is neither closed nor reset.
    """

    head: bytes
    parts: tuple[bytes, ...] = ()
    end: bytes = b""
    is_reset: bool = False
    is_kept_open: bool = False

    def encode(self, request_id: bytes) -> bytes:
        parts = [part.replace(b"{id}", request_id) for part in self.parts]
        if b"transfer-encoding: chunked" in self.head:
            parts = [chunk(part) for part in parts]
        return self.head.replace(b"{id}", request_id) + b"".join(parts) + self.end


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def token(index: int, **choice: object) -> bytes:
    """Return an event whose text is its index."""
    item = {"id": "{id}", "choices": [{"delta": {"content": f"{index} "}, **choice}]}
    return f"id: {index}\ndata: {json.dumps(item)}\n\n".encode()


def tokens(start: int, stop: int) -> bytes:
    return b"".join(token(index) for index in range(start, stop))


def stream(*events: bytes, head: bytes = CHUNKED_HEAD, **options: object) -> Script:
    """Return a streamed answer with one chunk for each argument."""
    return Script(head, events, **options)


def answer(status: str, body: bytes = b"{}") -> Script:
    """Return a complete answer with a length."""
    head = f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n\r\n"
    return Script(head.encode(), (body,))


class ScriptedConnection(protocol.Protocol):
    def connectionMade(self):
        self._received = b""
        self.factory.connections.add(self)

    def dataReceived(self, data):
        self._received += data
        head, separator, body = self._received.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: *(\d+)", head)
        if not separator or len(body) < int(length[1] if length else 0):
            return
        self._received = b""
        request_id = re.search(rb"(?i)x-request-id: *(\S+)", head)
        self._answer(head.split()[1], body, request_id[1] if request_id else b"")

    def connectionLost(self, reason=protocol.connectionDone):
        self.factory.connections.discard(self)

    def _answer(self, path, body, request_id):
        script = self.factory.next_script(path.decode(), body)
        self.transport.write(script.encode(request_id))
        if script.is_reset:
            reactor.callLater(RESET_DELAY_S, self.transport.abortConnection)
        elif not script.is_kept_open:
            self.transport.loseConnection()


class ScriptedUpstream(protocol.Factory):
    """Upstreams that share a list of scripts; the last one is repeated.

    Must be used in the reactor's thread.

    Parameters
    ----------
    scripts : list of Script
        Answers to the calls of callers, in order.
    script_by_path : dict of str to Script
        Answers to other calls, by the start of the path.
    """

    noisy = False
    protocol = ScriptedConnection

    def __init__(self, scripts, script_by_path):
        self.scripts = scripts
        self.script_by_path = script_by_path
        self.calls = []
        self.connections = set()
        self.resource = SimpleNamespace(state=self)
        self._port = reactor.listenTCP(free_port(), self, interface="127.0.0.1")
        self.address = Address("127.0.0.1", self._port.getHost().port)

    def next_script(self, path, body):
        for start, script in self.script_by_path.items():
            if path.startswith(start):
                return script
        if path in ("/health", "/load"):
            return answer("200 OK", b'{"in_flight": 0}')
        if path.startswith(("/requests/", "/kv/")):
            return answer("404 Not Found")
        self.calls.append((path, body))
        return self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]

    def kill(self):
        self._port.stopListening()
        for connection in list(self.connections):
            connection.transport.abortConnection()


def add_scripted(
    live: LiveSite, service: str, count: int, *scripts: Script, **by_path: Script
) -> list[ScriptedUpstream]:
    """Add upstreams with shared scripts; a name in `by_path` stands for ``/name/``."""
    shared = list(scripts)
    script_by_path = {f"/{name}/": script for name, script in by_path.items()}
    added = []
    for number in range(count):
        upstream = in_reactor(ScriptedUpstream, shared, script_by_path)
        name = f"{service}-x{number}"
        live.site.upstream_by_name[name] = LocalUpstream(
            name, service, "v1", "glasgow", upstream
        )
        added.append(upstream)
    return added


@dataclass(slots=True, frozen=True)
class Received:
    """All that a caller has received until its connection ended."""

    head: bytes
    body: bytes
    is_reset: bool

    @property
    def status(self) -> int:
        return int(self.head.split()[1])

    @property
    def is_chunked(self) -> bool:
        return b"transfer-encoding: chunked" in self.head.lower()

    @property
    def is_complete(self) -> bool:
        """Whether the framing, or an end in order, says that the body is complete."""
        if self.is_chunked:
            return self.body.endswith(LAST_CHUNK)
        found = re.search(rb"(?i)content-length: *(\d+)", self.head)
        if found:
            return len(self.body) == int(found[1])
        return not self.is_reset

    @property
    def has_error_event(self) -> bool:
        return b"event: error\ndata: " in self.body


def call_raw(
    live: LiveSite,
    method: str,
    path: str,
    body: object = None,
    version: str = "1.1",
    router: str = "r0",
    **headers: str,
) -> Received:
    """Make one call and read to the end of its connection."""
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/{version}", "host: x", "connection: close"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    lines.append(f"content-length: {len(data)}")
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    with socket.create_connection(("127.0.0.1", live.port(router)), 20) as connection:
        connection.sendall(head + data)
        return read_to_end(connection)


def read_to_end(connection: socket.socket) -> Received:
    received = b""
    is_reset = False
    try:
        while data := connection.recv(65536):
            received += data
    except ConnectionResetError:
        is_reset = True
    head, _, body = received.partition(b"\r\n\r\n")
    return Received(head, body, is_reset)
