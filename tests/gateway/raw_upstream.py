"""Upstream that answers each request with bytes of the test's choice."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

from twisted.internet import protocol, reactor, task

from tests.ports import free_port

RESET_DELAY_S = 0.05  # after the answer was sent, so that it is read first
ENDLESS_INTERVAL_S = 0.001


class End(Enum):
    """How an upstream ends its answer."""

    CLOSE = "close"
    RESET = "reset"
    KEEP_OPEN = "keep open"
    ENDLESS = "endless"


@dataclass(slots=True)
class Script:
    """Answer of a raw upstream.

    Parameters
    ----------
    answer : bytes
        Sent as it is; ``{id}`` stands for the attempt's id.
    end : End
        What follows.
    filler : bytes
        Repeated until the caller closes, if the answer is endless.
    """

    answer: bytes = b""
    end: End = End.CLOSE
    filler: bytes = b""


class RawConnection(protocol.Protocol):
    def connectionMade(self):
        self._received = b""
        self._repeat = None
        self.factory.connections.add(self)

    def dataReceived(self, data):
        self._received += data
        if b"\r\n\r\n" not in self._received:
            return
        found = re.search(rb"(?i)x-attempt-id: *(\S+)", self._received)
        script = self.factory.script_for(self._received)
        self._received = b""
        answer = script.answer.replace(b"{id}", found.group(1) if found else b"")
        if script.end is End.RESET:
            self.transport.registerProducer(_ThenReset(self.transport, answer), False)
            return
        self.transport.write(answer)
        match script.end:
            case End.CLOSE:
                self.transport.loseConnection()
            case End.ENDLESS:
                self._repeat = task.LoopingCall(self.transport.write, script.filler)
                self._repeat.start(ENDLESS_INTERVAL_S)

    def connectionLost(self, reason=protocol.connectionDone):
        self.factory.connections.discard(self)
        if self._repeat is not None and self._repeat.running:
            self._repeat.stop()


class _ThenReset:
    """Pull producer that writes an answer, and resets the connection once it is sent.

    A reset by the clock alone would come before the answer after a stall.
    """

    def __init__(self, transport, answer):
        self._transport = transport
        self._answer = answer

    def resumeProducing(self):
        answer, self._answer = self._answer, b""
        if answer:
            self._transport.write(answer)
            return
        self._transport.unregisterProducer()
        reactor.callLater(RESET_DELAY_S, self._transport.abortConnection)

    def stopProducing(self):
        """Do nothing, as the connection is lost already."""


class RawUpstream(protocol.Factory):
    """Listens on loopback; must be used in the reactor's thread."""

    noisy = False
    protocol = RawConnection

    def __init__(self):
        self.script = Script()
        self.continuation: Script | None = None  # of a stream; None: as any request
        self.requests = 0
        self.continuations = 0  # requests that continue a stream
        self.connections = set()
        self._port = reactor.listenTCP(free_port(), self, interface="127.0.0.1")

    def script_for(self, request):
        """Return what answers a request."""
        self.requests += 1
        if b"last-event-id:" not in request.lower():
            return self.script
        self.continuations += 1
        return self.continuation or self.script

    @property
    def port(self):
        return self._port.getHost().port

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def stop(self):
        self._port.stopListening()
        for connection in list(self.connections):
            connection.transport.abortConnection()
