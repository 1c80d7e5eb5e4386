"""Starts stand-ins in this process."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import reactor
from twisted.internet.interfaces import IListeningPort

from banyansail.config.fields import Address
from banyansail.standins.engine import EngineStandin
from banyansail.standins.engine_state import EngineOptions, EngineState
from banyansail.standins.platform import PlatformStandin
from banyansail.standins.platform_state import PlatformState
from banyansail.standins.service import ServiceStandin, ServiceState
from banyansail.standins.store import StoreStandin
from banyansail.standins.web import StandinResource, TrackingSite

LISTEN_BACKLOG = 512


class RunningStandin:
    """A stand-in that listens on a port.

    Parameters
    ----------
    resource : StandinResource
        HTTP resource that answers.
    site : TrackingSite
        HTTP site, which tracks the connections.
    """

    __slots__ = ("address", "port", "resource", "site")

    def __init__(self, resource: StandinResource, site: TrackingSite) -> None:
        self.resource = resource
        self.site = site
        self.port: IListeningPort | None = None
        self.address = Address("127.0.0.1", 0)

    def listen(self, address: Address) -> None:
        """Listen on an address; with port 0 the system chooses the port."""
        self.port = reactor.listenTCP(
            address.port, self.site, backlog=LISTEN_BACKLOG, interface=address.host
        )
        self.address = Address(address.host, self.port.getHost().port)

    def kill(self) -> None:
        """Stop listening and abort every connection, as a crash would."""
        if self.port is not None:
            self.port.stopListening()
            self.port = None
        self.site.abort_connections()

    def __enter__(self) -> RunningStandin:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.kill()


def start_platform(
    address: Address, state: PlatformState | None = None
) -> RunningStandin:
    """Start a stand-in for the platform."""
    resource = PlatformStandin(state or PlatformState())
    return start_standin(resource, address)


def start_store(address: Address) -> RunningStandin:
    """Start a stand-in for the platform's store and cloud API."""
    return start_standin(StoreStandin(), address)


def start_engine(
    address: Address,
    options: EngineOptions | None = None,
    crash: Callable[[], None] | None = None,
) -> RunningStandin:
    """Start a model engine; by default, a crash kills it."""
    state = EngineState(options or EngineOptions())
    resource = EngineStandin(state, lambda: None, reactor)
    return _start_with_crash_handler(resource, address, crash)


def start_service(
    address: Address,
    state: ServiceState | None = None,
    crash: Callable[[], None] | None = None,
) -> RunningStandin:
    """Start a plain service; by default, a crash kills it."""
    resource = ServiceStandin(state or ServiceState(), lambda: None, reactor)
    return _start_with_crash_handler(resource, address, crash)


def _start_with_crash_handler(
    resource: Any, address: Address, crash: Callable[[], None] | None
) -> RunningStandin:
    standin = start_standin(resource, address)
    resource._crash = crash or standin.kill
    resource.site = standin.site
    return standin


def start_standin(resource: StandinResource, address: Address) -> RunningStandin:
    """Start a stand-in at an address."""
    standin = RunningStandin(resource, TrackingSite(resource))
    standin.listen(address)
    return standin
