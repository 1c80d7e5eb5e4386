"""Use of the speeds of upstreams that this router and the others measured."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.gateway.decisions.upstreams.speed import FleetSpeeds

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.gateway.decisions.queue.dispatch import Dispatcher
    from banyansail.traffic.fleet_traffic import FleetTraffic
    from banyansail.traffic.speed_evidence import SpeedEvidence

# The last sampled upstreams that a report names, so that an aggregator of a large data
# centre decodes a bounded number each interval.
MAX_REPORTED = 32


class SpeedSharing:
    """Tells other routers the measured speeds, and applies those of the fleet.

    Parameters
    ----------
    clock : Clock
        Source of time.
    dispatcher : Dispatcher
        Has the load of each upstream.
    fleet : FleetTraffic
        Speeds that all routers measured.
    is_active : bool
        Whether the settings ask for it; else all speeds stay 1.
    """

    def __init__(
        self,
        clock: Clock,
        dispatcher: Dispatcher,
        fleet: FleetTraffic,
        *,
        is_active: bool,
    ) -> None:
        self._clock = clock
        self._dispatcher = dispatcher
        self._fleet = fleet
        self._is_active = is_active
        dispatcher.is_uneven = is_active

    def record_peer_demand(self) -> None:
        """Use a new sum of the work that the other routers assigned."""
        now = self._clock.monotonic()
        for name, state in self._dispatcher.service_by_name.items():
            peers = state.demand.peers
            tokens = self._fleet.prefill_tokens_total(name)
            if tokens:
                peers.record_total(tokens / state.prefill_rate.tokens_per_ms, now)
                continue
            # Plain requests are not counted; those in flight are replaced once in the
            # time that each takes, and each one lengthens others by a slot's part.
            loads = state.load_by_id.values()
            busy = sum(load.peer_in_flight / load.upstream.slots for load in loads)
            peers.record_rate(busy, now)

    def own_speeds(self) -> dict[str, SpeedEvidence]:
        """Return the speeds that this router measured last, by incarnation."""
        if not self._is_active:
            return {}
        now = self._clock.monotonic()
        measured = [
            (load.upstream.incarnation_name, evidence)
            for load in self._dispatcher.loads()
            if (evidence := load.speed_estimate.lasting(now)) is not None
        ]
        measured.sort(key=lambda item: item[1].age)
        return dict(measured[:MAX_REPORTED])

    def update(self) -> None:
        """Set the speed of each upstream from the evidence of all routers."""
        if not self._is_active:
            return
        now = self._clock.monotonic()
        fleet_speeds = self._fleet.speeds()
        for state in self._dispatcher.service_by_name.values():
            load_by_name = {
                load.upstream.incarnation_name: load
                for load in state.load_by_id.values()
            }
            own = {name: load.speed_estimate for name, load in load_by_name.items()}
            speeds = FleetSpeeds(own, fleet_speeds, now)
            for name, load in load_by_name.items():
                load.speed = speeds.speed(name)
                load.speed_evidence = speeds.evidence(name)
