"""Server-sent events of an engine's answer, split without decoding their JSON."""

from __future__ import annotations

from dataclasses import dataclass

MAX_EVENT_BYTES = 64 * 1024
SEPARATOR = b"\n\n"
ID_PREFIX = b"id: "
DONE_EVENT = b"data: [DONE]"


@dataclass(slots=True, frozen=True)
class TokenEvent:
    """One token of an answer.

    Parameters
    ----------
    index : int
        Place of the token in the answer, from 0.
    raw : bytes
        The event as it was received, without its separator.
    """

    index: int
    raw: bytes


@dataclass(slots=True, frozen=True)
class EndEvent:
    """The end of the answer."""


@dataclass(slots=True, frozen=True)
class MalformedEvent:
    """Something that is no event of an answer."""

    reason: str


AnswerEvent = TokenEvent | EndEvent | MalformedEvent

END_EVENT = EndEvent()


class EventSplitter:
    """Splits received bytes into events; a partial one is kept for later."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[AnswerEvent]:
        """Take in bytes and return the events that are complete now."""
        if self._rest:
            data = self._rest + data
        *whole, self._rest = data.split(SEPARATOR)
        events = [parse_event(raw) for raw in whole if raw]
        if len(self._rest) > MAX_EVENT_BYTES:
            self._rest = b""
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
        return MalformedEvent("the id of the event is no index")
    return TokenEvent(int(number), raw)
