"""HTTP client for short calls to the store, the cloud and engines."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from banyansail.exceptions import PlatformUnavailableError
from banyansail.upstreams.pool import ConnectionPool

if TYPE_CHECKING:
    from datetime import timedelta

    from banyansail.clock import Clock
    from banyansail.config.fields import Address
    from banyansail.upstreams.connection import HttpConnection

MAX_ANSWER_BYTES = 16 * 1024**2


@dataclass(slots=True, frozen=True)
class HttpAnswer:
    """Complete answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body.

        Raises
        ------
        PlatformUnavailableError
            If the body is not JSON.
        """
        try:
            return json.loads(self.body or b"null")
        except ValueError as error:
            raise PlatformUnavailableError(f"the answer is not JSON: {error}") from None


class _AnswerCollector:
    """Receiver that fires a deferred with the complete answer of one exchange."""

    def __init__(
        self, done: defer.Deferred[HttpAnswer], connection: HttpConnection
    ) -> None:
        self._done = done
        self._connection = connection
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()

    def is_own_answer(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        return True

    def head_received(
        self, status: int, reason: bytes, headers: list[tuple[bytes, bytes]]
    ) -> None:
        self._status = status
        self._headers = headers

    def body_received(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > MAX_ANSWER_BYTES:
            self._connection.abort()
            self.exchange_failed(f"the answer is larger than {MAX_ANSWER_BYTES} bytes")

    def answer_complete(self) -> None:
        if not self._done.called:
            answer = HttpAnswer(self._status, self._headers, bytes(self._body))
            self._done.callback(answer)

    def exchange_failed(self, reason: str) -> None:
        if not self._done.called:
            self._done.errback(PlatformUnavailableError(reason))


class HttpCaller:
    """HTTP client of one server.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    clock : Clock
        Source of time.
    address : Address
        Address of the server.
    """

    def __init__(self, reactor: Any, clock: Clock, address: Address) -> None:
        self._reactor = reactor
        self._pool = ConnectionPool(reactor, clock, address)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    def close_idle(self) -> None:
        """Close the idle connections; later calls open new ones."""
        self._pool.close_idle()

    async def call(
        self,
        method: str,
        target: str,
        timeout: timedelta,
        body: Any = None,
        headers: list[tuple[bytes, bytes]] | None = None,
    ) -> HttpAnswer:
        """Send a request and wait for the complete answer; see `call_over`."""
        return await call_over(
            self._reactor, self._pool, method, target, timeout, body, headers
        )


async def call_over(
    reactor: Any,
    pool: ConnectionPool,
    method: str,
    target: str,
    timeout: timedelta,
    body: Any = None,
    headers: list[tuple[bytes, bytes]] | None = None,
    *,
    is_fresh: bool = False,
) -> HttpAnswer:
    """Send a request over a connection of a pool and wait for the complete answer.

    Without an answer in time, the idle connections of the pool are closed too, as
    connections may stall together.

    Parameters
    ----------
    is_fresh : bool
        Whether the call has a connection of its own, as bytes beyond an earlier answer
        may follow on others, and on this one beyond its answer.

    Raises
    ------
    ConnectFailedError
        If nothing was sent.
    PlatformUnavailableError
        If no answer was received in time; the call may have taken effect.
    """
    exchange = defer.Deferred.fromCoroutine(
        _exchange(pool, method, target, body, headers or [], is_fresh=is_fresh)
    )
    exchange.addTimeout(timeout.total_seconds(), reactor)
    try:
        return await exchange
    except defer.TimeoutError:
        pool.close_idle()
        text = f"{method} {target}: no answer within {timeout.total_seconds()} s"
        raise PlatformUnavailableError(text) from None


async def _exchange(
    pool: ConnectionPool,
    method: str,
    target: str,
    body: Any,
    headers: list[tuple[bytes, bytes]],
    *,
    is_fresh: bool,
) -> HttpAnswer:
    data = b"" if body is None else json.dumps(body).encode()
    sent_headers = [(b"host", str(pool.address).encode()), *headers]
    if body is not None:
        sent_headers += [
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(data)),
        ]
    connection: HttpConnection | None = None if is_fresh else pool.pop_idle()
    if connection is None:
        connection = await pool.connect()
    done: defer.Deferred[HttpAnswer] = defer.Deferred()
    receiver = _AnswerCollector(done, connection)
    connection.send_request(
        method.encode(), target.encode(), sent_headers, data, receiver
    )
    try:
        answer = await done
    except defer.CancelledError:
        connection.abort()
        raise
    if is_fresh:
        connection.close()
    return answer
