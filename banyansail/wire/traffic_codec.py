"""Codec of the traffic counters that gateways gossip."""

from __future__ import annotations

from dataclasses import dataclass, field

from banyansail.gateway.moves import Tally
from banyansail.wire.gossip_codec import unpack
from banyansail.wire.schema import schema


@dataclass(slots=True, frozen=True)
class UpstreamWork:
    """Load that one router has at an upstream.

    Parameters
    ----------
    running : int
        Requests in flight.
    pending_prefill_tokens : int
        Prompt tokens of requests that have no first token yet.
    """

    running: int
    pending_prefill_tokens: int


@dataclass(slots=True, frozen=True)
class Traffic:
    """Traffic counters of one router process.

    Parameters
    ----------
    used_by_workspace : dict
        Quota units used since the process started.
    request_counts_by_window : dict
        Requests that started to run, by window and workspace.
    work_by_upstream : dict
        Load in flight.
    prefill_tokens_by_service : dict
        Prompt tokens sent to engines for prefill since the process started.
    tallies : dict
        Answers by service, move and whether the version is the move's target.
    is_unfit_for_duties : bool
        Whether the router is draining or can't reach the store.
    """

    used_by_workspace: dict[str, float] = field(default_factory=dict)
    request_counts_by_window: dict[int, dict[str, int]] = field(default_factory=dict)
    work_by_upstream: dict[str, UpstreamWork] = field(default_factory=dict)
    prefill_tokens_by_service: dict[str, float] = field(default_factory=dict)
    tallies: dict[tuple[str, int, bool], Tally] = field(default_factory=dict)
    is_unfit_for_duties: bool = False


def encode_traffic(traffic: Traffic) -> bytes:
    """Encode a value of `Topic.TRAFFIC`."""
    message = schema.Traffic.new_message(
        used=[
            {"workspace": name, "total": total}
            for name, total in sorted(traffic.used_by_workspace.items())
        ],
        windows=[
            {"window": window, "workspace": name, "began": count}
            for window, count_by_name in sorted(
                traffic.request_counts_by_window.items()
            )
            for name, count in sorted(count_by_name.items())
        ],
        loads=[
            {
                "upstream": name,
                "running": work.running,
                "reading": work.pending_prefill_tokens,
            }
            for name, work in sorted(traffic.work_by_upstream.items())
        ],
        read=[
            {"service": name, "total": total}
            for name, total in sorted(traffic.prefill_tokens_by_service.items())
        ],
        tallies=[
            {
                "service": service,
                "move": move,
                "isTarget": is_target,
                "good": tally.good,
                "bad": tally.bad,
            }
            for (service, move, is_target), tally in sorted(traffic.tallies.items())
        ],
        isUnfitForDuties=traffic.is_unfit_for_duties,
    )
    return message.to_bytes_packed()


def decode_traffic(data: bytes) -> Traffic:
    """Decode a value of `Topic.TRAFFIC`.

    Raises
    ------
    WireError
        If the bytes are not such a value.
    """
    message = unpack(schema.Traffic, data)
    request_counts_by_window: dict[int, dict[str, int]] = {}
    for item in message.windows:
        request_counts_by_window.setdefault(item.window, {})[item.workspace] = (
            item.began
        )
    return Traffic(
        {item.workspace: item.total for item in message.used},
        request_counts_by_window,
        {
            item.upstream: UpstreamWork(item.running, item.reading)
            for item in message.loads
        },
        {item.service: item.total for item in message.read},
        {
            (item.service, item.move, item.isTarget): Tally(item.good, item.bad)
            for item in message.tallies
        },
        message.isUnfitForDuties,
    )
