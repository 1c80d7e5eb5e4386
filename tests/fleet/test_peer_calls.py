"""Calls between routers that are made at the same time, or to a frozen router."""

from __future__ import annotations

from typing import ClassVar

from twisted.internet import defer, protocol, reactor, task

from banyansail.config.fields import Address
from banyansail.exceptions import WireError
from banyansail.fleet.peer_calls import PeerCaller, PeerServerProtocol
from banyansail.wire.call_types import EmptyReply, FetchDocument
from banyansail.wire.message_auth import MessageAuthenticator
from tests.live import in_reactor, run_reactor

KEY = "0123456789abcdef"


HANDSHAKE_S = 0.2


class SlowServer(PeerServerProtocol):
    """A router that takes its part in the handshake late."""

    def connectionMade(self):
        reactor.callLater(HANDSHAKE_S, super().connectionMade)


async def call_in_handshake():
    """Return the replies to two calls, the second one made during the handshake."""

    async def handle(call):
        return EmptyReply()

    authenticator = MessageAuthenticator(KEY)
    factory = protocol.Factory()
    factory.buildProtocol = lambda address: SlowServer(authenticator, handle)
    port = reactor.listenTCP(0, factory, interface="127.0.0.1")
    address = Address("127.0.0.1", port.getHost().port)
    call = FetchDocument("config", 0)
    with PeerCaller(reactor, MessageAuthenticator(KEY)) as caller:
        first = defer.Deferred.fromCoroutine(caller.call(address, call))
        await task.deferLater(reactor, HANDSHAKE_S / 2)
        second = defer.Deferred.fromCoroutine(caller.call(address, call))
        replies = await defer.gatherResults([first, second], consumeErrors=True)
    await defer.maybeDeferred(port.stopListening)
    return replies


def test_calls_made_while_the_connection_is_made_are_answered():
    """A call sent before the handshake has a wrong code, which ends the connection."""
    run_reactor()
    assert in_reactor(call_in_handshake) == [EmptyReply()] * 2


async def cancel_in_handshake():
    """Return whether a cancelled call to a silent router leaves its connection open."""
    connected: defer.Deferred = defer.Deferred()
    closed: defer.Deferred = defer.Deferred()

    class Silent(protocol.Protocol):
        def dataReceived(self, data):
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


class StallingServer(PeerServerProtocol):
    """A router whose open connections can fall silent; new ones work."""

    opened: ClassVar[list[StallingServer]] = []

    def connectionMade(self):
        super().connectionMade()
        self.opened.append(self)

    @classmethod
    def silence(cls):
        for connection in cls.opened:
            connection.dataReceived = lambda data: None
        cls.opened.clear()


async def reply_empty(call):
    return EmptyReply()


def listen():
    """Return the port and the address of a router."""
    authenticator = MessageAuthenticator(KEY)
    factory = protocol.Factory()
    factory.buildProtocol = lambda address: StallingServer(authenticator, reply_empty)
    port = reactor.listenTCP(0, factory, interface="127.0.0.1")
    return port, Address("127.0.0.1", port.getHost().port)


async def call_after_a_silence(limits_s):
    """Return the replies to calls of one router after another, each given up in time.

    All connections have fallen silent before the first of them.
    """
    listening = [listen() for _ in limits_s]
    call = FetchDocument("config", 0)
    replies = []
    with PeerCaller(reactor, MessageAuthenticator(KEY)) as caller:
        for _, address in listening:
            await caller.call(address, call)
        StallingServer.silence()
        for (_, address), limit_s in zip(listening, limits_s, strict=True):
            for _ in range(2):
                asked = defer.Deferred.fromCoroutine(caller.call(address, call))
                asked.addTimeout(limit_s, reactor, onTimeoutCancel=lambda *_: None)
                asked.addErrback(lambda failure: failure.trap(WireError))
                replies.append(await asked)
    for port, _ in listening:
        await defer.maybeDeferred(port.stopListening)
    return replies


def test_a_call_that_was_given_up_ends_the_use_of_its_connection():
    """Guards against a follower that asks on a silent connection again and again."""
    run_reactor()
    assert in_reactor(call_after_a_silence, [1.0])[1] == EmptyReply()


def test_one_silent_connection_ends_the_use_of_others_as_old():
    """Guards against routers that are asked in turn, each on a silent connection."""
    run_reactor()
    replies = in_reactor(call_after_a_silence, [4.0, 1.0, 1.0])
    assert replies[1:] == [EmptyReply()] * 5
