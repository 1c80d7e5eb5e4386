"""Checks whether an upstream has crashed after a connection was lost or stalled."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import defer

from banyansail.log import log_event
from banyansail.routing.crash_history import UpstreamCrash

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.router.upstreams.registry import ExchangeRegistry
    from banyansail.routing.dispatch import Dispatcher
    from banyansail.routing.quarantine import Quarantine
    from banyansail.upstreams.upstream_clients import UpstreamClients


class HealthChecker:
    """Probes upstreams over new connections and records crashes.

    Parameters
    ----------
    upstream_clients : UpstreamClients
        Connections to the upstreams.
    dispatcher : Dispatcher
        Sends no new work to suspects.
    quarantine : Quarantine
        Counts crashes by fingerprint.
    registry : ExchangeRegistry
        Has the fingerprints of the requests in flight.
    on_crash : callable
        Called with each crash that was not known before.
    """

    __slots__ = (
        "_check_by_name",
        "_dispatcher",
        "_on_crash",
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
        on_crash: Callable[[UpstreamCrash], None],
    ) -> None:
        self._upstream_clients = upstream_clients
        self._dispatcher = dispatcher
        self._quarantine = quarantine
        self._registry = registry
        self._on_crash = on_crash
        self._check_by_name: dict[str, defer.Deferred[bool]] = {}

    async def is_alive(self, name: str) -> bool:
        """Return whether an upstream answers; concurrent callers share one probe."""
        check = self._check_by_name.get(name)
        if check is None:
            check = defer.Deferred.fromCoroutine(self._check(name))
            if check.called:
                return await check
            self._check_by_name[name] = check
            check.addBoth(self._remove_check, name)
        shared: defer.Deferred[bool] = defer.Deferred()
        check.addBoth(_copy_result, shared)
        return await shared

    def _remove_check(self, result: object, name: str) -> object:
        del self._check_by_name[name]
        return result

    async def _check(self, name: str) -> bool:
        """Mark an upstream suspect and probe it; without an answer, record a crash."""
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
            self._record_crash(name)
        return alive

    def _record_crash(self, name: str) -> None:
        state = self._dispatcher.state_by_name.get(name)
        if state is None or state.is_leaving:
            return
        fingerprints = self._registry.lost_fingerprints(name)
        crash = UpstreamCrash(name, state.rule.zone, frozenset(fingerprints))
        if self._quarantine.record_crash(crash):
            self._on_crash(crash)


def _copy_result(result: object, shared: defer.Deferred[bool]) -> object:
    if not shared.called:
        shared.callback(result)
    return result
