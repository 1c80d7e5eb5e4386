"""Helpers shared by the HTTP resources of the stand-ins."""

from __future__ import annotations

import json
from typing import Any

from twisted.internet import defer, reactor, task
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site


class StandinResource(Resource):
    """A resource whose ``handle`` coroutine answers every path below it."""

    isLeaf = True

    def render(self, request: Request) -> int:
        """Run the handler and answer 500 if it fails."""
        request.notifyFinish().addErrback(lambda failure: None)
        done = defer.Deferred.fromCoroutine(self.handle(request))
        done.addErrback(lambda failure: _answer_failure(request, failure))
        return NOT_DONE_YET

    async def handle(self, request: Request) -> None:
        """Answer one request."""
        raise NotImplementedError

    def set_faults(self, request: Request, faults: Any, site: Site | None) -> None:
        """Set the switches in a request; ``silence`` stalls the open connections."""
        switches = read_json(request)
        answer_json(request, {})
        if switches.pop("silence", False) and site is not None:
            reactor.callLater(0, site.stall_connections)
        for name, value in switches.items():
            setattr(faults, name, value)


def _answer_failure(request: Request, failure: Any) -> None:
    if not is_open(request):
        return
    answer_json(request, {"error": failure.getErrorMessage()}, status=500)


def is_open(request: Request) -> bool:
    """Return whether the request can still be answered."""
    return not request.finished and not request._disconnected


def answer_json(
    request: Request, body: Any, status: int = 200, etag: int | None = None
) -> None:
    """Answer with a JSON body and, if given, the version of an object."""
    if not is_open(request):
        return
    request.setResponseCode(status)
    request.setHeader("content-type", "application/json")
    if etag is not None:
        request.setHeader("etag", str(etag))
    request.write(json.dumps(body).encode())
    request.finish()


def read_json(request: Request) -> Any:
    """Return the body of a request."""
    return json.loads(request.content.read() or b"{}")


def request_path(request: Request) -> str:
    """Return the path without the query."""
    return request.path.decode("utf-8", "replace")


def query_argument(request: Request, name: str, default: str = "") -> str:
    """Return one argument of the query."""
    return request.args.get(name.encode(), [default.encode()])[0].decode()


def sleep(seconds: float) -> defer.Deferred[None]:
    """Return a deferred that fires after a time."""
    return task.deferLater(reactor, seconds)


class TrackingSite(Site):
    """A site that tracks its connections, so that they can be stalled or aborted."""

    def __init__(self, resource: Resource) -> None:
        super().__init__(resource, timeout=None)
        self.channels: set[Any] = set()

    def buildProtocol(self, addr: Any) -> Any:
        """Build the protocol of a connection and track it."""
        wrapper = super().buildProtocol(addr)
        channel = getattr(wrapper, "_channel", wrapper)
        self.channels.add(channel)
        return wrapper

    def stall_connections(self) -> None:
        """Stall every open connection permanently; new ones work."""
        for channel in self.channels:
            transport = channel.transport
            if transport is None:
                continue
            transport.pauseProducing()
            transport.resumeProducing = _do_nothing
            transport.write = _do_nothing
            transport.writeSequence = _do_nothing
            transport.loseConnection = _do_nothing

    def abort_connections(self) -> None:
        """Abort every open connection, as a crash would."""
        channels, self.channels = self.channels, set()
        for channel in channels:
            # A closed channel keeps its transport, which can't be aborted again.
            if channel.transport is not None and channel.transport.connected:
                channel.transport.abortConnection()


def _do_nothing(*args: Any) -> None:
    return None
