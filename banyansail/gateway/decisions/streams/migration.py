"""Steps of the live migration of a run from an engine that leaves to another one.

A run's memory is copied while it goes on, then the run is stopped, the rest is copied
and it continues at the target from the last event that the caller got. Whatever fails,
the run is at work at one engine at most: it continues elsewhere only after it has
stopped or its engine has closed the stream.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Place(Enum):
    """Engine at which a stopped run may continue."""

    TARGET = "target"
    SOURCE = "source"


@dataclass(slots=True, frozen=True)
class Copied:
    """The engine copied the run's memory.

    Parameters
    ----------
    handle : str
        Names the copy; it may be used once.
    """

    handle: str


@dataclass(slots=True, frozen=True)
class CopyRefused:
    """The target has no room or the source does not reach it.

    Parameters
    ----------
    handle : str
        Names the memory that a stopped source keeps; empty if the run goes on.
    """

    handle: str = ""


@dataclass(slots=True, frozen=True)
class NoSuchRun:
    """The source does not run the request, or no more."""


@dataclass(slots=True, frozen=True)
class CopyUnanswered:
    """The source gave no answer in time, or an unknown one."""


@dataclass(slots=True, frozen=True)
class StreamEnded:
    """The source's answer has ended.

    Parameters
    ----------
    is_complete : bool
        Whether it was the regular end of the whole stream.
    """

    is_complete: bool


CopyReply = Copied | CopyRefused | NoSuchRun | CopyUnanswered
Event = CopyReply | StreamEnded


@dataclass(slots=True, frozen=True)
class Copying:
    """The run goes on at the source while its memory is copied."""


@dataclass(slots=True, frozen=True)
class Stopping:
    """The source was told to stop the run and to copy the rest.

    Parameters
    ----------
    handle : str
        Names the first copy.
    has_ended : bool
        Whether the stream has broken off meanwhile.
    """

    handle: str
    has_ended: bool = False


@dataclass(slots=True, frozen=True)
class Stopped:
    """The run has stopped; the end of its stream is still to arrive.

    Parameters
    ----------
    handle : str
        Names the memory to continue from.
    places : tuple of Place
        Where the run may continue, in this order.
    """

    handle: str
    places: tuple[Place, ...]


@dataclass(slots=True, frozen=True)
class Unclear:
    """Whether the source stopped the run is not known; its stream will tell.

    Parameters
    ----------
    handle : str
        Names the first copy.
    """

    handle: str


@dataclass(slots=True, frozen=True)
class Finished:
    """The migration is over."""


State = Copying | Stopping | Stopped | Unclear | Finished


@dataclass(slots=True, frozen=True)
class Stop:
    """Tell the source to stop the run and to copy the rest."""


@dataclass(slots=True, frozen=True)
class Continue:
    """Continue the run at one of these places."""

    handle: str
    places: tuple[Place, ...]


@dataclass(slots=True, frozen=True)
class GiveUp:
    """Leave the run where it is; its stream goes on or has ended by itself."""


Action = Stop | Continue | GiveUp
GIVEN_UP = (Finished(), GiveUp())


def step(state: State, event: Event) -> tuple[State, Action | None]:
    """Return the state and the action that follow an event.

    A stream that ends completely needs nothing more, whatever was answered before.
    """
    if isinstance(state, Finished):
        return state, None
    if isinstance(event, StreamEnded) and event.is_complete:
        return GIVEN_UP
    match state, event:
        case Copying(), Copied(handle):
            return Stopping(handle), Stop()
        case Copying(), _:
            return GIVEN_UP
        case Stopping(handle), StreamEnded():
            return Stopping(handle, has_ended=True), None
        case Stopping(), _:
            return _end_stopping(state, event)
        case Stopped(handle, places), StreamEnded():
            return Finished(), Continue(handle, places)
        case Unclear(handle), StreamEnded():
            return Finished(), Continue(handle, (Place.TARGET,))
    return state, None


def _end_stopping(state: Stopping, reply: CopyReply) -> tuple[State, Action | None]:
    """Return what follows the answer of a source that was told to stop.

    A source that stopped keeps the memory, so the run may continue there too. The first
    copy is good for the target only.
    """
    match reply:
        case Copied(handle):
            return _stopped(handle, (Place.TARGET, Place.SOURCE), state.has_ended)
        case CopyRefused(handle) if handle:
            return _stopped(handle, (Place.SOURCE,), state.has_ended)
        case CopyRefused() | CopyUnanswered() if state.has_ended:
            return _stopped(state.handle, (Place.TARGET,), has_ended=True)
        case CopyUnanswered():
            return Unclear(state.handle), None
    return GIVEN_UP


def _stopped(
    handle: str, places: tuple[Place, ...], has_ended: bool
) -> tuple[State, Action | None]:
    if has_ended:
        return Finished(), Continue(handle, places)
    return Stopped(handle, places), None
