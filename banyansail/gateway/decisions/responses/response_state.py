"""What a caller has been given of a response, and what may continue it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from banyansail.upstreams.body_end import BodyEnd

if TYPE_CHECKING:
    from banyansail.gateway.request_types import ReplyHead


@dataclass(slots=True, frozen=True)
class NotStarted:
    """Nothing of the response has been written."""


@dataclass(slots=True, frozen=True)
class Started:
    """The head and a part of a stream have been written.

    Parameters
    ----------
    end : BodyEnd
        What ends the body, according to the head that was written.
    is_resumable : bool
        Whether another upstream can be told where to go on: the last event has an id.
    """

    end: BodyEnd
    is_resumable: bool = True


ResponseState = NotStarted | Started


def continuation_fault(response: ResponseState, head: ReplyHead) -> str | None:
    """Return why an answer does not complete a response; ``None`` if it does.

    Parameters
    ----------
    head : ReplyHead
        Head of an answer that was received to its end.
    """
    match response:
        case NotStarted():
            return None
        case Started() if not head.is_success:
            return f"the continuation of the stream was answered {head.status}"
        case Started(BodyEnd.STATED) if head.end is BodyEnd.CLOSE:
            return "the continuation of the stream has no length and may be incomplete"
    return None
