"""Faults of a scripted upstream that are switched from outside."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from benchmarks.soak.records import Framing


class Break(StrEnum):
    """How an upstream breaks an answer off."""

    CLOSE = "close"
    RESET = "reset"
    SILENCE = "silence"


class Continuation(StrEnum):
    """How an upstream answers a request that continues a stream."""

    ERROR = "500"
    NOT_RUN = "503 not run"
    TIMEOUT = "504"
    NOT_FOUND = "404"
    REDIRECT = "302"
    NO_CONTENT = "204"
    EMPTY = "empty 200"
    UNFRAMED = "unframed, closed after an event"
    SHORT = "length not reached"
    ANEW = "events begin anew"
    BREAK = "break again"


@dataclass(slots=True, frozen=True)
class StreamSwitch:
    """How an upstream sends its answers.

    Parameters
    ----------
    after_events : int or None
        Events until the break; ``None`` for answers that are sent in full.
    is_inside_event : bool
        Whether a part of the next event is sent before the break.
    """

    framing: Framing = Framing.CHUNKS
    after_events: int | None = None
    is_inside_event: bool = False
    end: Break = Break.CLOSE


@dataclass(slots=True)
class Switches:
    """Faults of one upstream at present."""

    stream: StreamSwitch = StreamSwitch()
    continuation: Continuation | None = None
    is_full: bool = False

    def set(self, values: dict[str, Any]) -> None:
        """Set the switches that are named; ``None`` ends a fault."""
        if "stream" in values:
            self.stream = decode_stream(values["stream"] or {})
        if "continuation" in values:
            value = values["continuation"]
            self.continuation = None if value is None else Continuation(value)
        self.is_full = values.get("is_full", self.is_full)


def decode_stream(values: dict[str, Any]) -> StreamSwitch:
    """Decode the switch of a stream."""
    return StreamSwitch(
        Framing(values.get("framing", Framing.CHUNKS)),
        values.get("after_events"),
        values.get("is_inside_event", False),
        Break(values.get("end", Break.CLOSE)),
    )
