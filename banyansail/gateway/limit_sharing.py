"""Use of the limits that upstreams name, here and to other routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.log import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.clock import Clock
    from banyansail.fleet.entries import Member
    from banyansail.gateway.decisions.dispatch import Dispatcher
    from banyansail.gateway.decisions.upstream_load import UpstreamLoad
    from banyansail.traffic.fleet_traffic import FleetTraffic
    from banyansail.traffic.report import NamedLimit


class LimitSharing:
    """Keeps this router to its part of the upstreams' limits.

    Parameters
    ----------
    name : str
        Name of this router.
    clock : Clock
        Source of time.
    dispatcher : Dispatcher
        Has the load of each upstream.
    fleet : FleetTraffic
        Limits that other routers were told.
    live_members : callable
        Returns the live routers by name.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        dispatcher: Dispatcher,
        fleet: FleetTraffic,
        live_members: Callable[[], dict[str, Member]],
    ) -> None:
        self._name = name
        self._clock = clock
        self._dispatcher = dispatcher
        self._fleet = fleet
        self._live_members = live_members

    def record_answer(self, load: UpstreamLoad, per_s: float | None) -> None:
        """Apply the limit that an answer names, or that it names none."""
        if load.limit.record_answer(per_s, self._clock.monotonic()):
            self._log_change(load)
            self._share([load])

    def update(self) -> None:
        """Apply what other routers were told, and divide the limits anew."""
        now = self._clock.monotonic()
        named_by_upstream = self._fleet.limits()
        loads = self._dispatcher.loads()
        for load in loads:
            named = named_by_upstream.get(load.upstream.incarnation_name)
            if named is not None and load.limit.merge(named, now):
                self._log_change(load)
        self._share(loads)

    def own_limits(self) -> dict[str, NamedLimit]:
        """Return the limits that this router was told, by upstream's incarnation."""
        now = self._clock.monotonic()
        reports = (
            (load.upstream.incarnation_name, load.limit.report(now))
            for load in self._dispatcher.loads()
        )
        return {name: report for name, report in reports if report is not None}

    def _share(self, loads: list[UpstreamLoad]) -> None:
        limited = [load for load in loads if load.limit.per_s is not None]
        if not limited:
            return
        now = self._clock.monotonic()
        routers = [
            name
            for name, member in self._live_members().items()
            if name == self._name or (member.is_ready and not member.is_leaving)
        ]
        for load in limited:
            upstream = load.upstream.incarnation_name
            load.limit.share_among(upstream, self._name, routers, now)

    def _log_change(self, load: UpstreamLoad) -> None:
        log_event("upstream_limit", upstream=load.upstream.id, per_s=load.limit.per_s)
