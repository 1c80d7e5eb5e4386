"""Codec of calls between routers and their replies."""

from __future__ import annotations

import zlib
from typing import Any

import capnp

from banyansail.exceptions import WireError
from banyansail.ledger.records import (
    Finished,
    FinishKey,
    InFlight,
    KeyMismatch,
    Recorded,
    ReleaseKey,
    ShardFull,
    Started,
    StartKey,
    StoredAnswer,
)
from banyansail.wire.call_types import (
    Document,
    EmptyReply,
    FetchDocument,
    FetchStream,
    FollowStore,
    NotReached,
    NotSupported,
    PeerCall,
    PeerReply,
    Reached,
    ReachIncarnation,
    ReachUpstream,
    StoreChanges,
    StoreStream,
    StreamRecord,
    Unavailable,
    UnknownCall,
)
from banyansail.wire.errors import raise_as_wire_error
from banyansail.wire.schema import schema
from banyansail.wire.store_codec import (
    MILLISECOND,
    changes_fields,
    decode_changes,
    decode_known,
    known_fields,
    to_ms,
)

MAX_CALL_BYTES = 4 * 1024**2
MIN_DEFLATED_BYTES = 4 * 1024
DEFLATE_LEVEL = 1  # the fastest

VOID_NAME_BY_REPLY = {
    Started: "started",
    KeyMismatch: "keyMismatch",
    ShardFull: "shardFull",
    Recorded: "recorded",
    EmptyReply: "nothing",
    Reached: "reached",
    NotReached: "notReached",
    NotSupported: "notSupported",
}
VOID_REPLY_BY_NAME = {name: reply for reply, name in VOID_NAME_BY_REPLY.items()}


def encode_call(call_id: int, call: PeerCall) -> bytes:
    """Encode a call."""
    fields = {"acceptsDeflated": True, **_call_fields(call)}
    return schema.Call.new_message(id=call_id, **fields).to_bytes_packed()


@raise_as_wire_error("a call")
def accepts_deflated(data: bytes) -> bool:
    """Return whether the caller understands a deflated reply."""
    return _unpack(schema.Call, data).acceptsDeflated


