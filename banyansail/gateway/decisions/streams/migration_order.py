"""Which runs migrate from an engine that leaves, and in which order.

Load: the streams of an engine that is reclaimed or replaced, more than its link may
carry in the time that is left.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Runs are slower than expected while their engine's memory is copied.
END_MARGIN = 1.5
MIN_TIME_LEFT = timedelta(milliseconds=100)  # a copy and a new start take longer


@dataclass(slots=True, frozen=True)
class RunInProgress:
    """A stream that an engine produces.

    Parameters
    ----------
    attempt_id : str
        Id of the request.
    is_resumable : bool
        Whether another engine may resume it without its memory.
    tokens : int
        Tokens in memory that a copy carries.
    time_to_end : timedelta or None
        Expected time until it ends by itself; ``None`` if unknown.
    """

    attempt_id: str
    is_resumable: bool
    tokens: int
    time_to_end: timedelta | None


def order_migrations(
    runs: Iterable[RunInProgress], time_left: timedelta | None
) -> list[RunInProgress]:
    """Return the runs that migrate, the most urgent first.

    A run that can't be resumed is lost with its engine, so it goes first. Short ones go
    before long ones, as more of them are saved in the same time. Runs that end by
    themselves in time stay.

    Parameters
    ----------
    time_left : timedelta or None
        Time until the engine stops; ``None`` if it is not announced.
    """
    if time_left is not None and time_left < MIN_TIME_LEFT:
        return []
    staying = [run for run in runs if not _ends_in_time(run, time_left)]
    return sorted(staying, key=lambda run: (run.is_resumable, run.tokens))


def _ends_in_time(run: RunInProgress, time_left: timedelta | None) -> bool:
    if time_left is None or run.time_to_end is None:
        return False
    return run.time_to_end * END_MARGIN <= time_left
