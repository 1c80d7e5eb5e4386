"""Messages between the adapter, the decisions and the sockets."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

HeaderList = list[tuple[bytes, bytes]]


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt; requests with the same parts share cached tokens."""

    id: str
    tokens: int


@dataclass(slots=True, frozen=True)
class Prompt:
    """What a generation asks of an engine.

    Parameters
    ----------
    tokens : int
        Tokens of the prompt.
    max_output : int
        Most tokens that are generated.
    parts : tuple of PromptPart
        In order; the last one belongs to the request or its session.
    """

    model: str
    tokens: int
    max_output: int
    parts: tuple[PromptPart, ...] = ()
    expected_output: int | None = None


@dataclass(slots=True, frozen=True)
class CallerCall:
    """One attempt of a caller.

    Parameters
    ----------
    attempt_id : str
        Identity of the attempt, from the caller; empty if it gave none.
    deadline : timedelta or None
        How long the caller waits.
    last_event : str
        Id of the last event that the caller has; empty for none.
    headers : list of pairs
        What an upstream gets besides what the router sets itself.
    fingerprint : int
        Hash that equal requests of one caller share.
    """

    method: bytes
    target: bytes
    host: str
    path: str
    headers: HeaderList
    body: bytes
    attempt_id: str
    key: str
    deadline: timedelta | None
    last_event: str
    prompt: Prompt | None
    fingerprint: int


FIRST_FAILURE_STATUS = 500


class Ran(Enum):
    """What an answer of an upstream says about the run."""

    NOT_RUN = "not_run"
    RAN = "ran"


@dataclass(slots=True, frozen=True)
class ReplyHead:
    """Status and headers of an upstream's answer.

    Parameters
    ----------
    headers : list of pairs
        To be passed on to the caller.
    attempt_id : str
        The attempt that the answer belongs to.
    is_stamped : bool
        Whether the upstream signed the answer.
    is_other_upstream : bool
        Whether another upstream has the address now.
    """

    status: int
    reason: bytes
    headers: HeaderList
    attempt_id: str
    is_stamped: bool
    ran: Ran
    is_other_upstream: bool = False

    @property
    def is_failure(self) -> bool:
        """Whether the upstream says that it failed."""
        return self.status >= FIRST_FAILURE_STATUS


class Cause(Enum):
    """Why a request gets no answer of an upstream."""

    NO_CONFIG = "no_config"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    OVER_QUOTA = "over_quota"
    NO_UPSTREAM = "no_upstream"
    OVERLOADED = "overloaded"
    TOO_LATE = "too_late"
    CRASHES_UPSTREAMS = "crashes_upstreams"
    UPSTREAM_FAILED = "upstream_failed"
    TIMED_OUT = "timed_out"
    BAD_REQUEST = "bad_request"
    STOPPING = "stopping"
    INTERNAL = "internal"


@dataclass(slots=True, frozen=True)
class Rejection:
    """Final answer of the router itself.

    Parameters
    ----------
    status : int
        HTTP status; 429 and 503 state that the request has not run.
    retry_after : timedelta or None
        When the caller may come back; ``None`` if that makes no sense.
    """

    status: int
    cause: Cause
    detail: str
    retry_after: timedelta | None = None
