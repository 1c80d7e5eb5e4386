"""Messages between the decisions about requests and the code that acts on them."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from banyansail.config.rules import ServiceKind


class RanState(Enum):
    """Whether a call had an effect, as told to the caller."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class RefusalCode(Enum):
    """Why a request gets no answer from an upstream."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUTE = "unknown_route"
    BODY_TOO_LARGE = "body_too_large"
    QUEUE_FULL = "queue_full"
    CANNOT_MEET_DEADLINE = "cannot_meet_deadline"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_UPSTREAM = "no_upstream"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    UPSTREAM_FAILED = "upstream_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    QUARANTINED = "quarantined"
    KEY_REUSED = "key_reused"
    JOURNAL_UNAVAILABLE = "journal_unavailable"
    NOT_READY = "not_ready"
    STOPPING = "stopping"


@dataclass(slots=True, frozen=True)
class Refusal:
    """Final answer to a request that no upstream answered.

    Parameters
    ----------
    status : int
        HTTP status.
    retry_after : timedelta or None
        When asking again makes sense; ``None`` if it does not.
    """

    status: int
    code: RefusalCode
    ran: RanState
    message: str
    retry_after: timedelta | None = None


@dataclass(slots=True, frozen=True)
class RequestClass:
    """What the rules say about a request.

    Parameters
    ----------
    route : str
        Method and path pattern of the matching rule.
    timeout : timedelta
        Time for the whole answer, from the arrival.
    """

    service: str
    kind: ServiceKind
    route: str
    workspace: str
    is_repeatable: bool
    priority: int
    timeout: timedelta


@dataclass(slots=True, eq=False)
class Ticket:
    """A request that waits for an upstream or runs on one.

    Parameters
    ----------
    arrived, deadline : timedelta
        Monotonic times.
    affinity : str
        Key that requests with the same cached prefix share; empty if none.
    fingerprint : int
        Hash that equal requests share, also at other routers.
    version : str
        Version that the rollout gave the request; empty if any will do.
    excluded : set of str
        Upstreams that already failed the request.
    exclusive : bool
        Whether the request must run with no companion on its upstream.
    cancelled : bool
        Whether the request has been given up while it waited.
    """

    request_id: str
    request_class: RequestClass
    arrived_at: timedelta
    deadline: timedelta
    affinity: str = ""
    fingerprint: int = 0
    version: str = ""
    excluded: set[str] = field(default_factory=set)
    is_exclusive: bool = False
    is_cancelled: bool = False

    @property
    def priority(self) -> int:
        """Priority from the rules."""
        return self.request_class.priority

    @property
    def workspace(self) -> str:
        """Workspace of the caller."""
        return self.request_class.workspace
