"""Minimal HTTP/1.1 for the stand-ins, on asyncio streams."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, unquote, urlsplit

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

Headers = list[tuple[str, str]]


@dataclass(slots=True)
class Message:
    """A request or an answer; `start` is its first line."""

    start: str
    headers: Headers
    body: bytes = b""
    is_complete: bool = True

    def get(self, name: str, default: str = "") -> str:
        """Return the first value of a header."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ", 1)[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start.split(" ")[1]

    @property
    def path(self) -> str:
        """Path of a request, decoded."""
        return unquote(urlsplit(self.target).path)

    @property
    def query(self) -> dict[str, str]:
        """Query of a request."""
        found = parse_qs(urlsplit(self.target).query)
        return {name: values[0] for name, values in found.items()}

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start.split(" ")[1])

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body or b"null")


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of a message; ``None`` at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers.append((name.strip(), value.strip()))
    return Message(lines[0], headers)


async def read_body(reader: asyncio.StreamReader, head: Message) -> None:
    """Read the body of a message into it."""
    if head.get("transfer-encoding").lower() == "chunked":
        while True:
            line = await reader.readline()
            if not line:
                head.is_complete = False
                return
            size = int(line.split(b";")[0], 16)
            head.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return
    length = int(head.get("content-length") or 0)
    if length:
        head.body = await reader.readexactly(length)


def encode(start: str, headers: Headers, body: bytes = b"") -> bytes:
    """Return a message with its length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_json(status: int, value: Any, headers: Headers | None = None) -> bytes:
    """Return an answer with a JSON body."""
    body = json.dumps(value).encode()
    fields = [("Content-Type", "application/json"), *(headers or [])]
    return encode(f"HTTP/1.1 {status} x", fields, body)


@dataclass(slots=True)
class Server:
    """HTTP server; `answer` writes the answer to each request.

    `answer` returns whether the connection stays open.
    """

    answer: Callable[[Message, asyncio.StreamWriter], Awaitable[bool]]
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 20, backlog=512
        )

    def stop(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                if not await self.answer(request, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
