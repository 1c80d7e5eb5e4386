"""Records of the calls to the platform's store."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

OPERATION_BY_METHOD = {"POST": "create", "PUT": "replace", "DELETE": "delete"}


class CallOutcome(Enum):
    """How a call to the store ended."""

    ANSWERED = "answered"
    REFUSED = "refused"  # with a status that says that the store did not serve it
    UNANSWERED = "unanswered"  # no connection, or no complete answer in time
    CANCELLED = "cancelled"


@dataclass(slots=True, frozen=True)
class CallRecord:
    """A call to the store that has ended.

    Parameters
    ----------
    kind : str
        Kind of the objects that were read or written.
    operation : str
        Name of the method of `StoreClient`; a call with ``serializable=1``, which is
        cheap for the store, has the prefix ``cheap_``.
    """

    kind: str
    operation: str
    outcome: CallOutcome


def record_of(method: str, target: str, outcome: CallOutcome) -> CallRecord:
    """Return the record of a call that has ended."""
    path, _, query = target.removeprefix("/v1/objects/").partition("?")
    kind, _, name = path.partition("/")
    if method == "GET":
        operation = "get" if name else "watch" if "watch=" in query else "list"
        if "serializable=1" in query:
            operation = f"cheap_{operation}"
    else:
        operation = OPERATION_BY_METHOD[method]
        if path.endswith("/status"):
            operation = "set_status"
    return CallRecord(kind, operation, outcome)
