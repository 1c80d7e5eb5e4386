"""Stand-ins and routers in one process, on loopback."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING, Any

from banyansail.clock import Clock, SystemClock
from banyansail.config.fields import Address
from banyansail.config.rule_store import apply_rules
from banyansail.config.settings import Settings
from banyansail.coordination.budget import CallBudget
from banyansail.coordination.client import PlatformClient
from banyansail.router.router import Router
from banyansail.standins.engine_state import EngineOptions
from banyansail.standins.platform_state import PlatformState
from banyansail.standins.server import (
    RunningStandin,
    start_engine,
    start_platform,
    start_service,
)
from banyansail.standins.service import ServiceState

if TYPE_CHECKING:
    from types import TracebackType

LOOPBACK = "127.0.0.1"
SHARED_KEY = "shared key of a site on loopback"
OPERATOR_CALLS_PER_S = 200.0


def find_free_port() -> int:
    """Return a loopback port that is free for both TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((LOOPBACK, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((LOOPBACK, port))
            except OSError:
                continue
            return port


@dataclass(slots=True)
class LocalUpstream:
    """An engine or service of the site.

    Parameters
    ----------
    rule_options : str
        Further options of its rule.
    """

    name: str
    service: str
    version: str
    zone: str
    standin: RunningStandin
    rule_options: str = ""

    @property
    def state(self) -> Any:
        """State of the stand-in, with its counters and fault switches."""
        return self.standin.resource.state

    def rule_line(self) -> str:
        """Return its line of the rules."""
        return (
            f"upstream {self.name} service={self.service} version={self.version} "
            f"address={self.standin.address} zone={self.zone} {self.rule_options}"
            "  # operator: part of the site"
        )

    def platform_entry(self, state: str = "live") -> dict[str, Any]:
        """Return its entry in the platform's list of instances."""
        return {
            "id": self.name,
            "service": self.service,
            "version": self.version,
            "address": str(self.standin.address),
            "zone": self.zone,
            "state": state,
        }


@dataclass(slots=True)
class LocalSite:
    """A platform with upstreams and routers, stopped at the end of the ``with`` block.

    Must be used in the reactor's thread.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    clock : Clock
        Clock of the routers.
    next_port : callable
        Returns a free loopback port for a router.
    """

    reactor: Any
    clock: Clock = field(default_factory=SystemClock)
    next_port: Callable[[], int] = find_free_port
    platform_state: PlatformState = field(default_factory=PlatformState)
    upstream_by_name: dict[str, LocalUpstream] = field(default_factory=dict)
    router_by_name: dict[str, Router] = field(default_factory=dict)
    platform: RunningStandin | None = None
    operator: PlatformClient | None = None
    applied_count: int = 0

    def __enter__(self) -> LocalSite:
        self.platform = start_platform(Address(LOOPBACK, 0), self.platform_state)
        budget = CallBudget(OPERATOR_CALLS_PER_S, OPERATOR_CALLS_PER_S, self.clock)
        self.operator = PlatformClient(self.reactor, self.platform.address, budget)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for router in self.router_by_name.values():
            if router.running:
                router.stopService()
        for upstream in self.upstream_by_name.values():
            upstream.standin.kill()
        self.operator.close()
        self.platform.kill()

    def add_engine(
        self,
        name: str,
        zone: str,
        options: EngineOptions | None = None,
        *,
        service: str = "advisor-llm",
        rule_options: str = "",
    ) -> LocalUpstream:
        """Start a model engine."""
        options = options or EngineOptions()
        options.name = name
        standin = start_engine(Address(LOOPBACK, 0), options)
        upstream = LocalUpstream(
            name, service, options.version, zone, standin, rule_options
        )
        self.upstream_by_name[name] = upstream
        return upstream

    def add_service(
        self,
        name: str,
        zone: str,
        state: ServiceState | None = None,
        *,
        service: str = "depot-app",
        version: str = "v1",
    ) -> LocalUpstream:
        """Start a replica of a plain service."""
        state = state or ServiceState(name)
        standin = start_service(Address(LOOPBACK, 0), state)
        upstream = LocalUpstream(name, service, version, zone, standin)
        self.upstream_by_name[name] = upstream
        return upstream

    def add_router(
        self,
        name: str,
        zone: str,
        region: str = "scotland",
        *,
        seed: int = 0,
        stop_notice: timedelta = timedelta(seconds=30),
    ) -> Router:
        """Start a router with the earlier ones as its seed peers."""
        settings = Settings(
            name=name,
            zone=zone,
            region=region,
            listen=Address(LOOPBACK, self.next_port()),
            peer=Address(LOOPBACK, self.next_port()),
            platform=self.platform.address,
            shared_key=SHARED_KEY,
            peers=tuple(item.settings.peer for item in self.router_by_name.values()),
            stop_notice=stop_notice,
        )
        router = Router(settings, self.reactor, self.clock, Random(f"{name}/{seed}"))
        self.router_by_name[name] = router
        router.startService()
        return router

    async def apply_rules(
        self, lines: list[str], by: str = "operator", expected: int | None = None
    ) -> int:
        """Apply rules, with those of the upstreams appended.

        Parameters
        ----------
        expected : int or None
            Version that the update replaces; ``None`` for the current one.
        """
        upstream_lines = [item.rule_line() for item in self.upstream_by_name.values()]
        self.applied_count += 1
        accepted = await apply_rules(
            self.operator,
            "\n".join([*lines, *upstream_lines]) + "\n",
            operator=by,
            update_id=f"{by}/{self.applied_count}",
            accepted_at=self.clock.now(),
            expected=expected,
        )
        return accepted.version
