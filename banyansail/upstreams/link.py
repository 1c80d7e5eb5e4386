"""HTTP connections from a router to one upstream."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, error
from twisted.internet.protocol import Protocol
from twisted.web.client import (
    Agent,
    BrowserLikePolicyForHTTPS,
    HTTPConnectionPool,
    PotentialDataLoss,
    ResponseDone,
    ResponseFailed,
)
from twisted.web.http_headers import Headers

from banyansail.routing.retry import AttemptFailure
from banyansail.upstreams.body import BytesBody

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure as TwistedFailure
    from twisted.web.iweb import IResponse

    from banyansail.config.fields import Address
    from banyansail.upstreams.tls import UpstreamTrust

CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTIONS = 64
IDLE_TIMEOUT_S = 30
SIDE_CALL_TIMEOUT = timedelta(seconds=1)
MAX_SIDE_ANSWER_BYTES = 64 * 1024
PROBE_TIMEOUT = timedelta(seconds=1)

NOT_SENT_ERRORS = (
    error.ConnectError,
    error.TimeoutError,
    error.ConnectingCancelledError,
)


@dataclass(slots=True, frozen=True)
class UpstreamCall:
    """A call to an upstream.

    Parameters
    ----------
    headers : dict of str to str
        Headers that are passed on.
    is_repeatable : bool
        Calls that may not be repeated get a new connection, so that a failure to
        connect proves that nothing was sent.
    """

    method: str
    path: str
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)
    is_repeatable: bool = True


class AttemptError(Exception):
    """An attempt ended without an answer.

    Parameters
    ----------
    failure : AttemptFailure
        How it ended.
    detail : str
        What was seen.
    upstream_died : bool
        Whether a probe found the upstream dead, whether or not the call was sent.
    """

    def __init__(
        self, failure: AttemptFailure, detail: str, *, upstream_died: bool = False
    ) -> None:
        super().__init__(f"{failure.value}: {detail}")
        self.failure = failure
        self.detail = detail
        self.upstream_died = upstream_died


class BodyReceiver(Protocol):
    """Passes the bytes of a body on and tells how it ended.

    Parameters
    ----------
    on_data : callable
        Called with each piece.
    """

    def __init__(self, on_data: Callable[[bytes], None]) -> None:
        self._on_data = on_data
        self.ended: defer.Deferred[None] = defer.Deferred(self._abort)
        self.is_open = True

    def dataReceived(self, data: bytes) -> None:
        """Pass a piece on."""
        if self.is_open:
            self._on_data(data)

    def connectionLost(self, reason: TwistedFailure) -> None:
        """Fire `ended`, with an error unless the body was whole."""
        if not self.is_open:
            return
        self.is_open = False
        if reason.check(ResponseDone):
            self.ended.callback(None)
            return
        detail = "the body has no end" if reason.check(PotentialDataLoss) else ""
        detail = detail or reason.getErrorMessage()
        self.ended.errback(AttemptError(AttemptFailure.CONNECTION_LOST, detail))

    def fail(self, attempt_error: AttemptError) -> None:
        """Give the body up and drop the connection."""
        if not self.is_open:
            return
        self.is_open = False
        self._drop()
        self.ended.errback(attempt_error)

    def _abort(self, _: defer.Deferred[None]) -> None:
        self.is_open = False
        self._drop()

    def _drop(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()


async def read_whole(
    response: IResponse,
    max_bytes: int,
    on_data: Callable[[], None] | None = None,
) -> bytes:
    """Read a body to its end.

    Parameters
    ----------
    max_bytes : int
        A larger body is given up.
    on_data : callable or None
        Called with each piece that comes.

    Raises
    ------
    AttemptError
        If the body is cut short or too large.
    """
    pieces: list[bytes] = []
    size = 0

    def take(data: bytes) -> None:
        nonlocal size
        if on_data is not None:
            on_data()
        pieces.append(data)
        size += len(data)
        if size > max_bytes:
            receiver.fail(
                AttemptError(AttemptFailure.BAD_ANSWER, "the answer is too large")
            )

    receiver = BodyReceiver(take)
    response.deliverBody(receiver)
    await receiver.ended
    return b"".join(pieces)


class UpstreamLink:
    """Pool of connections to one upstream.

    A connection whose answer was not read to its end is never used again.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    address : Address
        The upstream.
    trust : UpstreamTrust or None
        Checks its certificate; ``None`` for plain HTTP.
    """

    __slots__ = ("_base", "_fresh", "_pool", "_pooled", "_reactor")

    def __init__(
        self, reactor: Any, address: Address, trust: UpstreamTrust | None = None
    ) -> None:
        self._reactor = reactor
        scheme = "http" if trust is None else "https"
        self._base = f"{scheme}://{address}"
        policy = trust or BrowserLikePolicyForHTTPS()
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = IDLE_CONNECTIONS
        self._pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        self._pool.retryAutomatically = False
        self._pooled = Agent(reactor, policy, CONNECT_TIMEOUT_S, pool=self._pool)
        self._fresh = Agent(reactor, policy, CONNECT_TIMEOUT_S)

    def __enter__(self) -> UpstreamLink:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close_idle()

    def close_idle(self) -> None:
        """Close the idle connections, for instance as they may have gone silent."""
        self._pool.closeCachedConnections()

    async def send(self, call: UpstreamCall) -> IResponse:
        """Send a call and return the response, whose body is still to come.

        Raises
        ------
        AttemptError
            With ``NOT_SENT`` only if no byte of the call has left.
        """
        agent = self._pooled if call.is_repeatable else self._fresh
        headers = Headers({name: [text] for name, text in call.headers.items()})
        body = BytesBody(call.body) if call.body else None
        url = (self._base + call.path).encode("ascii")
        try:
            return await agent.request(call.method.encode(), url, headers, body)
        except NOT_SENT_ERRORS as caught:
            raise AttemptError(AttemptFailure.NOT_SENT, str(caught)) from caught
        except (ResponseFailed, OSError, error.ConnectionClosed) as caught:
            raise AttemptError(
                AttemptFailure.CONNECTION_LOST, _describe(caught)
            ) from caught

    async def ask_json(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        timeout: timedelta = SIDE_CALL_TIMEOUT,
        max_bytes: int = MAX_SIDE_ANSWER_BYTES,
    ) -> Any:
        """Return the JSON of a side call, or ``None`` if it can't be had.

        The call uses a new connection. An answer other than 200 gives ``None``.
        """
        call = UpstreamCall(method, path, body, is_repeatable=False)
        done = defer.Deferred.fromCoroutine(self._exchange_json(call, max_bytes))
        done.addTimeout(timeout.total_seconds(), self._reactor)
        try:
            return await done
        except (AttemptError, defer.TimeoutError, ValueError):
            return None

    async def _exchange_json(self, call: UpstreamCall, max_bytes: int) -> Any:
        response = await self.send(call)
        text = await read_whole(response, max_bytes)
        return json.loads(text) if response.code == 200 else None

    async def probe(self, path: str = "/health") -> bool:
        """Tell whether the upstream answers on a new connection."""
        request = self._fresh.request(b"GET", (self._base + path).encode())
        request.addTimeout(PROBE_TIMEOUT.total_seconds(), self._reactor)
        try:
            response = await request
        except Exception:  # any failure at all means that it does not answer
            return False
        receiver = BodyReceiver(_ignore)
        receiver.ended.addErrback(_ignore)
        response.deliverBody(receiver)
        return response.code < 500


def _describe(caught: Exception) -> str:
    """Return what broke a connection; Twisted wraps the reasons."""
    reasons = getattr(caught, "reasons", None)
    if not reasons:
        return type(caught).__name__
    return f"{type(caught).__name__}: {reasons[0].getErrorMessage()}"


def _ignore(_: object) -> None:
    return None
