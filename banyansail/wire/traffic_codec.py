"""Codec of traffic reports, of their sums and of usage counts."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from banyansail.traffic.report import (
    NamedLimit,
    TrafficReport,
    TrafficSum,
    UpstreamWork,
)
from banyansail.traffic.speed_evidence import SpeedEvidence
from banyansail.traffic.tally import ALL_ROUTES, Tally, TallyKey
from banyansail.wire.errors import raise_as_wire_error
from banyansail.wire.gossip_codec import MILLISECOND, age_ms, unpack
from banyansail.wire.schema import schema

UsageCounts = dict[int, dict[str, int]]  # requests by window and workspace


def encode_report(report: TrafficReport) -> bytes:
    """Encode a value of `Topic.TRAFFIC`."""
    message = schema.TrafficReport.new_message(
        used=_counters(report.used_by_workspace),
        prefill=_counters(report.prefill_tokens_by_service),
        work=_work(report.work_by_upstream),
        tallies=_tallies(report.tallies),
        routeTallies=_route_tallies(report.tallies),
        isUnfitForDuties=report.is_unfit_for_duties,
        isUrgent=report.is_urgent,
        holdsDuties=report.holds_duties,
        limits=_limits(report.limits),
        speeds=_speeds(report.speeds),
        assigned=_counters(report.assigned_by_name),
        rejected=_counters(report.rejected_by_workspace),
    )
    return message.to_bytes_packed()


@raise_as_wire_error("a traffic report")
def decode_report(data: bytes) -> TrafficReport:
    """Decode a value of `Topic.TRAFFIC`.

    Raises
    ------
    WireError
        If the bytes are not such a value.
    """
    message = unpack(schema.TrafficReport, data)
    return TrafficReport(
        _decode_counters(message.used),
        _decode_counters(message.prefill),
        _decode_work(message.work),
        _decode_tallies(message),
        message.isUnfitForDuties,
        message.isUrgent,
        message.holdsDuties,
        _decode_limits(message.limits),
        speeds=_decode_speeds(message.speeds),
        assigned_by_name=_decode_counters(message.assigned),
        rejected_by_workspace=_decode_counters(message.rejected),
    )


def encode_sum(traffic_sum: TrafficSum, zone: str = "") -> bytes:
    """Encode a value of `Topic.FLEET_TRAFFIC`, or of `Topic.ZONE_TRAFFIC`."""
    message = schema.TrafficSum.new_message(
        used=_counters(traffic_sum.used_by_workspace),
        prefill=_counters(traffic_sum.prefill_tokens_by_service),
        work=_work(traffic_sum.work_by_upstream),
        tallies=_tallies(traffic_sum.tallies),
        routeTallies=_route_tallies(traffic_sum.tallies),
        zone=zone,
        routers=traffic_sum.routers,
        silentRouters=traffic_sum.silent_routers,
        dutyCandidates=list(traffic_sum.duty_candidates),
        dutyHolders=list(traffic_sum.duty_holders),
        included=[
            {"router": key, "sequence": sequence}
            for key, sequence in traffic_sum.sequence_by_router.items()
        ],
        isUrgent=traffic_sum.is_urgent,
        limits=_limits(traffic_sum.limits),
        speeds=_speeds(traffic_sum.speeds),
        assigned=_counters(traffic_sum.assigned_by_name),
        rejected=_counters(traffic_sum.rejected_by_workspace),
    )
    return message.to_bytes_packed()


@raise_as_wire_error("a traffic sum")
def decode_sum(data: bytes) -> tuple[str, TrafficSum]:
    """Decode a value of `Topic.FLEET_TRAFFIC` or `Topic.ZONE_TRAFFIC`.

    Returns
    -------
    zone : str
        Data centre of the routers in the sum; empty for the fleet.
    traffic_sum : TrafficSum
        The sum.

    Raises
    ------
    WireError
        If the bytes are not such a value.
    """
    message = unpack(schema.TrafficSum, data)
    return message.zone, TrafficSum(
        _decode_counters(message.used),
        _decode_counters(message.prefill),
        _decode_work(message.work),
        _decode_tallies(message),
        message.routers,
        message.silentRouters,
        tuple(message.dutyCandidates),
        tuple(message.dutyHolders),
        {item.router: item.sequence for item in message.included},
        message.isUrgent,
        _decode_limits(message.limits),
        speeds=_decode_speeds(message.speeds),
        assigned_by_name=_decode_counters(message.assigned),
        rejected_by_workspace=_decode_counters(message.rejected),
    )


def encode_usage(
    counts: UsageCounts, ended: Mapping[str, UsageCounts] | None = None
) -> bytes:
    """Encode a value of `Topic.USAGE`.

    Parameters
    ----------
    ended : mapping or None
        Counts of processes that have ended, by process.
    """
    processes = [
        {"process": process, "windows": _windows(item)}
        for process, item in sorted((ended or {}).items())
    ]
    message = schema.Usage.new_message(windows=_windows(counts), ended=processes)
    return message.to_bytes_packed()


@raise_as_wire_error("usage counts")
def decode_usage(data: bytes) -> UsageCounts:
    """Decode the counts of the router that sent a value of `Topic.USAGE`.

    Raises
    ------
    WireError
        If the bytes are not such a value.
    """
    return _decode_windows(unpack(schema.Usage, data).windows)


@raise_as_wire_error("usage counts of ended processes")
def decode_ended_usage(data: bytes) -> dict[str, UsageCounts]:
    """Decode the counts of ended processes in a value of `Topic.USAGE`.

    Raises
    ------
    WireError
        If the bytes are not such a value.
    """
    items = unpack(schema.Usage, data).ended
    return {item.process: _decode_windows(item.windows) for item in items}


def _windows(counts: UsageCounts) -> list[dict[str, Any]]:
    return [
        {"window": window, "workspace": name, "began": count}
        for window, count_by_name in sorted(counts.items())
        for name, count in sorted(count_by_name.items())
    ]


def _decode_windows(items: Any) -> UsageCounts:
    counts: UsageCounts = {}
    for item in items:
        counts.setdefault(item.window, {})[item.workspace] = item.began
    return counts


def _counters(total_by_name: dict[str, float]) -> list[dict[str, Any]]:
    return [{"name": name, "total": total} for name, total in total_by_name.items()]


def _decode_counters(items: Any) -> dict[str, float]:
    return {item.name: item.total for item in items}


def _work(work_by_upstream: dict[str, UpstreamWork]) -> list[dict[str, Any]]:
    return [
        {
            "upstream": name,
            "running": work.running,
            "prefill": work.pending_prefill_tokens,
        }
        for name, work in work_by_upstream.items()
    ]


def _decode_work(items: Any) -> dict[str, UpstreamWork]:
    return {item.upstream: UpstreamWork(item.running, item.prefill) for item in items}


def _limits(limits: dict[str, NamedLimit]) -> list[dict[str, Any]]:
    return [
        {
            "upstream": name,
            "isLimited": named.per_s is not None,
            "perS": named.per_s or 0.0,
            "ageMs": age_ms(named.age),
        }
        for name, named in limits.items()
    ]


def _decode_limits(items: Any) -> dict[str, NamedLimit]:
    return {
        item.upstream: NamedLimit(
            item.perS if item.isLimited else None, item.ageMs * MILLISECOND
        )
        for item in items
    }


def _speeds(speeds: dict[str, SpeedEvidence]) -> list[dict[str, Any]]:
    items = []
    for name, evidence in speeds.items():
        samples = round(evidence.samples)
        if samples:
            items.append(
                {
                    "upstream": name,
                    "samples": samples,
                    "logSum": evidence.mean_log * samples,
                    "ageMs": age_ms(evidence.age),
                }
            )
    return items


def _decode_speeds(items: Any) -> dict[str, SpeedEvidence]:
    return {
        item.upstream: SpeedEvidence(
            item.samples, item.logSum, item.ageMs * MILLISECOND
        )
        for item in items
        if math.isfinite(item.logSum)
    }


def _tallies(tallies: dict[TallyKey, Tally]) -> list[dict[str, Any]]:
    """Return the tallies of all routes, which older builds understand too."""
    return [
        _tally(key, tally) for key, tally in tallies.items() if key.route == ALL_ROUTES
    ]


def _route_tallies(tallies: dict[TallyKey, Tally]) -> list[dict[str, Any]]:
    return [
        {
            "tally": _tally(key, tally),
            "route": key.route,
            "isUnderLoad": key.is_under_load,
        }
        for key, tally in tallies.items()
        if key.route != ALL_ROUTES
    ]


def _tally(key: TallyKey, tally: Tally) -> dict[str, Any]:
    return {
        "service": key.service,
        "move": key.move,
        "isTarget": key.is_target,
        "good": tally.good,
        "bad": tally.bad,
        "failed": tally.failed,
    }


def _decode_tallies(message: Any) -> dict[TallyKey, Tally]:
    tallies = {_decode_key(item): _decode_tally(item) for item in message.tallies}
    for item in message.routeTallies:
        key = _decode_key(item.tally, item.route, item.isUnderLoad)
        tallies[key] = _decode_tally(item.tally)
    return tallies


def _decode_key(
    item: Any, route: str = ALL_ROUTES, is_under_load: bool = False
) -> TallyKey:
    return TallyKey(item.service, item.move, item.isTarget, route, is_under_load)


def _decode_tally(item: Any) -> Tally:
    return Tally(item.good, item.bad, item.failed)
