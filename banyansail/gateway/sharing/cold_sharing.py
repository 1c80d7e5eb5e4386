"""Use of the allowances of cold upstreams: this router's parts, and what is logged."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.gateway.decisions.limits.cold_share import (
    ColdBound,
    FleetObserver,
    part_of,
)
from banyansail.log import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from datetime import timedelta

    from banyansail.config.gateway_settings import GatewaySettings
    from banyansail.fleet.entries import Member
    from banyansail.gateway.decisions.limits.cold_share import FleetParts
    from banyansail.gateway.decisions.upstreams.upstream_load import UpstreamLoad
    from banyansail.traffic.fleet_traffic import FleetTraffic

MAX_PARTS = 4096  # that are kept; those of ended upstreams are dropped with the rest


class ColdSharing:
    """Keeps this router to its part of the allowances of cold upstreams.

    Parameters
    ----------
    settings : GatewaySettings
        Name of this router, the bound, and how many routers there were at first.
    fleet : FleetTraffic
        Tells how many routers were heard of in the last seconds.
    live_members, known_routers : callable
        Return the live routers by name, and the names of all that were ever known.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        fleet: FleetTraffic,
        live_members: Callable[[], dict[str, Member]],
        known_routers: Callable[[], Iterable[str]],
    ) -> None:
        self._name = settings.name
        self._bound = ColdBound(settings.cold_over, settings.cold_slack)
        self._seed_count = len(settings.seeds)
        self._fleet = fleet
        self._live_members = live_members
        self._known_routers = known_routers
        self._observer = FleetObserver()
        # Parts by upstream, and the routers that they were computed for.
        self._divided_among: FleetParts | None = None
        self._part_by_upstream: dict[tuple[str, float], int] = {}

    def update(self, loads: list[UpstreamLoad], now: timedelta) -> None:
        """Divide the allowances of the cold upstreams anew."""
        fleet = self._observe(now)
        if fleet != self._divided_among or len(self._part_by_upstream) > MAX_PARTS:
            self._divided_among = fleet
            self._part_by_upstream.clear()
        for load in loads:
            if load.cold.per_s:
                self._log_change(load, now)
                if load.cold.left(now):
                    part = 0 if fleet is None else self._part(load, fleet)
                    load.cold.set_part(part, now)

    def _observe(self, now: timedelta) -> FleetParts | None:
        """Return the routers that share; ``None`` if this one sends nothing."""
        sending = [
            name
            for name, member in self._live_members().items()
            if member.is_ready and not member.is_leaving
        ]
        known = list(self._known_routers())
        # Seeds may be stale, so they count only until another router is known.
        expected = self._seed_count if len(known) == 1 else self._fleet.fleet_size()
        fleet = self._observer.observe(
            sending,
            known,
            heard=self._fleet.fleet_size() - self._fleet.silent_others(),
            expected=expected,
            now=now,
        )
        return fleet if self._name in sending else None

    def _part(self, load: UpstreamLoad, fleet: FleetParts) -> int:
        key = load.upstream.incarnation_name, load.cold.per_s
        part = self._part_by_upstream.get(key)
        if part is None:
            part = part_of(key[0], self._name, load.cold.per_s, self._bound, fleet)
            self._part_by_upstream[key] = part
        return part

    def _log_change(self, load: UpstreamLoad, now: timedelta) -> None:
        left = load.cold.left(now)
        if bool(left) is load.cold.is_logged:
            return
        load.cold.is_logged = bool(left)
        if left:
            log_event(
                "upstream_cold",
                upstream=load.upstream.id,
                seconds=left.total_seconds(),
                per_s=load.cold.per_s,
            )
        else:
            log_event("upstream_warm", upstream=load.upstream.id)
