"""Types shared by the routing decisions and the code that carries them out."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from banyansail.config.rules import ServiceKind


class RunStatus(Enum):
    """Whether an upstream executed a call, as reported to the caller."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class RefusalCode(Enum):
    """Reason for which the router refuses a request."""

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
    """Final answer of the router to a request that no upstream answered.

    Parameters
    ----------
    status : int
        HTTP status.
    run_status : RunStatus
        Whether an upstream may have executed the call.
    retry_after : timedelta or None
        Delay before a retry; ``None`` if a retry is useless.
    """

    status: int
    code: RefusalCode
    run_status: RunStatus
    message: str
    retry_after: timedelta | None = None


@dataclass(slots=True, frozen=True)
class RequestClass:
    """Properties of a request according to the rules.

    Parameters
    ----------
    route : str
        Method and path pattern of the matching rule.
    is_repeatable : bool
        Whether the call is idempotent and may be sent again.
    timeout : timedelta
        Time for the whole answer, from the arrival of the request.
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
    """A request that is queued for an upstream or runs on one.

    Parameters
    ----------
    arrived_at, deadline : timedelta
        Monotonic times.
    affinity : str
        Key shared by requests with the same cached prefix; empty if none.
    fingerprint : int
        Hash of the request; equal requests have the same one at all routers.
    version : str
        Version that must serve the request, if it has upstreams; empty for any.
    excluded : set of str
        Upstreams that already failed the request.
    is_exclusive : bool
        Whether the request must run alone on its upstream.
    is_cancelled : bool
        Whether the request was cancelled while it was queued.
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
