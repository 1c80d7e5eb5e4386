"""Codec of calls between routers and their replies."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import capnp

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
from banyansail.wire.errors import raise_as_wire_error
from banyansail.wire.schema import schema

MAX_CALL_BYTES = 4 * 1024**2


@dataclass(slots=True, frozen=True)
class FetchDocument:
    """Fetch a document if the called router has a newer version.

    Parameters
    ----------
    version : int
        Version that the caller has.
    """

    name: str
    version: int


@dataclass(slots=True, frozen=True)
class Document:
    """Document, such as the rules that a router applies."""

    version: int
    text: str


@dataclass(slots=True, frozen=True)
class StreamRecord:
    """State from which any router can resume a streamed answer.

    Parameters
    ----------
    body : bytes
        Body of the request.
    events : tuple of bytes
        Events delivered to the caller.
    """

    request_id: str
    service: str
    workspace: str
    body: bytes
    events: tuple[bytes, ...]


@dataclass(slots=True, frozen=True)
class StoreStream:
    """Store a stream's record at the called router."""

    record: StreamRecord


@dataclass(slots=True, frozen=True)
class FetchStream:
    """Fetch a stream's record from the called router."""

    request_id: str


@dataclass(slots=True, frozen=True)
class ReachUpstream:
    """Ask the called router whether it reaches an upstream."""

    upstream_id: str


@dataclass(slots=True, frozen=True)
class ReachIncarnation:
    """Ask the called router whether it reaches one process of an upstream.

    Parameters
    ----------
    started_at : int
        Wall-clock start time of the process in milliseconds.
    """

    upstream_id: str
    started_at: int


@dataclass(slots=True, frozen=True)
class UnknownCall:
    """Call of a newer build; it is answered with `NotSupported`."""


@dataclass(slots=True, frozen=True)
class Reached:
    """The upstream accepted a connection of the called router."""


@dataclass(slots=True, frozen=True)
class NotReached:
    """The upstream accepted no connection of the called router."""


@dataclass(slots=True, frozen=True)
class Unavailable:
    """The called router could not perform the call."""

    reason: str


@dataclass(slots=True, frozen=True)
class EmptyReply:
    """The router has nothing to return."""


@dataclass(slots=True, frozen=True)
class NotSupported:
    """The called router does not know the call, or this one does not know the reply."""


PeerCall = (
    StartKey
    | FinishKey
    | ReleaseKey
    | FetchDocument
    | StoreStream
    | FetchStream
    | ReachUpstream
    | ReachIncarnation
)
PeerReply = (
    Started
    | InFlight
    | Finished
    | KeyMismatch
    | ShardFull
    | Recorded
    | Unavailable
    | Document
    | StreamRecord
    | EmptyReply
    | Reached
    | NotReached
    | NotSupported
)

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
    fields = _call_fields(call)
    return schema.Call.new_message(id=call_id, **fields).to_bytes_packed()


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
        case _:
            return message.id, UnknownCall()


def encode_reply(call_id: int, reply: PeerReply) -> bytes:
    """Encode a reply."""
    fields = _reply_fields(reply)
    return schema.Reply.new_message(id=call_id, **fields).to_bytes_packed()


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
        case other:
            return message.id, VOID_REPLY_BY_NAME.get(other, NotSupported)()


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
