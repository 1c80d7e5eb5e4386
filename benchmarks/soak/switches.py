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


class Extra(StrEnum):
    """Bytes that an upstream sends beyond a complete answer."""

    COPY = "copy of the answer"
    REJECTION = "rejection without an id"
    HEALTH = "health answer without an id"
    JUNK = "no answer"


class ExtraTime(StrEnum):
    """When the bytes beyond an answer are sent."""

    AT_ONCE = "at once"
    SOON = "some ms later"
    LATE = "before the next answer"


@dataclass(slots=True, frozen=True)
class ExtraSwitch:
    """What an upstream sends beyond a share of its answers."""

    extra: Extra = Extra.COPY
    time: ExtraTime = ExtraTime.AT_ONCE
    share: float = 0.0


@dataclass(slots=True)
class Switches:
    """Faults of one upstream at present."""

    stream: StreamSwitch = StreamSwitch()
    continuation: Continuation | None = None
    is_full: bool = False
    extra: ExtraSwitch = ExtraSwitch()
    rejects_after_run: bool = False  # with 503, without the header of a rejection
    copies_rejections: bool = False  # before the next answer on the connection

    def set(self, values: dict[str, Any]) -> None:
        """Set the switches that are named; ``None`` ends a fault."""
        if "stream" in values:
            self.stream = decode_stream(values["stream"] or {})
        if "continuation" in values:
            value = values["continuation"]
            self.continuation = None if value is None else Continuation(value)
        if "extra" in values:
            self.extra = decode_extra(values["extra"] or {})
        for name in ("is_full", "rejects_after_run", "copies_rejections"):
            setattr(self, name, values.get(name, getattr(self, name)))


def decode_stream(values: dict[str, Any]) -> StreamSwitch:
    """Decode the switch of a stream."""
    return StreamSwitch(
        Framing(values.get("framing", Framing.CHUNKS)),
        values.get("after_events"),
        values.get("is_inside_event", False),
        Break(values.get("end", Break.CLOSE)),
    )


def decode_extra(values: dict[str, Any]) -> ExtraSwitch:
    """Decode the switch of bytes beyond an answer."""
    return ExtraSwitch(
        Extra(values.get("extra", Extra.COPY)),
        ExtraTime(values.get("time", ExtraTime.AT_ONCE)),
        values.get("share", 0.0),
    )
