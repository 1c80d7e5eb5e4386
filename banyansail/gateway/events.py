"""Splits a stream into whole events and reads their ids."""

from __future__ import annotations

from dataclasses import dataclass

MAX_EVENT_BYTES = 256 * 1024


@dataclass(slots=True, frozen=True)
class StreamEvent:
    """One event, with the blank line that ends it.

    Parameters
    ----------
    id : str
        Empty if the event has none.
    """

    id: str
    raw: bytes


class EventReader:
    """Collects bytes until an event is whole."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Whether a part of an event is held."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take in bytes; return the events that are whole now.

        Raises
        ------
        ValueError
            If an event is longer than `MAX_EVENT_BYTES`.
        """
        self._rest += data
        events = []
        while True:
            end = _find_end(self._rest)
            if end < 0:
                break
            raw, self._rest = self._rest[:end], self._rest[end:]
            events.append(StreamEvent(_read_id(raw), raw))
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError(f"an event has more than {MAX_EVENT_BYTES} bytes")
        return events


def _find_end(data: bytes) -> int:
    ends = [
        index + len(blank)
        for blank in (b"\n\n", b"\r\n\r\n")
        if (index := data.find(blank)) >= 0
    ]
    return min(ends, default=-1)


def _read_id(raw: bytes) -> str:
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
