"""One sample of each message between routers, and of records that they store.

The module uses only what c1e6479 has, as that build encodes the recorded messages.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

from banyansail.config.fields import Address
from banyansail.fleet.entries import Digest, Entry, Gossip, Member, Topic
from banyansail.gateway.request_types import CallerCall
from banyansail.ledger import codec as ledger_codec
from banyansail.ledger.key_index import PageRef, Segment
from banyansail.ledger.records import (
    Finished,
    FinishKey,
    InFlight,
    KeyMismatch,
    KeyState,
    Record,
    Recorded,
    ReleaseKey,
    ShardFull,
    ShardHead,
    Started,
    StartKey,
    StoredAnswer,
)
from banyansail.platform import calls, moves
from banyansail.platform.store import Revision, StoredObject
from banyansail.rollout import status
from banyansail.rollout.evidence import EvidenceCell, EvidenceKey
from banyansail.routing.crash_history import UpstreamCrash
from banyansail.routing.crash_reports import CrashReport
from banyansail.traffic import tally as tally_module
from banyansail.traffic.report import (
    NamedLimit,
    TrafficReport,
    TrafficSum,
    UpstreamWork,
)
from banyansail.traffic.tally import Tally
from banyansail.wire import call_codec, gossip_codec, traffic_codec

try:
    from banyansail.gateway.moves.move import Move, MoveState
except ImportError:  # c1e6479
    from banyansail.gateway.duties.moves import Move, MoveState

# A tuple in c1e6479.
make_key = getattr(tally_module, "TallyKey", lambda *parts: parts)
SINCE = datetime(2026, 12, 3, 12, tzinfo=UTC)
SECOND = timedelta(seconds=1)
ANSWER = StoredAnswer(200, "application/json", '{"ok": true}')
STREAM = call_codec.StreamRecord("r-1", "engines", "clerks", b"{}", (b"id: 1", b"x"))
PEER = Address("10.0.0.1", 7600)
MEMBER = Member("glasgow", "scotland", PEER, 7, SINCE, True, False, 3, 7601, True)
EVIDENCE = {
    EvidenceKey("engines", "v2", "draft", "clerks", 1, 5): EvidenceCell(
        8, 2, list(range(32))
    )
}
CRASHES = CrashReport(
    (
        UpstreamCrash(
            "u1",
            "glasgow",
            fingerprints=frozenset({1, 2**64 - 1}),
            parts=frozenset({3}),
            id=2**63,
            age=SECOND,
        ),
    ),
    {9: 2 * SECOND},
)
REPORT = TrafficReport(
    used_by_workspace={"clerks": 12.5},
    prefill_tokens_by_service={"engines": 9000.0},
    work_by_upstream={"u1@1": UpstreamWork(3, 700)},
    tallies={make_key("engines", 5, True): Tally(9, 1)},
    is_unfit_for_duties=True,
    is_urgent=True,
    holds_duties=True,
    limits={"u1@1": NamedLimit(4.5, SECOND), "u2@1": NamedLimit(None, SECOND)},
)
SUM = TrafficSum(
    used_by_workspace={"clerks": 12.5},
    prefill_tokens_by_service={"engines": 9000.0},
    work_by_upstream={"u1@1": UpstreamWork(3, 700)},
    tallies={make_key("engines", 5, True): Tally(9, 1)},
    routers=4,
    silent_routers=1,
    duty_candidates=("front-1",),
    duty_holders=("front-2",),
    sequence_by_router={2**63: 17},
    is_urgent=True,
    limits={"u1@1": NamedLimit(4.5, SECOND)},
)
USAGE = {7: {"clerks": 3}, 8: {"clerks": 1, "drafts": 2}}
VALUE_BY_TOPIC = {
    Topic.MEMBER: gossip_codec.encode_member(MEMBER),
    Topic.LEAVING: gossip_codec.encode_leaving({"u1@1": SECOND}),
    Topic.LOADS: gossip_codec.encode_loads({"u1": 2}),
    Topic.DEATHS: gossip_codec.encode_crashes(CRASHES),
    Topic.EVIDENCE: gossip_codec.encode_evidence(EVIDENCE),
    Topic.STATEMENTS: gossip_codec.encode_names({"done m", "full m"}),
    Topic.ZONE_EVIDENCE: gossip_codec.encode_evidence(EVIDENCE, "glasgow"),
    Topic.TRAFFIC: traffic_codec.encode_report(REPORT),
    Topic.ZONE_TRAFFIC: traffic_codec.encode_sum(SUM, "glasgow"),
    Topic.FLEET_TRAFFIC: traffic_codec.encode_sum(SUM),
    Topic.USAGE: traffic_codec.encode_usage(USAGE),
}
DATAGRAM = Gossip(
    "front-1",
    "glasgow",
    tuple(
        Entry("front-1", 3, topic, number, value)
        for number, (topic, value) in enumerate(VALUE_BY_TOPIC.items(), 1)
    ),
    (Digest("front-1", 3, 9, SECOND, (1, 2, 4, 6, 7)),),
    0,
)
CALLS = {
    "start": StartKey("k", "a-1", 2**64 - 1),
    "finish": FinishKey("k", "a-1", ANSWER),
    "release": ReleaseKey("k", "a-1"),
    "fetch": call_codec.FetchDocument("config", 4),
    "keep-stream": call_codec.StoreStream(STREAM),
    "take-stream": call_codec.FetchStream("r-1"),
    "reach-upstream": call_codec.ReachUpstream("u1"),
}
REPLIES = {
    "started": Started(),
    "in-flight": InFlight("a-1"),
    "finished": Finished(ANSWER),
    "key-mismatch": KeyMismatch(),
    "shard-full": ShardFull(),
    "recorded": Recorded(),
    "unavailable": call_codec.Unavailable("no store"),
    "document": call_codec.Document(4, "{}"),
    "stream": STREAM,
    "nothing": call_codec.EmptyReply(),
    "reached": call_codec.Reached(),
    "not-reached": call_codec.NotReached(),
}
RELAYED = CallerCall(
    method=b"POST",
    target=b"/orders/1",
    host="shop.example",
    path="/orders/1",
    headers=[(b"host", b"shop.example"), (b"x-attempt-id", b"a-1")],
    body=b"order",
    attempt_id="a-1",
    key="key-of-clerks",
    timeout=None,
    last_event_id="",
    prompt=None,
    fingerprint=0,
)
HEAD = ShardHead(
    {"k": Record(KeyState.DONE, "a-1", 5, SINCE, ANSWER)},
    (Segment("s1", SINCE, (1, 2)),),
    (PageRef("p1", SINCE, 2),),
)
STATUS = status.MoveStatus("m", status.MoveState.REVERTED, SINCE, "bad", "r0")
MOVE = Move("engines", "v2", 12 * SECOND, 5, MoveState.RUNNING)


@dataclass(frozen=True)
class Sample:
    """A message, its encoder and decoder, and what it means."""

    file: str
    encode: Callable[[], bytes]
    decode: Callable[[bytes], Any]
    content: Any


def all_samples() -> list[Sample]:
    """Return a sample of each message and record."""
    decode_by_topic = {
        Topic.MEMBER: (gossip_codec.decode_member, MEMBER),
        Topic.LEAVING: (gossip_codec.decode_leaving, {"u1@1": SECOND}),
        Topic.LOADS: (gossip_codec.decode_loads, {"u1": 2}),
        Topic.DEATHS: (gossip_codec.decode_crashes, CRASHES),
        Topic.EVIDENCE: (gossip_codec.decode_evidence, EVIDENCE),
        Topic.STATEMENTS: (gossip_codec.decode_names, {"done m", "full m"}),
        Topic.ZONE_EVIDENCE: (gossip_codec.decode_zone_evidence, ("glasgow", EVIDENCE)),
        Topic.TRAFFIC: (traffic_codec.decode_report, REPORT),
        Topic.ZONE_TRAFFIC: (traffic_codec.decode_sum, ("glasgow", SUM)),
        Topic.FLEET_TRAFFIC: (traffic_codec.decode_sum, ("", SUM)),
        Topic.USAGE: (traffic_codec.decode_usage, USAGE),
    }
    samples = [
        Sample(
            "datagram.bin",
            lambda: gossip_codec.encode_gossip(DATAGRAM),
            lambda data: _gossip_content(gossip_codec.decode_gossip(data)),
            _gossip_content(DATAGRAM),
        )
    ]
    for topic, (decode, content) in decode_by_topic.items():
        name = f"value-{topic.name.lower().replace('_', '-')}.bin"
        value = VALUE_BY_TOPIC[topic]
        samples.append(Sample(name, lambda value=value: value, decode, content))
    for number, (name, call) in enumerate(CALLS.items(), 1):
        samples.append(
            Sample(
                f"call-{name}.bin",
                lambda number=number, call=call: call_codec.encode_call(number, call),
                call_codec.decode_call,
                (number, call),
            )
        )
    for number, (name, reply) in enumerate(REPLIES.items(), 1):
        samples.append(
            Sample(
                f"reply-{name}.bin",
                lambda number=number, reply=reply: call_codec.encode_reply(
                    number, reply
                ),
                call_codec.decode_reply,
                (number, reply),
            )
        )
    return samples + _text_samples()


def _text_samples() -> list[Sample]:
    return [
        Sample("relayed.json", _encode_relayed, _decode_relayed, _relayed_content()),
        Sample(
            "ledger-head.json",
            lambda: _to_json(ledger_codec.encode_head(HEAD)),
            lambda data: _head_content(ledger_codec.decode_head(json.loads(data))),
            _head_content(HEAD),
        ),
        Sample(
            "move-status.json",
            lambda: _to_json(status.encode_status(STATUS)),
            lambda data: status.decode_status(json.loads(data)),
            STATUS,
        ),
        Sample("gateway-move.json", _encode_move, _decode_move, MOVE),
    ]


def _gossip_content(gossip: Gossip) -> Any:
    """Return the content but for the values, whose bytes differ between builds."""
    entries = [
        (entry.origin, entry.incarnation, entry.topic, entry.sequence)
        for entry in gossip.entries
    ]
    return gossip.origin, gossip.zone, entries, gossip.digests, gossip.step


def _to_json(body: object) -> bytes:
    return json.dumps(body, indent=1, sort_keys=True).encode() + b"\n"


def _head_content(head: ShardHead) -> Any:
    return head.record_by_key, head.segments, head.pages


def _encode_relayed() -> bytes:
    headers = calls.encode_relayed(
        RELAYED, remaining=2 * SECOND, last_event_id="4", possible_runs=1
    )
    return _to_json([[name.decode(), value.decode()] for name, value in headers])


def _decode_relayed(data: bytes) -> Any:
    headers = [(name.encode(), value.encode()) for name, value in json.loads(data)]
    call = calls.decode_call(RELAYED.method, RELAYED.target, headers, RELAYED.body)
    return (
        call.attempt_id,
        call.key,
        call.timeout,
        call.last_event_id,
        call.headers,
        calls.decode_possible_runs(headers),
    )


def _relayed_content() -> Any:
    return "a-1", "key-of-clerks", 2 * SECOND, "4", RELAYED.headers, 1


def _encode_move() -> bytes:
    spec = {"service": "engines", "target": "v2", "durationS": 12}
    encoded = moves.encode_status(MOVE, MoveState.RUNNING)
    return _to_json({"spec": spec, "status": encoded})


def _decode_move(data: bytes) -> Move:
    body = json.loads(data)
    revision = Revision(1, 9)
    stored = StoredObject("engines", revision, body["spec"], body["status"], 5)
    return moves.decode_order(stored).move(MOVE.number)


def write_samples(folder: Path) -> None:
    """Write the encoded samples, one file each."""
    folder.mkdir(parents=True, exist_ok=True)
    for sample in all_samples():
        (folder / sample.file).write_bytes(sample.encode())


if __name__ == "__main__":
    write_samples(Path(sys.argv[1]))
