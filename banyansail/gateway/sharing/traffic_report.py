"""Traffic report of this router, and use of what the others reported."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.traffic.report import NO_WORK, TrafficReport, UpstreamWork

if TYPE_CHECKING:
    from banyansail.gateway.context import GatewayContext
    from banyansail.gateway.decisions.limits.quota import QuotaLimiter
    from banyansail.traffic.fleet_traffic import FleetTraffic

OTHERS = "others"  # as a peer of the quotas: all other routers together
ONLY_INCARNATION = 1  # the sum over the others goes on when any of them restarts


def make_report(
    context: GatewayContext, *, is_unfit_for_duties: bool, holds_duties: bool
) -> TrafficReport:
    """Return this router's current traffic."""
    services = context.dispatcher.service_by_name
    work = {
        load.upstream.id: UpstreamWork(
            load.in_flight, max(0, load.pending_prefill_tokens)
        )
        for state in services.values()
        for load in state.load_by_id.values()
        if load.in_flight
    }
    return TrafficReport(
        dict(context.quota.used_by_workspace),
        {name: state.prefill_tokens_total for name, state in services.items()},
        work,
        dict(context.moves.own_tallies),
        is_unfit_for_duties,
        context.quota.has_urgent_use,
        holds_duties,
        context.limits.own_limits(),
        speeds=context.speeds.own_speeds(),
        assigned_by_name=context.dispatcher.fair.assigned_by_name(services),
        rejected_by_workspace=dict(context.quota.rejected_by_workspace),
    )


def apply_fleet_traffic(context: GatewayContext) -> None:
    """Use a new sum of the other routers' traffic in quotas, moves and choices."""
    fleet = context.fleet
    apply_quota_use(context.quota, fleet)
    context.moves.set_fleet_tallies(fleet.tallies)
    context.limits.update()
    context.speeds.update()
    apply_fleet_work(context)
    context.speeds.record_peer_demand()
    context.dispatcher.record_fleet(fleet.fleet_size(), fleet.assigned_by_name())


def apply_quota_use(quota: QuotaLimiter, fleet: FleetTraffic) -> None:
    """Charge the quotas for what the other routers were heard to use."""
    quota.merge_peer_use(
        OTHERS,
        ONLY_INCARNATION,
        fleet.used_by_workspace(),
        fleet.rejected_by_workspace(),
        routers=fleet.others(),
        silent_routers=fleet.silent_others(),
    )


def apply_fleet_work(context: GatewayContext) -> None:
    """Use the other routers' load of upstreams; it is 0 if none was heard recently."""
    work_by_upstream = context.fleet.work_by_upstream()
    for state in context.dispatcher.service_by_name.values():
        for load in state.load_by_id.values():
            work = work_by_upstream.get(load.upstream.id, NO_WORK)
            load.peer_in_flight = work.running
            load.peer_pending_prefill_tokens = work.pending_prefill_tokens
