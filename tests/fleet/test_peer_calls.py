"""Calls between routers that are made at the same time, or to a frozen router."""

from __future__ import annotations

from twisted.internet import defer, protocol, reactor

from banyansail.config.fields import Address
from banyansail.fleet.peer_calls import PeerCaller, PeerServerFactory
from banyansail.wire.call_codec import EmptyReply, FetchDocument
from banyansail.wire.message_auth import MessageAuthenticator
from tests.live import in_reactor, run_reactor

KEY = "0123456789abcdef"


async def call_twice_at_once():
    async def handle(call):
        return EmptyReply()

    factory = PeerServerFactory(MessageAuthenticator(KEY), handle)
    port = reactor.listenTCP(0, factory, interface="127.0.0.1")
    address = Address("127.0.0.1", port.getHost().port)
    with PeerCaller(reactor, MessageAuthenticator(KEY)) as caller:
        calls = [
            defer.Deferred.fromCoroutine(
                caller.call(address, FetchDocument("config", 0))
            )
            for _ in range(5)
        ]
        replies = await defer.gatherResults(calls)
    await defer.maybeDeferred(port.stopListening)
    return replies


def test_calls_made_while_the_connection_is_made_are_answered():
    """A call sent before the handshake has a wrong code, which ends the connection."""
    run_reactor()
    assert in_reactor(call_twice_at_once) == [EmptyReply()] * 5


async def cancel_in_handshake():
    """Return whether a cancelled call to a silent router leaves its connection open."""
    connected: defer.Deferred = defer.Deferred()
    closed: defer.Deferred = defer.Deferred()

    class Silent(protocol.Protocol):
        def connectionMade(self):
            connected.callback(None)

        def connectionLost(self, reason=None):
            closed.callback(True)

    factory = protocol.Factory.forProtocol(Silent)
    port = reactor.listenTCP(0, factory, interface="127.0.0.1")
    address = Address("127.0.0.1", port.getHost().port)
    caller = PeerCaller(reactor, MessageAuthenticator(KEY))
    call = defer.Deferred.fromCoroutine(caller.call(address, FetchDocument("x", 0)))
    call.addErrback(lambda failure: failure.trap(defer.CancelledError))
    await connected
    call.cancel()
    closed.addTimeout(5, reactor, onTimeoutCancel=lambda *_: False)
    is_closed = await closed
    await defer.maybeDeferred(port.stopListening)
    return is_closed


def test_a_call_cancelled_in_the_handshake_closes_its_connection():
    """The next call would be sent on it, before the handshake."""
    run_reactor()
    assert in_reactor(cancel_in_handshake)
