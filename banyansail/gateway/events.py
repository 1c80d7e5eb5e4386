"""Incremental parser that splits a server-sent event stream into events."""

from __future__ import annotations

from dataclasses import dataclass

MAX_EVENT_BYTES = 256 * 1024


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


class EventParser:
    """Incremental parser that buffers bytes until an event is complete."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes; return the events that they complete.

        Raises
        ------
        ValueError
            If an incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        self._buffer += data
        events = []
        while True:
            end = _find_event_end(self._buffer)
            if end < 0:
                break
            raw, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(StreamEvent(_parse_id(raw), raw))
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event has more than {MAX_EVENT_BYTES} bytes")
        return events


def _find_event_end(data: bytes) -> int:
    ends = [
        index + len(separator)
        for separator in (b"\n\n", b"\r\n\r\n")
        if (index := data.find(separator)) >= 0
    ]
    return min(ends, default=-1)


def _parse_id(raw: bytes) -> str:
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
