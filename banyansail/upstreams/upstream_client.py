"""HTTP client of one upstream."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, error
from twisted.web.client import (
    Agent,
    BrowserLikePolicyForHTTPS,
    HTTPConnectionPool,
    ResponseFailed,
)
from twisted.web.http_headers import Headers

from banyansail.routing.retry import AttemptFailure
from banyansail.upstreams.attempt_error import AttemptError
from banyansail.upstreams.body import BytesBody
from banyansail.upstreams.body_receiver import BodyReceiver, read_body

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.web.iweb import IResponse

    from banyansail.config.fields import Address
    from banyansail.upstreams.tls import UpstreamTlsPolicy

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 64
IDLE_TIMEOUT_S = 30
AUXILIARY_CALL_TIMEOUT = timedelta(seconds=1)
MAX_AUXILIARY_ANSWER_BYTES = 64 * 1024
PROBE_TIMEOUT = timedelta(seconds=1)

NOT_SENT_ERRORS = (
    error.ConnectError,
    error.TimeoutError,
    error.ConnectingCancelledError,
)


def _do_nothing() -> None:
    """Replace a callback that is not needed."""


@dataclass(slots=True, frozen=True)
class UpstreamCall:
    """Call to an upstream.

    Parameters
    ----------
    headers : dict of str to str
        Headers to forward.
    is_repeatable : bool
        Whether the call is idempotent. Other calls use a new connection, so that a
        failure to connect proves that nothing was sent.
    on_sent : callable
        Called when the call is written to a connection, or earlier if it has no body.
    """

    method: str
    path: str
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)
    is_repeatable: bool = True
    on_sent: Callable[[], None] = _do_nothing


class UpstreamClient:
    """HTTP client of one upstream with a connection pool.

    A connection whose answer was not read to its end is never reused.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    address : Address
        Address of the upstream.
    tls_policy : UpstreamTlsPolicy or None
        Verification of its certificate; ``None`` for plain HTTP.
    """

    __slots__ = (
        "_base_url",
        "_new_connection_agent",
        "_pool",
        "_pooling_agent",
        "_reactor",
    )

    def __init__(
        self,
        reactor: Any,
        address: Address,
        tls_policy: UpstreamTlsPolicy | None = None,
    ) -> None:
        self._reactor = reactor
        scheme = "http" if tls_policy is None else "https"
        self._base_url = f"{scheme}://{address}"
        policy = tls_policy or BrowserLikePolicyForHTTPS()
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        self._pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        self._pool.retryAutomatically = False
        self._pooling_agent = Agent(reactor, policy, CONNECT_TIMEOUT_S, pool=self._pool)
        self._new_connection_agent = Agent(reactor, policy, CONNECT_TIMEOUT_S)

    def __enter__(self) -> UpstreamClient:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close_idle()

    def close_idle(self) -> None:
        """Close the idle connections, for instance because they may have stalled."""
        self._pool.closeCachedConnections()

    async def send(self, call: UpstreamCall) -> IResponse:
        """Send a call and return the response, whose body is not yet read.

        Raises
        ------
        AttemptError
            With ``NOT_SENT`` only if no byte of the call was sent.
        """
        agent = (
            self._pooling_agent if call.is_repeatable else self._new_connection_agent
        )
        headers = Headers({name: [text] for name, text in call.headers.items()})
        body = BytesBody(call.body, call.on_sent) if call.body else None
        if body is None:
            call.on_sent()
        url = (self._base_url + call.path).encode("ascii")
        try:
            return await agent.request(call.method.encode(), url, headers, body)
        except NOT_SENT_ERRORS as cause:
            raise AttemptError(AttemptFailure.NOT_SENT, str(cause)) from cause
        except (ResponseFailed, OSError, error.ConnectionClosed) as cause:
            raise AttemptError(
                AttemptFailure.CONNECTION_LOST, _describe_error(cause)
            ) from cause

    async def request_json(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        timeout: timedelta = AUXILIARY_CALL_TIMEOUT,
        max_bytes: int = MAX_AUXILIARY_ANSWER_BYTES,
    ) -> Any:
        """Make an auxiliary call on a new connection and return its JSON answer.

        The result is ``None`` after any failure and for a status other than 200.
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
        text = await read_body(response, max_bytes)
        return json.loads(text) if response.code == 200 else None

    async def probe(self, path: str = "/health") -> bool:
        """Return whether the upstream answers on a new connection."""
        request = self._new_connection_agent.request(
            b"GET", (self._base_url + path).encode()
        )
        request.addTimeout(PROBE_TIMEOUT.total_seconds(), self._reactor)
        try:
            response = await request
        except Exception:  # any failure means that the upstream does not answer
            return False
        receiver = BodyReceiver(_ignore)
        receiver.ended.addErrback(_ignore)
        response.deliverBody(receiver)
        return response.code < 500


def _describe_error(cause: Exception) -> str:
    """Return the cause of a connection failure, which Twisted wraps in `reasons`."""
    reasons = getattr(cause, "reasons", None)
    if not reasons:
        return type(cause).__name__
    return f"{type(cause).__name__}: {reasons[0].getErrorMessage()}"


def _ignore(_: object) -> None:
    return None
