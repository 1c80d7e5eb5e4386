"""Decoded requests of callers, heads of upstreams' answers, and rejections."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

from banyansail.upstreams.body_end import BodyEnd

if TYPE_CHECKING:
    from banyansail.gateway.decisions.queue.work_shares import ShareUse

HeaderList = list[tuple[bytes, bytes]]


@dataclass(slots=True, frozen=True)
class PromptPart:
    """Part of a prompt; requests with the same leading parts share cached tokens."""

    id: str
    tokens: int


@dataclass(slots=True, frozen=True)
class Prompt:
    """Prompt and output limits of a generation request.

    Parameters
    ----------
    tokens : int
        Tokens of the prompt.
    max_output : int
        Maximum number of generated tokens.
    parts : tuple of PromptPart
        In order; the last one is specific to the request or its session.
    """

    model: str
    tokens: int
    max_output: int
    parts: tuple[PromptPart, ...] = ()
    expected_output: int | None = None

    @property
    def shared_part_ids(self) -> list[str]:
        """Ids of the parts that other requests may contain: all but the last."""
        return [part.id for part in self.parts[:-1]]


@dataclass(slots=True, frozen=True)
class CallerCall:
    """One attempt of a caller, decoded from its HTTP request.

    Parameters
    ----------
    attempt_id : str
        Identity of the attempt, from the caller; empty if it sent none.
    key : str
        API key of the caller; empty if it sent none.
    timeout : timedelta or None
        How long the caller waits for the final answer.
    last_event_id : str
        Id of the last event that the caller received; empty for none.
    headers : list of pairs
        Headers for the upstream, without those that the router sets itself.
    fingerprint : int
        Hash that is equal for identical requests of one caller.
    """

    method: bytes
    target: bytes
    host: str
    path: str
    headers: HeaderList
    body: bytes
    attempt_id: str
    key: str
    timeout: timedelta | None
    last_event_id: str
    prompt: Prompt | None
    fingerprint: int


FIRST_REDIRECT_STATUS = 300
FIRST_FAILURE_STATUS = 500


class RunStatus(Enum):
    """Whether the upstream ran the request, according to its answer."""

    NOT_RUN = "not_run"
    RAN = "ran"


@dataclass(slots=True, frozen=True)
class ReplyHead:
    """Status and headers of an upstream's answer.

    Parameters
    ----------
    headers : list of pairs
        Headers that are forwarded to the caller.
    attempt_id : str
        Attempt that the answer belongs to.
    is_stamped : bool
        Whether the answer names the upstream that wrote it.
    is_misdirected : bool
        Whether the address now belongs to another upstream than the wanted one.
    is_leaving : bool
        Whether the upstream is draining.
    pause : timedelta or None
        Time for which the upstream wants no further requests of this router.
    limit : float or None
        Requests per second that the upstream takes from all routers together, for as
        long as its answers name it; ``None`` for no limit.
    is_brittle : bool
        Whether the upstream ends if it has to reject more than a few requests.
    cold_left : timedelta or None
        How long the upstream stays cold; ``None`` if it does not say so.
    end : BodyEnd
        What ends the body.
    """

    status: int
    reason: bytes
    headers: HeaderList
    attempt_id: str
    is_stamped: bool
    run_status: RunStatus
    is_misdirected: bool = False
    is_leaving: bool = False
    pause: timedelta | None = None
    limit: float | None = None
    is_brittle: bool = False
    cold_left: timedelta | None = None
    end: BodyEnd = BodyEnd.STATED

    @property
    def is_success(self) -> bool:
        """Whether the answer is what the caller asked for; only such ones stream."""
        return self.status < FIRST_REDIRECT_STATUS

    @property
    def is_failure(self) -> bool:
        """Whether the upstream reports a failure."""
        return self.status >= FIRST_FAILURE_STATUS


class Cause(Enum):
    """Reason why the router answers a request itself."""

    NO_CONFIG = "no_config"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    OVER_QUOTA = "over_quota"
    NO_UPSTREAM = "no_upstream"
    OVERLOADED = "overloaded"
    PAUSED = "paused"
    LIMITED = "limited"
    TOO_LATE = "too_late"
    CRASHES_UPSTREAMS = "crashes_upstreams"
    UPSTREAM_FAILED = "upstream_failed"
    TIMED_OUT = "timed_out"
    BAD_REQUEST = "bad_request"
    STOPPING = "stopping"
    INTERNAL = "internal"


@dataclass(slots=True, frozen=True)
class Rejection:
    """Final answer that the router writes itself, without an upstream's answer.

    Parameters
    ----------
    status : int
        HTTP status; 429 and 503 mean that the request did not run.
    retry_after : timedelta or None
        Delay before the caller may retry; ``None`` if a retry is pointless.
    share : ShareUse or None
        Use of the caller's workspace, if the order of workspaces led to the rejection.
    """

    status: int
    cause: Cause
    detail: str
    retry_after: timedelta | None = None
    share: ShareUse | None = None
