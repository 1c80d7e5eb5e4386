"""Incremental parser that splits a server-sent event stream into events."""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_EVENT_BYTES = 256 * 1024
MAX_BLANK_EVENTS = 1024  # in a row; blank lines are allowed between events
MAX_END_BYTES = 4  # of the blank line that ends an event
EVENT_END = re.compile(rb"\n\n|\r\n\r\n")


@dataclass(slots=True, frozen=True)
class StreamEvent:
    """One event of a stream.

    Parameters
    ----------
    id : str
        Empty if the event has none.
    raw : bytes
        All bytes of the event, including the blank line that terminates it.
    """

    id: str
    raw: bytes

    @property
    def has_data(self) -> bool:
        """Whether it is more than blank lines and comments."""
        lines = self.raw.splitlines()
        return any(line and not line.startswith(b":") for line in lines)


class EventParser:
    """Incremental parser that buffers bytes until an event is complete."""

    __slots__ = ("_blank_count", "_buffer", "_searched")

    def __init__(self) -> None:
        self._blank_count = 0
        self._buffer = bytearray()
        self._searched = 0  # bytes of the buffer that contain no end of an event

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes; return the events that they complete.

        Raises
        ------
        ValueError
            If an incomplete event exceeds `MAX_EVENT_BYTES`, or too many are blank.
        """
        self._buffer += data
        events = []
        start = 0
        while found := EVENT_END.search(self._buffer, max(start, self._searched)):
            raw = bytes(self._buffer[start : found.end()])
            events.append(StreamEvent(_parse_id(raw), raw))
            start = found.end()
            self._blank_count = 0 if raw.strip() else self._blank_count + 1
            if self._blank_count > MAX_BLANK_EVENTS:
                raise ValueError("the stream consists of blank lines")
        del self._buffer[:start]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event has more than {MAX_EVENT_BYTES} bytes")
        self._searched = max(0, len(self._buffer) - MAX_END_BYTES + 1)
        return events


def may_follow(event_id: str, last_id: str) -> bool:
    """Return whether an event may come after another one of its stream.

    Ids of streams increase; those that are not decimal numbers can't be compared.
    """
    if not (event_id.isdecimal() and last_id.isdecimal()):
        return True
    number, last = event_id.lstrip("0"), last_id.lstrip("0")
    return (len(number), number) > (len(last), last)


def _parse_id(raw: bytes) -> str:
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
