"""Calls between routers over TCP, with an authentication code on each frame."""

from __future__ import annotations

import math
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint

from banyansail.exceptions import BanyansailError, WireError
from banyansail.fleet.entries import Feature
from banyansail.fleet.peer_frames import AuthenticatedFrames
from banyansail.log import log_event
from banyansail.wire.call_codec import (
    accepts_deflated,
    decode_call,
    decode_reply,
    encode_call,
    encode_reply,
)
from banyansail.wire.call_types import (
    FollowStore,
    NotSupported,
    PeerCall,
    PeerReply,
    ReachIncarnation,
    Unavailable,
    UnknownCall,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from twisted.python.failure import Failure

    from banyansail.config.fields import Address
    from banyansail.wire.message_auth import MessageAuthenticator

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT = timedelta(seconds=3)
# Calls that the build c1e6479 does not know; it closes the connection that
# brings one.
FEATURE_BY_CALL: dict[type, Feature] = {
    FollowStore: Feature.RELAYS_STORE_CHANGES,
    ReachIncarnation: Feature.REACH_INCARNATION,
}


def encode_reply_to(payload: bytes, call_id: int, reply: PeerReply) -> bytes:
    """Encode the reply to a call, in a form that its caller understands.

    Parameters
    ----------
    payload : bytes
        The call, as it was received.
    """
    return encode_reply(call_id, reply, may_deflate=accepts_deflated(payload))


def is_understood(call: PeerCall, features: Feature) -> bool:
    """Return whether a router with these features understands a call."""
    return FEATURE_BY_CALL.get(type(call), Feature(0)) in features


class PeerServerProtocol(AuthenticatedFrames):
    """Server side of a connection: handles the calls of one router."""

    def __init__(
        self,
        authenticator: MessageAuthenticator,
        handle: Callable[[PeerCall], Coroutine[Any, Any, PeerReply]],
    ) -> None:
        super().__init__(authenticator, b"server", b"client")
        self._handle = handle

    def handshake_completed(self) -> None:
        """Do nothing; the client sends the first call."""

    def frame_received(self, payload: bytes) -> None:
        """Handle a call and send its reply."""
        call_id, call = decode_call(payload)
        handling = defer.Deferred.fromCoroutine(
            self._handle_call(payload, call_id, call)
        )
        handling.addErrback(
            lambda failure: log_event("peer_call_failed", error=failure.getTraceback())
        )

    async def _handle_call(
        self, payload: bytes, call_id: int, call: PeerCall | UnknownCall
    ) -> None:
        try:
            if isinstance(call, UnknownCall):
                reply = NotSupported()
            else:
                reply = await self._handle(call)
        except BanyansailError as error:
            reply = Unavailable(error.message)
        if self.connected:
            self.send_frame(encode_reply_to(payload, call_id, reply))


class PeerServerFactory(protocol.ServerFactory):
    """Accepts the connections of other routers.

    Parameters
    ----------
    authenticator : MessageAuthenticator
        Adds and checks the authentication codes of frames.
    handle : callable
        Coroutine function that takes a call and returns its reply.
    """

    noisy = False

    def __init__(
        self,
        authenticator: MessageAuthenticator,
        handle: Callable[[PeerCall], Coroutine[Any, Any, PeerReply]],
    ) -> None:
        self._authenticator = authenticator
        self._handle = handle

    def buildProtocol(self, addr: Any) -> PeerServerProtocol:
        """Build the protocol of a connection."""
        return PeerServerProtocol(self._authenticator, self._handle)


class _PeerClientProtocol(AuthenticatedFrames):
    """Client side of a connection: sends calls to one router."""

    def __init__(self, reactor: Any, authenticator: MessageAuthenticator) -> None:
        super().__init__(authenticator, b"client", b"server")
        self._reactor = reactor
        self._next_id = 0
        self.heard_at = math.inf  # seconds of the reactor; the last bytes received
        self._waiter_by_id: dict[int, defer.Deferred[PeerReply]] = {}
        self.when_connected: defer.Deferred[_PeerClientProtocol] = defer.Deferred()

    def dataReceived(self, data: bytes) -> None:
        self.heard_at = self._reactor.seconds()
        super().dataReceived(data)

    def handshake_completed(self) -> None:
        self.when_connected.callback(self)

    def frame_received(self, payload: bytes) -> None:
        call_id, reply = decode_reply(payload)
        waiter = self._waiter_by_id.pop(call_id, None)
        if waiter is not None:
            waiter.callback(reply)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        error = WireError("the connection to the router was lost before its reply")
        if not self.when_connected.called:
            self.when_connected.errback(error)
        waiters, self._waiter_by_id = self._waiter_by_id, {}
        for waiter in waiters.values():
            waiter.errback(error)

    def call(self, call: PeerCall) -> defer.Deferred[PeerReply]:
        self._next_id += 1
        call_id = self._next_id
        waiter: defer.Deferred[PeerReply] = defer.Deferred(
            lambda _: self._waiter_by_id.pop(call_id, None)
        )
        self._waiter_by_id[call_id] = waiter
        self.send_frame(encode_call(call_id, call))
        return waiter


class PeerCaller:
    """Client that keeps one connection open to each router that it calls.

    Connections may stall together, without a close. After one has not replied, another
    is used only if something was received on it since.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    authenticator : MessageAuthenticator
        Adds and checks the authentication codes of frames.
    """

    __slots__ = (
        "_authenticator",
        "_connection_by_address",
        "_doubted_before",
        "_reactor",
    )

    def __init__(self, reactor: Any, authenticator: MessageAuthenticator) -> None:
        self._reactor = reactor
        self._authenticator = authenticator
        self._connection_by_address: dict[Address, _PeerClientProtocol] = {}
        # Connections on which nothing was received since may have stalled.
        self._doubted_before = -math.inf

    def __enter__(self) -> PeerCaller:
        return self

    def __exit__(self, *exc_info: object) -> None:
        for connection in self._connection_by_address.values():
            connection.transport.loseConnection()

    async def call(
        self, address: Address, call: PeerCall, max_silence: timedelta = CALL_TIMEOUT
    ) -> PeerReply:
        """Send a call to a router and return its reply.

        Parameters
        ----------
        max_silence : timedelta
            Time after which the call fails if nothing at all was received meanwhile.

        Raises
        ------
        WireError
            If the router can't be reached or does not reply within `CALL_TIMEOUT`; it
            may still have handled the call.
        """
        sent_at = self._reactor.seconds()
        reply = defer.Deferred.fromCoroutine(self._exchange(address, call))
        reply.addTimeout(CALL_TIMEOUT.total_seconds(), self._reactor)
        check = self._reactor.callLater(
            max_silence.total_seconds(), self._doubt, address, sent_at
        )
        try:
            return await reply
        except defer.TimeoutError:
            self._doubt(address, sent_at)
            raise WireError(f"no reply from router {address} in time") from None
        except defer.CancelledError:
            self._abort_if_stalled(address, sent_at)
            raise
        finally:
            if check.active():
                check.cancel()

    async def _exchange(self, address: Address, call: PeerCall) -> PeerReply:
        connection = self._connection_by_address.get(address)
        if connection is not None and connection.heard_at < self._doubted_before:
            self._abort_connection(address)
            connection = None
        if connection is None or not connection.connected:
            connection = await self._connect(address)
        return await connection.call(call)

    async def _connect(self, address: Address) -> _PeerClientProtocol:
        endpoint = TCP4ClientEndpoint(
            self._reactor, address.host, address.port, CONNECT_TIMEOUT_S
        )
        factory = protocol.Factory.forProtocol(
            lambda: _PeerClientProtocol(self._reactor, self._authenticator)
        )
        factory.noisy = False
        try:
            connection = await endpoint.connect(factory)
        except Exception as error:
            raise WireError(f"no connection to router {address}: {error}") from error
        try:
            await connection.when_connected
        except defer.CancelledError:
            connection.transport.abortConnection()
            raise
        # A call before the handshake would have a wrong code, so that a connection is
        # kept only after it; of two made at the same time, the first one is kept.
        kept = self._connection_by_address.setdefault(address, connection)
        if kept is not connection and kept.connected:
            connection.transport.loseConnection()
            return kept
        self._connection_by_address[address] = connection
        return connection

    def _doubt(self, address: Address, sent_at: float) -> None:
        """Doubt connections as old if that of a call sent at a time has stalled."""
        if self._abort_if_stalled(address, sent_at):
            self._doubted_before = max(self._doubted_before, sent_at)

    def _abort_if_stalled(self, address: Address, sent_at: float) -> bool:
        """Abort a connection on which nothing was received since a call was sent."""
        connection = self._connection_by_address.get(address)
        if connection is None or connection.heard_at >= sent_at:
            return False
        self._abort_connection(address)
        return True

    def _abort_connection(self, address: Address) -> None:
        """Abort a connection whose peer may no longer respond."""
        connection = self._connection_by_address.pop(address, None)
        if connection is not None and connection.transport is not None:
            connection.transport.abortConnection()
