"""Use of what upstreams in need say: limits, and that they bear few rejections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.gateway.decisions.limits.sharers import has_majority
from banyansail.gateway.decisions.limits.slot_share import divide_slots
from banyansail.log import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Collection
    from datetime import timedelta

    from banyansail.clock import Clock
    from banyansail.fleet.entries import Member
    from banyansail.gateway.decisions.queue.dispatch import Dispatcher
    from banyansail.gateway.decisions.upstreams.upstream_load import UpstreamLoad
    from banyansail.gateway.request_types import ReplyHead
    from banyansail.gateway.sharing.cold_sharing import ColdSharing
    from banyansail.traffic.fleet_traffic import FleetTraffic
    from banyansail.traffic.report import NamedLimit


class LimitSharing:
    """Keeps this router to its part of upstreams' limits and of brittle ones' slots.

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
    cold : ColdSharing
        Divides the allowances of cold upstreams.
    known_routers : callable
        Returns the names of all routers that there may be.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        dispatcher: Dispatcher,
        fleet: FleetTraffic,
        live_members: Callable[[], dict[str, Member]],
        cold: ColdSharing,
        known_routers: Callable[[], Collection[str]],
    ) -> None:
        self._name = name
        self._clock = clock
        self._dispatcher = dispatcher
        self._fleet = fleet
        self._live_members = live_members
        self._cold = cold
        self._known_routers = known_routers

    def record_answer(self, load: UpstreamLoad, head: ReplyHead) -> None:
        """Apply what an answer says of its upstream's limit and brittleness."""
        now = self._clock.monotonic()
        if head.cold_left is not None:
            load.cold.record_answer(head.cold_left, now)
            self._cold.update([load], now)
        is_changed = load.limit.record_answer(head.limit, now)
        if is_changed:
            self._log_change(load)
        state = self._dispatcher.state(load.upstream.service)
        if head.is_brittle is not state.is_brittle:
            state.is_brittle = head.is_brittle
            log_event(
                "brittle_changed",
                service=load.upstream.service,
                is_brittle=head.is_brittle,
            )
            is_changed = True
        if is_changed:
            self._share(self._dispatcher.loads())

    def update(self) -> None:
        """Apply what other routers were told, and divide the limits anew."""
        now = self._clock.monotonic()
        named_by_upstream = self._fleet.limits()
        loads = self._dispatcher.loads()
        if named_by_upstream:
            self._merge(named_by_upstream, loads, now)
        if self._fleet.has_traffic:
            self._dispatcher.record_traffic()
        self._cold.update(loads, now)
        self._share(loads)

    def _merge(
        self,
        named_by_upstream: dict[str, NamedLimit],
        loads: list[UpstreamLoad],
        now: timedelta,
    ) -> None:
        for load in loads:
            named = named_by_upstream.get(load.upstream.incarnation_name)
            if named is not None and load.limit.merge(named, now):
                self._log_change(load)

    def own_limits(self) -> dict[str, NamedLimit]:
        """Return the limits that this router was told, by upstream's incarnation."""
        now = self._clock.monotonic()
        return {
            load.upstream.incarnation_name: report
            for load in self._dispatcher.loads()
            if (report := load.limit.report(now)) is not None
        }

    def _share(self, loads: list[UpstreamLoad]) -> None:
        for state in self._dispatcher.service_by_name.values():
            for load in state.load_by_id.values():
                load.is_brittle = state.is_brittle
        limited = [load for load in loads if load.limit.per_s is not None]
        brittle = [load for load in loads if load.is_brittle]
        if not (limited or brittle):
            return
        now = self._clock.monotonic()
        routers = [
            name
            for name, member in self._live_members().items()
            if name == self._name or (member.is_ready and not member.is_leaving)
        ]
        known = self._known_routers()
        for load in limited:
            upstream = load.upstream.incarnation_name
            load.limit.share_among(upstream, self._name, routers, now, len(known))
        if not has_majority(len(routers), len(known)):
            routers = sorted({*known, self._name})
        self._share_slots(brittle, routers)

    def _share_slots(self, brittle: list[UpstreamLoad], routers: list[str]) -> None:
        for service in {load.upstream.service for load in brittle}:
            load_by_name = {
                load.upstream.incarnation_name: load
                for load in brittle
                if load.upstream.service == service
            }
            slots = {name: load.upstream.slots for name, load in load_by_name.items()}
            for name, part in divide_slots(slots, self._name, routers).items():
                load_by_name[name].slot_part = part

    def _log_change(self, load: UpstreamLoad) -> None:
        log_event("upstream_limit", upstream=load.upstream.id, per_s=load.limit.per_s)
