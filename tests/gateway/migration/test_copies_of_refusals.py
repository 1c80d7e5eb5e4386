"""Migrations to an engine that refused the request and sends a copy of the refusal."""

from __future__ import annotations

import pytest
from twisted.internet import protocol, reactor
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol

from tests.gateway.migration.test_live_migration import Engines, check_one_run
from tests.live import in_reactor

MAX_TRIES = 20
PAUSE_S = 0.025  # between the events of a stream


class Backward(protocol.Protocol):
    """Passes answers on, and the copy of a refusal before the next answer."""

    def __init__(self, caller, refused):
        self.caller = caller
        self.refused = refused
        self.copy = b""

    def dataReceived(self, data):
        copy = b""
        if data.startswith(b"HTTP/1.1 "):
            copy, self.copy = self.copy, b""
        if data.startswith(b"HTTP/1.1 503"):
            self.copy = data
            self.refused.append(data)
        self.caller.transport.write(copy + data)

    def connectionLost(self, reason=protocol.connectionDone):
        self.caller.transport.loseConnection()


class Forward(protocol.Protocol):
    """Passes requests on to the engine."""

    def connectionMade(self):
        self.backward = None
        self.early = b""
        target = TCP4ClientEndpoint(reactor, "127.0.0.1", self.factory.engine_port)
        backward = Backward(self, self.factory.refused)
        connectProtocol(target, backward).addCallback(self.begin)

    def begin(self, backward):
        self.backward = backward
        backward.transport.write(self.early)

    def dataReceived(self, data):
        if self.backward is None:
            self.early += data
        else:
            self.backward.transport.write(data)

    def connectionLost(self, reason=protocol.connectionDone):
        if self.backward is not None:
            self.backward.transport.loseConnection()


class CopyingProxy(protocol.Factory):
    """Listens in place of an engine."""

    noisy = False
    protocol = Forward

    def __init__(self, engine_port):
        self.engine_port = engine_port
        self.refused = []
        self.port = reactor.listenTCP(0, self, interface="127.0.0.1")
        self.address = f"127.0.0.1:{self.port.getHost().port}"


class CopyingEngines(Engines):
    """Two engines that are reached through a proxy each."""

    def __init__(self):
        super().__init__()
        self.proxy_by_name = {}

    def announce(self, name, address, state="ready", born=1, **fields):
        if name not in self.proxy_by_name:
            self.proxy_by_name[name] = CopyingProxy(address.port)
        proxy = self.proxy_by_name[name]
        self.replica_by_name[name].address = proxy.address
        super().announce(name, proxy.address, state, born, **fields)

    def __exit__(self, *exc_info):
        super().__exit__(*exc_info)
        for proxy in self.proxy_by_name.values():
            in_reactor(proxy.port.stopListening)

    def set_pause(self, seconds):
        """Set the time between the events of all streams."""
        for replica in self.replica_by_name.values():
            replica.state.pause_s = seconds

    def refusals_of(self, name, attempt):
        data = self.proxy_by_name[name].refused
        return [item for item in data if f"{attempt}\r".encode() in item]


@pytest.fixture
def live():
    with CopyingEngines() as engines:
        yield engines


def test_a_run_that_moves_to_an_engine_that_refused_it_goes_on_there(live):
    """Guards against the copy of a refusal, taken for that of a run that moved."""
    for number in range(MAX_TRIES):
        live.set_faults("e2", is_full=True)
        stream = live.begin(f"/draft/{number}")
        attempt = f"a-draft-{number}"
        assert live.engine_of(attempt) == "e1"
        live.set_faults("e2", is_full=False)
        if live.refusals_of("e2", attempt):
            break
        live.set_pause(0.0)  # so that it ends soon
        stream.result()
        live.set_pause(PAUSE_S)
    else:
        pytest.fail("e2 was never asked first")
    live.leave("e1")
    check_one_run(live, stream.result(), attempt)
    assert live.replica_by_name["e2"].state.continued == [attempt]
