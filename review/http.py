"""A small HTTP/1.1 server and client on asyncio streams."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

MAX_HEAD_BYTES = 65536
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}


@dataclass(slots=True)
class Message:
    """A request or a response; the names of its headers are in lower case."""

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""
    is_open: Callable[[], bool] = field(default=lambda: True)

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body or b"{}")

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


@dataclass(slots=True)
class Answer:
    """A response to be written.

    Parameters
    ----------
    body : bytes or None
        ``None`` to close the connection without a response.
    late_bytes : bytes
        Sent on the same connection right before the next response.
    """

    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes | None = b""
    late_bytes: bytes = b""

    @classmethod
    def of_json(cls, body: Any, status: int = 200) -> Answer:
        """Return an answer with a JSON body."""
        data = json.dumps(body).encode()
        return cls(status, {"content-type": "application/json"}, data)


Handler = Callable[[Message], Awaitable[Answer]]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a length or in chunks; ``None`` at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    message = Message(lines[0].split(" ", 2), headers)
    if "content-length" in headers:
        message.body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        message.body = await _read_chunks(reader)
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while (await reader.readline()).strip():
        pass
    return bytes(body)


def encode(start: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Serves each request of a connection with a handler, one after the other."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int = 0) -> int:
        """Listen; return the port."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=MAX_HEAD_BYTES, backlog=512
        )
        return self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and reset all connections, as a process that ends does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        late_bytes = b""
        try:
            while (request := await read_message(reader)) is not None:
                request.is_open = lambda: not (
                    reader.at_eof() or writer.transport.is_closing()
                )
                answer = await self._handler(request)
                if answer.body is None:
                    break
                reason = REASONS.get(answer.status, "-")
                start = f"HTTP/1.1 {answer.status} {reason}"
                writer.write(late_bytes + encode(start, answer.headers, answer.body))
                late_bytes = answer.late_bytes
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
) -> Message | None:
    """Send a request on a new connection; return the response, if there is one."""
    try:
        reader, writer = await asyncio.open_connection(host, port, limit=MAX_HEAD_BYTES)
    except OSError:
        return None
    try:
        start = f"{method} {target} HTTP/1.1"
        writer.write(encode(start, headers, body))
        return await read_message(reader)
    except (ConnectionError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()
