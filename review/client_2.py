"""Stand-in of clients that keep their connections, after the users' pages."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from uuid import uuid4

from review.web_2 import Message, encode, read_body, read_head


@dataclass(slots=True)
class Result:
    """One client attempt and what came of it."""

    attempt: str
    sent_at: float
    ended_at: float
    status: int  # 0 for a connection that ended without an answer
    answer: Message | None = None


class Client:
    """One client at one machine; it sends one request after the other."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes = b"",
        deadline_ms: int = 1500,
    ) -> Result:
        """Send a request and wait for its answer, at most until its deadline."""
        attempt = uuid4().hex[:16]
        fields = [
            *headers,
            ("X-Attempt-Id", attempt),
            ("X-Deadline-Ms", str(deadline_ms)),
        ]
        sent_at = time.time()
        try:
            answer = await asyncio.wait_for(
                self._exchange(method, target, fields, body), deadline_ms / 1000 + 1
            )
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
            answer = None
        if answer is None or answer.get("connection").lower() == "close":
            self.close()
        status = 0 if answer is None else answer.status
        return Result(attempt, sent_at, time.time(), status, answer)

    async def _exchange(
        self, method: str, target: str, headers: list[tuple[str, str]], body: bytes
    ) -> Message | None:
        if self._streams is None:
            self._streams = await asyncio.open_connection(
                self.host, self.port, limit=1 << 20
            )
        reader, writer = self._streams
        writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
        await writer.drain()
        answer = await read_head(reader)
        if answer is not None:
            await read_body(reader, answer)
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None
