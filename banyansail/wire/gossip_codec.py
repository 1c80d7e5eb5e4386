"""Codec of gossip datagrams and of the values in their entries."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import UTC, datetime, timedelta
from typing import Any

from banyansail.config.fields import Address
from banyansail.exceptions import WireError
from banyansail.fleet.entries import (
    Digest,
    Entry,
    EvacuationMark,
    Feature,
    Gossip,
    Member,
    Topic,
)
from banyansail.rollout.evidence import (
    LATENCY_BUCKETS,
    Evidence,
    EvidenceCell,
    EvidenceKey,
)
from banyansail.routing.crash_history import UpstreamCrash
from banyansail.routing.crash_reports import CrashReport
from banyansail.wire.errors import raise_as_wire_error
from banyansail.wire.schema import schema

MILLISECOND = timedelta(milliseconds=1)
MAX_AGE_MS = 2**32 - 1
MAX_PACKED_BYTES = 64 * 1024
KNOWN_TOPICS = frozenset(Topic)


def unpack(struct: Any, data: bytes) -> Any:
    """Decode a packed struct.

    Raises
    ------
    WireError
        If the bytes are not such a struct.
    """
    if len(data) > MAX_PACKED_BYTES:
        raise WireError(f"{len(data)} bytes exceed the limit of {MAX_PACKED_BYTES}")
    with raise_as_wire_error("a packed struct"):
        return struct.from_bytes_packed(data)


def encode_gossip(gossip: Gossip) -> bytes:
    """Encode a datagram."""
    message = schema.Datagram.new_message(
        origin=gossip.origin,
        zone=gossip.zone,
        step=gossip.step,
        entries=[
            {
                "origin": entry.origin,
                "incarnation": entry.incarnation,
                "topic": int(entry.topic),
                "sequence": entry.sequence,
                "value": entry.value,
            }
            for entry in gossip.entries
        ],
        digests=[
            {
                "origin": digest.origin,
                "incarnation": digest.incarnation,
                "heartbeat": digest.heartbeat,
                "ageMs": min(MAX_AGE_MS, digest.age // MILLISECOND),
                "sequences": list(digest.sequences),
            }
            for digest in gossip.digests
        ],
    )
    return message.to_bytes_packed()


@raise_as_wire_error("a datagram")
def decode_gossip(data: bytes) -> Gossip:
    """Decode a datagram; entries of unknown topics are skipped.

    Raises
    ------
    WireError
        If the bytes are not a datagram.
    """
    message = unpack(schema.Datagram, data)
    entries = tuple(
        _decode_entry(item) for item in message.entries if item.topic in KNOWN_TOPICS
    )
    return Gossip(
        message.origin,
        message.zone,
        entries,
        tuple(_decode_digest(item) for item in message.digests),
        message.step,
        len(message.entries) - len(entries),
    )


def _decode_entry(item: Any) -> Entry:
    return Entry(
        item.origin,
        item.incarnation,
        Topic(item.topic),
        item.sequence,
        bytes(item.value),
    )


def _decode_digest(item: Any) -> Digest:
    return Digest(
        item.origin,
        item.incarnation,
        item.heartbeat,
        item.ageMs * MILLISECOND,
        tuple(item.sequences),
    )


def encode_member(member: Member) -> bytes:
    """Encode a value of `Topic.MEMBER`."""
    message = schema.Member.new_message(
        zone=member.zone,
        region=member.region,
        host=member.peer.host,
        port=member.peer.port,
        rulesVersion=member.rules_version,
        rulesSinceMs=int(member.rules_since.timestamp() * 1000),
        isReady=member.is_ready,
        isLeaving=member.is_leaving,
        storeEra=member.store_era,
        relayPort=member.relay_port,
        isCutOff=member.is_cut_off,
        features=int(member.features),
        evacuations=[
            {
                "zone": mark.zone,
                "era": mark.era,
                "revision": mark.revision,
                "isInForce": mark.is_in_force,
            }
            for mark in member.evacuations
        ],
    )
    return message.to_bytes_packed()


@raise_as_wire_error("a member")
def decode_member(data: bytes) -> Member:
    """Decode a value of `Topic.MEMBER`."""
    message = unpack(schema.Member, data)
    return Member(
        message.zone,
        message.region,
        Address(message.host, message.port),
        message.rulesVersion,
        datetime.fromtimestamp(message.rulesSinceMs / 1000, UTC),
        message.isReady,
        message.isLeaving,
        message.storeEra,
        message.relayPort,
        message.isCutOff,
        Feature(message.features),
        evacuations=tuple(
            EvacuationMark(mark.zone, mark.era, mark.revision, mark.isInForce)
            for mark in message.evacuations
        ),
    )


def encode_names(names: Iterable[str]) -> bytes:
    """Encode a value of `Topic.STATEMENTS`: each name is a state and a move."""
    return schema.Names.new_message(names=sorted(names)).to_bytes_packed()


@raise_as_wire_error("names")
def decode_names(data: bytes) -> set[str]:
    """Decode a value of `Topic.STATEMENTS`."""
    return set(unpack(schema.Names, data).names)


def encode_leaving(remaining_by_instance: dict[str, timedelta]) -> bytes:
    """Encode a value of `Topic.LEAVING`: the remaining time of each instance."""
    notices = [
        {
            "instance": name,
            "noticeMs": max(0, min(MAX_AGE_MS, remaining // MILLISECOND)),
        }
        for name, remaining in sorted(remaining_by_instance.items())
    ]
    return schema.LeavingMarks.new_message(marks=notices).to_bytes_packed()


@raise_as_wire_error("leaving marks")
def decode_leaving(data: bytes) -> dict[str, timedelta]:
    """Decode a value of `Topic.LEAVING`."""
    notices = unpack(schema.LeavingMarks, data).marks
    return {item.instance: item.noticeMs * MILLISECOND for item in notices}


def encode_loads(in_flight_by_upstream: dict[str, int]) -> bytes:
    """Encode a value of `Topic.LOADS`."""
    loads = [
        {"upstream": name, "inFlight": count}
        for name, count in sorted(in_flight_by_upstream.items())
    ]
    return schema.Loads.new_message(loads=loads).to_bytes_packed()


@raise_as_wire_error("loads")
def decode_loads(data: bytes) -> dict[str, int]:
    """Decode a value of `Topic.LOADS`."""
    return {item.upstream: item.inFlight for item in unpack(schema.Loads, data).loads}


def encode_crashes(report: CrashReport) -> bytes:
    """Encode a value of `Topic.DEATHS`."""
    deaths = [
        {
            "upstream": crash.upstream,
            "zone": crash.zone,
            "fingerprints": sorted(crash.fingerprints),
            "parts": sorted(crash.parts),
            "id": crash.id,
            "ageMs": age_ms(crash.age),
        }
        for crash in report.crashes
    ]
    cleared = [
        {"subject": subject, "ageMs": age_ms(age)}
        for subject, age in report.age_by_cleared_subject.items()
    ]
    message = schema.Deaths.new_message(deaths=deaths, cleared=cleared)
    return message.to_bytes_packed()


@raise_as_wire_error("crashes")
def decode_crashes(data: bytes) -> CrashReport:
    """Decode a value of `Topic.DEATHS`."""
    message = unpack(schema.Deaths, data)
    crashes = tuple(
        UpstreamCrash(
            item.upstream,
            item.zone,
            fingerprints=frozenset(item.fingerprints),
            parts=frozenset(item.parts),
            id=item.id,
            age=item.ageMs * MILLISECOND,
        )
        for item in message.deaths
    )
    cleared = {item.subject: item.ageMs * MILLISECOND for item in message.cleared}
    return CrashReport(crashes, cleared)


def age_ms(age: timedelta) -> int:
    """Return an age as it is sent, in milliseconds."""
    return min(age // MILLISECOND, MAX_AGE_MS)


def encode_evidence(evidence: Evidence, zone: str = "") -> bytes:
    """Encode a value of `Topic.EVIDENCE`, or of `Topic.ZONE_EVIDENCE` with a zone."""
    cells = [
        {
            "service": key.service,
            "version": key.version,
            "route": key.route,
            "workspace": key.workspace,
            "loadBand": key.load_band,
            "move": key.move_number,
            "good": cell.answered,
            "failed": cell.failed,
            "latencies": list(cell.latencies),
        }
        for key, cell in evidence.items()
    ]
    return schema.Evidence.new_message(cells=cells, zone=zone).to_bytes_packed()


@raise_as_wire_error("evidence")
def decode_evidence(data: bytes) -> Evidence:
    """Decode a value of `Topic.EVIDENCE`."""
    return _decode_cells(unpack(schema.Evidence, data))


@raise_as_wire_error("evidence of a zone")
def decode_zone_evidence(data: bytes) -> tuple[str, Evidence]:
    """Decode a value of `Topic.ZONE_EVIDENCE`: the zone and its evidence."""
    message = unpack(schema.Evidence, data)
    return message.zone, _decode_cells(message)


def _decode_cells(message: Any) -> Evidence:
    decoded = {}
    for item in message.cells:
        key = EvidenceKey(
            item.service,
            item.version,
            item.route,
            item.workspace,
            item.loadBand,
            item.move,
        )
        latencies = _decode_latencies(item.latencies)
        decoded[key] = EvidenceCell(item.good, item.failed, latencies)
    return decoded


def _decode_latencies(counts: Iterable[int]) -> list[int]:
    """Return counts by bucket; the last one has those of further buckets.

    Another build may have fewer buckets or more.
    """
    known = list(counts)
    latencies = known[:LATENCY_BUCKETS]
    latencies += [0] * (LATENCY_BUCKETS - len(latencies))
    latencies[-1] += sum(known[LATENCY_BUCKETS:])
    return latencies
