"""Bytes that a scripted upstream sends beyond a complete answer."""

from __future__ import annotations

import time
from random import Random
from typing import TYPE_CHECKING

from benchmarks.soak.http_server import MAX_REMEMBERED_BYTES, head_of
from benchmarks.soak.switches import Extra, ExtraSwitch, ExtraTime

if TYPE_CHECKING:
    from benchmarks.soak.http_server import Connection, Request

SOON_S = 0.005
# A connection that goes on is what a gateway may use again.
REJECTION = head_of(400, {"X-Not-Executed": "1", "Content-Length": "0"})
HEALTH = head_of(200, {"X-Replica-Id": "other", "Content-Length": "2"}) + b"ok"
JUNK = b"\x00\xff no answer \r\n\r\n"


def send_extra(connection: Connection, switch: ExtraSwitch, request: Request) -> None:
    """Send what a switch asks for beyond an answer that was complete."""
    attempt = request.headers.get("x-attempt-id")
    if attempt is None or Random(attempt).random() >= switch.share:
        return
    data = _bytes_of(switch.extra, connection)
    match switch.time:
        case ExtraTime.AT_ONCE:
            connection.send(data)
        case ExtraTime.SOON:
            time.sleep(SOON_S)
            connection.send(data)
        case ExtraTime.LATE:
            connection.send_before_next(data)


def _bytes_of(extra: Extra, connection: Connection) -> bytes:
    match extra:
        case Extra.COPY:
            whole = len(connection.answer) < MAX_REMEMBERED_BYTES
            return bytes(connection.answer) if whole else b""
        case Extra.REJECTION:
            return REJECTION
        case Extra.HEALTH:
            return HEALTH
        case Extra.JUNK:
            return JUNK
