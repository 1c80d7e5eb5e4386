"""Finds out why a connection to an upstream was lost or went silent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import defer

from banyansail.log import log_event
from banyansail.routing.quarantine import UpstreamCrash

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.router.registry import ExchangeRegistry
    from banyansail.routing.dispatch import Dispatcher
    from banyansail.routing.quarantine import Quarantine
    from banyansail.upstreams.upstream_clients import UpstreamClients


class HealthExaminer:
    """Probes upstreams over new connections and records deaths.

    Parameters
    ----------
    upstream_clients : UpstreamClients
        Connections to the upstreams.
    dispatcher : Dispatcher
        Keeps new work from suspects.
    quarantine : Quarantine
        Counts deaths by fingerprint.
    registry : ExchangeRegistry
        Knows what was in flight.
    on_death : callable
        Called with each death that was seen here first.
    """

    __slots__ = (
        "_dispatcher",
        "_examination_by_name",
        "_on_death",
        "_quarantine",
        "_registry",
        "_upstream_clients",
    )

    def __init__(
        self,
        upstream_clients: UpstreamClients,
        dispatcher: Dispatcher,
        quarantine: Quarantine,
        registry: ExchangeRegistry,
        on_death: Callable[[UpstreamCrash], None],
    ) -> None:
        self._upstream_clients = upstream_clients
        self._dispatcher = dispatcher
        self._quarantine = quarantine
        self._registry = registry
        self._on_death = on_death
        self._examination_by_name: dict[str, defer.Deferred[bool]] = {}

    async def is_alive(self, name: str) -> bool:
        """Tell whether an upstream answers; concurrent callers share one probe."""
        running = self._examination_by_name.get(name)
        if running is None:
            running = defer.Deferred.fromCoroutine(self._examine(name))
            if running.called:
                return await running
            self._examination_by_name[name] = running
            running.addBoth(self._forget, name)
        shared: defer.Deferred[bool] = defer.Deferred()
        running.addBoth(_share, shared)
        return await shared

    def _forget(self, result: object, name: str) -> object:
        del self._examination_by_name[name]
        return result

    async def _examine(self, name: str) -> bool:
        client = self._upstream_clients.get(name)
        if client is None:
            return False
        client.close_idle()
        self._dispatcher.mark_suspect(name)
        alive = await client.probe()
        log_event("probe", upstream=name, alive=alive)
        if alive:
            self._dispatcher.clear_suspect(name)
        else:
            self._record_death(name)
        return alive

    def _record_death(self, name: str) -> None:
        state = self._dispatcher.state_by_name.get(name)
        if state is None or state.is_leaving:
            return
        fingerprints = self._registry.lost_fingerprints(name)
        death = UpstreamCrash(name, state.rule.zone, frozenset(fingerprints))
        if self._quarantine.record_crash(death):
            self._on_death(death)


def _share(result: object, shared: defer.Deferred[bool]) -> object:
    if not shared.called:
        shared.callback(result)
    return result
