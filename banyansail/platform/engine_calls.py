"""Calls to model engines that copy the memory of a run to another engine."""

from __future__ import annotations

import json
import re
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from banyansail.exceptions import BanyansailError
from banyansail.gateway.decisions.streams.migration import (
    Copied,
    CopyRefused,
    CopyReply,
    CopyUnanswered,
    NoSuchRun,
)
from banyansail.log import log_event
from banyansail.platform import header_names
from banyansail.upstreams.http_call import call_over

if TYPE_CHECKING:
    from banyansail.config.fields import Address
    from banyansail.upstreams.http_call import HttpAnswer
    from banyansail.upstreams.pool import ConnectionPool

# The engines' links carry one copy after the other.
COPY_TIMEOUT = timedelta(seconds=2)
# The caller gets no event meanwhile.
STOP_TIMEOUT = timedelta(seconds=1)
FREE_TIMEOUT = timedelta(seconds=1)
# It becomes a part of a path and of a header.
HANDLE_PATTERN = re.compile(r"[!-~]{1,200}")


async def copy_run(
    reactor: Any,
    pool: ConnectionPool,
    attempt_id: str,
    target: Address,
    *,
    stops: bool,
) -> CopyReply:
    """Copy the memory of a run to another engine, or what is new in it.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to the engine that runs the request.
    stops : bool
        Whether the run stops first; else it goes on meanwhile.
    """
    body = {"id": attempt_id, "target": str(target), "last": stops}
    timeout = STOP_TIMEOUT if stops else COPY_TIMEOUT
    try:
        answer = await call_over(
            reactor, pool, "POST", "/v1/kv-move", timeout, body, is_fresh=True
        )
    except BanyansailError as error:
        log_event("copy_unanswered", request=attempt_id, error=error.message)
        return CopyUnanswered()
    return decode_copy_reply(answer)


def decode_copy_reply(answer: HttpAnswer) -> CopyReply:
    """Decode an engine's answer; an unknown one is as good as none."""
    match answer.status:
        case 200 if handle := _decode_handle(answer.body):
            return Copied(handle)
        case 503:
            return CopyRefused(_decode_handle(answer.body))
        case 404:
            return NoSuchRun()
    return CopyUnanswered()


def _decode_handle(body: bytes) -> str:
    try:
        handle = json.loads(body or b"{}")["handle"]
    except (ValueError, KeyError, TypeError):
        return ""
    is_valid = isinstance(handle, str) and HANDLE_PATTERN.fullmatch(handle)
    return handle if is_valid else ""


async def free_copy(reactor: Any, pool: ConnectionPool, handle: str) -> None:
    """Free a copy at both ends; it expires by itself if the call fails."""
    target = f"/v1/kv-handle/{handle}"
    try:
        await call_over(reactor, pool, "DELETE", target, FREE_TIMEOUT, is_fresh=True)
    except BanyansailError as error:
        log_event("copy_not_freed", handle=handle, error=error.message)


def encode_continuation(source: Address, handle: str) -> tuple[bytes, bytes]:
    """Return the header of a request that continues from the memory of a run."""
    return header_names.MEMORY_SOURCE, f"{source}/{handle}".encode()