def _call_fields(call: PeerCall) -> dict[str, Any]:
    match call:
        case StartKey(key, claimant_id, fingerprint):
            claim = {"key": key, "attempt": claimant_id, "fingerprint": fingerprint}
            return {"start": claim}
        case FinishKey(key, claimant_id, answer):
            fields = _answer_fields(answer)
            return {"finish": {"key": key, "attempt": claimant_id, "answer": fields}}
        case ReleaseKey(key, claimant_id):
            return {"release": {"key": key, "attempt": claimant_id}}
        case FetchDocument(name, version):
            return {"fetch": {"name": name, "version": version}}
        case StoreStream(record):
            return {"keepStream": _stream_fields(record)}
        case FetchStream(request_id):
            return {"takeStream": request_id}
        case ReachUpstream(upstream_id):
            return {"reachUpstream": upstream_id}
        case ReachIncarnation(upstream_id, started_at):
            incarnation = {"upstream": upstream_id, "startedAt": started_at}
            return {"reachIncarnation": incarnation}
        case FollowStore(known, wait):
            kinds = [known_fields(*item) for item in known.items()]
            return {"followStore": {"kinds": kinds, "waitMs": wait // MILLISECOND}}


@raise_as_wire_error("a call")
def decode_call(data: bytes) -> tuple[int, PeerCall | UnknownCall]:
    """Decode a call; one of a newer build is an `UnknownCall`.

    Raises
    ------
    WireError
        If the bytes are not a call.
    """
    message = _unpack(schema.Call, data)
    match _member_name(message):
        case "start":
            claim = message.start
            return message.id, StartKey(claim.key, claim.attempt, claim.fingerprint)
        case "finish":
            item = message.finish
            answer = _decode_answer(item.answer)
            return message.id, FinishKey(item.key, item.attempt, answer)
        case "release":
            return message.id, ReleaseKey(message.release.key, message.release.attempt)
        case "fetch":
            return message.id, FetchDocument(message.fetch.name, message.fetch.version)
        case "keepStream":
            return message.id, StoreStream(_decode_stream(message.keepStream))
        case "takeStream":
            return message.id, FetchStream(message.takeStream)
        case "reachUpstream":
            return message.id, ReachUpstream(message.reachUpstream)
        case "reachIncarnation":
            item = message.reachIncarnation
            return message.id, ReachIncarnation(item.upstream, item.startedAt)
        case "followStore":
            item = message.followStore
            known = {kind.kind: decode_known(kind) for kind in item.kinds}
            return message.id, FollowStore(known, item.waitMs * MILLISECOND)
        case _:
            return message.id, UnknownCall()


def encode_reply(call_id: int, reply: PeerReply, *, may_deflate: bool = False) -> bytes:
    """Encode a reply; deflate a large one if the caller understands it."""
    fields = _reply_fields(reply)
    data = schema.Reply.new_message(id=call_id, **fields).to_bytes_packed()
    if not may_deflate or len(data) < MIN_DEFLATED_BYTES:
        return data
    deflated = zlib.compress(data, DEFLATE_LEVEL)
    return schema.Reply.new_message(id=call_id, deflated=deflated).to_bytes_packed()


def _reply_fields(reply: PeerReply) -> dict[str, Any]:
    match reply:
        case InFlight(claimant_id):
            return {"inFlight": claimant_id}
        case Finished(answer):
            return {"finished": _answer_fields(answer)}
        case Unavailable(reason):
            return {"unavailable": reason}
        case Document(version, text):
            return {"document": {"version": version, "text": text}}
        case StreamRecord():
            return {"stream": _stream_fields(reply)}
        case StoreChanges(kinds, held):
            changes = [changes_fields(item) for item in kinds]
            return {"storeChanges": {"kinds": changes, "heldMs": to_ms(held)}}
        case _:
            return {VOID_NAME_BY_REPLY[type(reply)]: None}


@raise_as_wire_error("a reply")
def decode_reply(data: bytes) -> tuple[int, PeerReply]:
    """Decode a reply; one of a newer build is `NotSupported`.

    Raises
    ------
    WireError
        If the bytes are not a reply.
    """
    message = _unpack(schema.Reply, data)
    match _member_name(message):
        case "inFlight":
            return message.id, InFlight(message.inFlight)
        case "finished":
            return message.id, Finished(_decode_answer(message.finished))
        case "unavailable":
            return message.id, Unavailable(message.unavailable)
        case "document":
            item = message.document
            return message.id, Document(item.version, item.text)
        case "stream":
            return message.id, _decode_stream(message.stream)
        case "storeChanges":
            item = message.storeChanges
            kinds = tuple(decode_changes(kind) for kind in item.kinds)
            return message.id, StoreChanges(kinds, item.heldMs * MILLISECOND)
        case "deflated":
            return decode_reply(_inflate(message.deflated))
        case other:
            return message.id, VOID_REPLY_BY_NAME.get(other, NotSupported)()


def _inflate(data: bytes) -> bytes:
    try:
        inflated = zlib.decompressobj().decompress(data, MAX_CALL_BYTES)
    except zlib.error as error:
        raise WireError(f"a reply that can't be inflated: {error}") from None
    if _is_deflated(inflated):
        raise WireError("a reply is deflated twice")
    return inflated


def _is_deflated(data: bytes) -> bool:
    return _member_name(_unpack(schema.Reply, data)) == "deflated"


def _unpack(struct: Any, data: bytes) -> Any:
    return struct.from_bytes_packed(data, traversal_limit_in_words=MAX_CALL_BYTES)


def _member_name(message: Any) -> str:
    """Return the name of the union's member; empty if this build has no such one."""
    try:
        return message.which()
    except capnp.KjException:
        return ""


def _answer_fields(answer: StoredAnswer) -> dict[str, Any]:
    return {
        "status": answer.status,
        "contentType": answer.content_type,
        "hasBody": answer.body is not None,
        "body": answer.body or "",
    }


def _decode_answer(item: Any) -> StoredAnswer:
    return StoredAnswer(
        item.status, item.contentType, item.body if item.hasBody else None
    )


def _stream_fields(record: StreamRecord) -> dict[str, Any]:
    return {
        "requestId": record.request_id,
        "service": record.service,
        "workspace": record.workspace,
        "body": record.body,
        "events": list(record.events),
    }


def _decode_stream(item: Any) -> StreamRecord:
    return StreamRecord(
        item.requestId,
        item.service,
        item.workspace,
        bytes(item.body),
        tuple(bytes(event) for event in item.events),
    )
