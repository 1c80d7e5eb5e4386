"""Reactor whose connections to some addresses can be cut, for one router of a test."""

from __future__ import annotations

from enum import Enum
from typing import Any

from twisted.internet import reactor
from twisted.internet.error import ConnectionRefusedError, TimeoutError
from twisted.python.failure import Failure


class Cut(Enum):
    """How connections behave while they are cut."""

    HANG = "hang"  # open ones say nothing more, new ones time out
    RESET = "reset"  # open ones are reset, new ones refused
    KEEP = "keep"  # open ones live on, new ones are refused


class CutReactor:
    """Twisted's reactor, but for TCP connections to addresses that are cut off."""

    def __init__(self) -> None:
        self.cut: Cut | None = None
        self.ports: set[int] = set()  # that are cut off
        self._transport_by_port: dict[int, list[Any]] = {}

    def __getattr__(self, name: str) -> Any:
        return getattr(reactor, name)

    def begin(self, cut: Cut, ports: set[int]) -> None:
        """Cut the connections to ports off."""
        self.cut, self.ports = cut, ports
        if cut is Cut.HANG:
            self.silence(ports)
        for transport in self._open_to(ports):
            if cut is Cut.RESET:
                transport.abortConnection()

    def silence(self, ports: set[int], *, is_busy: bool = False) -> None:
        """Silence the open connections to ports for good; new ones work.

        If `is_busy`, only those on which an answer is awaited.
        """
        for transport in self._open_to(ports):
            if is_busy and not transport.protocol.is_busy:
                continue
            transport.pauseProducing()
            transport.write = lambda data: None

    def _open_to(self, ports: set[int]) -> list[Any]:
        return [
            transport
            for port in ports
            for transport in self._transport_by_port.get(port, [])
            if transport.connected
        ]

    def end(self) -> None:
        """Let new connections through again."""
        self.cut = None

    def connectTCP(  # noqa: N802, as Twisted calls it
        self, host: str, port: int, factory: Any, timeout: float = 30, **options: Any
    ) -> Any:
        """Connect, or fail as a cut link does."""
        if self.cut is not None and port in self.ports:
            return _FailingConnector(factory, self.cut, timeout)
        build = factory.buildProtocol

        def build_protocol(address: Any) -> Any:
            protocol = build(address)
            connection_made = protocol.connectionMade

            def record() -> None:
                connection_made()
                self._transport_by_port.setdefault(port, []).append(protocol.transport)

            protocol.connectionMade = record
            return protocol

        factory.buildProtocol = build_protocol
        return reactor.connectTCP(host, port, factory, timeout, **options)


class _FailingConnector:
    """Connector of a connection that is never made."""

    def __init__(self, factory: Any, cut: Cut, timeout: float) -> None:
        self._factory = factory
        delay = timeout if cut is Cut.HANG else 0.0
        error = TimeoutError() if cut is Cut.HANG else ConnectionRefusedError()
        self._call = reactor.callLater(delay, self._fail, error)

    def _fail(self, error: Exception) -> None:
        self._factory.clientConnectionFailed(self, Failure(error))

    def disconnect(self) -> None:
        """Give the connection up."""
        if self._call.active():
            self._call.cancel()
