"""Splitter of an engine's server-sent events, which leaves their JSON undecoded."""

from __future__ import annotations

from dataclasses import dataclass

MAX_EVENT_BYTES = 64 * 1024
EVENT_SEPARATOR = b"\n\n"
ID_PREFIX = b"id: "
DONE_EVENT = b"data: [DONE]"


@dataclass(slots=True, frozen=True)
class TokenEvent:
    """One token of an answer.

    Parameters
    ----------
    index : int
        Position of the token in the answer, from 0.
    raw : bytes
        Event as received, without its separator.
    """

    index: int
    raw: bytes


@dataclass(slots=True, frozen=True)
class EndEvent:
    """End of the answer."""


@dataclass(slots=True, frozen=True)
class MalformedEvent:
    """Data that is not a valid event of an answer."""

    reason: str


AnswerEvent = TokenEvent | EndEvent | MalformedEvent

END_EVENT = EndEvent()


class EventSplitter:
    """Splitter of received bytes into events, which buffers a partial event."""

    __slots__ = ("_partial",)

    def __init__(self) -> None:
        self._partial = b""

    def feed(self, data: bytes) -> list[AnswerEvent]:
        """Add received bytes and return the events that are now complete."""
        if self._partial:
            data = self._partial + data
        *complete, self._partial = data.split(EVENT_SEPARATOR)
        events = [parse_event(raw) for raw in complete if raw]
        if len(self._partial) > MAX_EVENT_BYTES:
            self._partial = b""
            events.append(MalformedEvent("the event is too long"))
        return events


def parse_event(raw: bytes) -> AnswerEvent:
    """Parse one event without its separator."""
    if raw == DONE_EVENT:
        return END_EVENT
    end = raw.find(b"\n")
    if not raw.startswith(ID_PREFIX) or end < 0:
        return MalformedEvent("the event has no id")
    number = raw[len(ID_PREFIX) : end]
    if not number.isdigit() or len(number) > 9:
        return MalformedEvent("the id of the event is not an index")
    return TokenEvent(int(number), raw)
