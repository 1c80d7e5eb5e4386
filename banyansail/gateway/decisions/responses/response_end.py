"""Decision how the response to a caller ends."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from banyansail.gateway.decisions.responses.response_state import (
    NotStarted,
    ResponseState,
    continuation_fault,
)
from banyansail.gateway.decisions.responses.retry_policy import Deliver
from banyansail.gateway.request_types import Rejection
from banyansail.upstreams.body_end import BodyEnd

if TYPE_CHECKING:
    from banyansail.gateway.decisions.responses.retry_policy import Answered


@dataclass(slots=True, frozen=True)
class WriteResponse:
    """Write a response whose end the upstream stated, with its length."""

    answer: Answered


@dataclass(slots=True, frozen=True)
class WriteUntilClose:
    """Write a response that ends as the upstream's did, by a close."""

    answer: Answered


@dataclass(slots=True, frozen=True)
class WriteRejection:
    """Write an error response of this router."""

    rejection: Rejection


@dataclass(slots=True, frozen=True)
class Complete:
    """End a started response as its head says."""


@dataclass(slots=True, frozen=True)
class BreakOff:
    """Reset the connection, so that a started response does not look complete."""

    reason: str


ResponseEnd = WriteResponse | WriteUntilClose | WriteRejection | Complete | BreakOff


def decide_end(response: ResponseState, result: Deliver | Rejection) -> ResponseEnd:
    """Return how a response ends.

    A started response is completed only by the end of an upstream's successful answer,
    and one that states its end only by an end that the upstream stated.

    Parameters
    ----------
    response : ResponseState
        What the caller has been given so far.
    result : Deliver or Rejection
        Result of the request.
    """
    match response, result:
        case NotStarted(), Rejection():
            return WriteRejection(result)
        case NotStarted(), Deliver(answer) if answer.head.end is BodyEnd.CLOSE:
            return WriteUntilClose(answer)
        case NotStarted(), Deliver(answer):
            return WriteResponse(answer)
        case _, Rejection(detail=detail):
            return BreakOff(detail)
        case _, Deliver(answer):
            fault = continuation_fault(response, answer.head)
            return Complete() if fault is None else BreakOff(fault)
