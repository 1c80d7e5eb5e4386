"""Outcomes of a response, from which its writer decides how it ends."""

from __future__ import annotations

from dataclasses import dataclass

from banyansail.routing.request_types import Refusal


@dataclass(slots=True, frozen=True)
class Answer:
    """Complete answer of an upstream.

    Parameters
    ----------
    status : int
        HTTP status.
    """

    status: int
    content_type: str
    body: bytes


@dataclass(slots=True, frozen=True)
class StreamCompleted:
    """The end marker of the upstream's answer was received."""


@dataclass(slots=True, frozen=True)
class StreamInterrupted:
    """The stream stops before its end; the caller may resume it."""


ResponseOutcome = Answer | Refusal | StreamCompleted | StreamInterrupted
