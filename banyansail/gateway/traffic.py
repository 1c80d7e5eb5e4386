"""Traffic reports between gateways: encoding and merging."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.wire.traffic_codec import Traffic, UpstreamWork, encode_traffic

if TYPE_CHECKING:
    from banyansail.fleet.entries import Entry
    from banyansail.gateway.context import GatewayContext

MAX_PUBLISHED_WINDOWS = 3  # most recent usage windows in a report


def encode_own_traffic(context: GatewayContext, *, is_unfit_for_duties: bool) -> bytes:
    """Encode this router's traffic report."""
    services = context.dispatcher.service_by_name
    work = {
        load.upstream.id: UpstreamWork(
            load.in_flight, max(0, load.pending_prefill_tokens)
        )
        for state in services.values()
        for load in state.load_by_id.values()
        if load.in_flight
    }
    counts = context.usage.own_counts
    traffic = Traffic(
        dict(context.quota.used_by_workspace),
        {window: counts[window] for window in sorted(counts)[-MAX_PUBLISHED_WINDOWS:]},
        work,
        {name: state.prefill_tokens_total for name, state in services.items()},
        dict(context.moves.own_tallies),
        is_unfit_for_duties,
    )
    return encode_traffic(traffic)


def merge_traffic(context: GatewayContext, entries: list[Entry]) -> None:
    """Merge the traffic reports in newly received gossip entries."""
    for entry in entries:
        traffic = context.peers.merge(entry)
        if traffic is None:
            continue
        process = f"{entry.origin}.{entry.incarnation}"
        context.quota.merge_peer_use(
            entry.origin, entry.incarnation, traffic.used_by_workspace
        )
        context.usage.merge_peer_counts(process, traffic.request_counts_by_window)
        context.moves.merge_peer_tallies(process, traffic.tallies)
    work = context.peers.work_by_upstream()
    for state in context.dispatcher.service_by_name.values():
        for load in state.load_by_id.values():
            load.peer_in_flight, load.peer_pending_prefill_tokens = work.get(
                load.upstream.id, (0, 0)
            )
