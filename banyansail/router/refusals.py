"""Final answers that a router gives in place of an upstream's."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

from banyansail.routing.request_types import Refusal, RefusalCode, RunStatus
from banyansail.routing.retry import NoRetryCause

RETRY_LATER = timedelta(seconds=1)
JOURNAL_RETRY = timedelta(seconds=5)

NOT_READY = Refusal(
    503,
    RefusalCode.NOT_READY,
    RunStatus.NOT_RUN,
    "the router does not have the newest rules yet",
    timedelta(seconds=2),
)
NOT_KEPT = Refusal(
    409,
    RefusalCode.OUTCOME_UNKNOWN,
    RunStatus.RAN,
    "the call was run; its answer was too large to keep",
)
RAN_BEFORE = Refusal(
    409,
    RefusalCode.OUTCOME_UNKNOWN,
    RunStatus.RAN,
    "the call was run; its answer was lost",
)
KEY_REUSED = Refusal(
    422,
    RefusalCode.KEY_REUSED,
    RunStatus.NOT_RUN,
    "the key was used for another call",
)
JOURNAL_FULL = Refusal(
    503,
    RefusalCode.JOURNAL_UNAVAILABLE,
    RunStatus.NOT_RUN,
    "the journal has no room for a new key",
    JOURNAL_RETRY,
)


def quarantined(ran: RunStatus, remaining: timedelta) -> Refusal:
    """Refuse a request that crashed upstreams."""
    text = "this request crashed the upstreams that ran it"
    return Refusal(422, RefusalCode.QUARANTINED, ran, text, remaining)


def attempts_failed(
    detail: str, cause: NoRetryCause, ran: RunStatus, is_repeatable: bool
) -> Refusal:
    """Refuse a request after its last attempt.

    Parameters
    ----------
    detail : str
        What was seen in the last attempt.
    cause : GiveUpCause
        Why there is no further one.
    """
    code = RefusalCode.UPSTREAM_FAILED
    if cause is NoRetryCause.BUDGET_SPENT:
        code = RefusalCode.RETRY_BUDGET_SPENT
    elif ran is RunStatus.UNKNOWN and not is_repeatable:
        code = RefusalCode.OUTCOME_UNKNOWN
    retry_after = _retry_after(ran, is_repeatable)
    return Refusal(502, code, ran, f"{detail}; {cause.value}", retry_after)


def deadline_exceeded(ran: RunStatus, is_repeatable: bool) -> Refusal:
    """Refuse a request whose time is over."""
    return Refusal(
        504,
        RefusalCode.DEADLINE_EXCEEDED,
        ran,
        "the deadline has passed",
        _retry_after(ran, is_repeatable),
    )


def router_failed(ran: RunStatus) -> Refusal:
    """Refuse a request because of a fault of the router."""
    text = "the router failed; see its log"
    return Refusal(500, RefusalCode.UPSTREAM_FAILED, ran, text)


def body_too_large(limit: int) -> Refusal:
    """Refuse a request whose body is over the service's limit in bytes."""
    text = f"the body is over {limit} bytes"
    return Refusal(413, RefusalCode.BODY_TOO_LARGE, RunStatus.NOT_RUN, text)


def no_stream(request_id: str) -> Refusal:
    """Refuse to continue a stream of which no record is found."""
    text = f"no record of stream {request_id!r} is kept here"
    return Refusal(404, RefusalCode.UNKNOWN_ROUTE, RunStatus.UNKNOWN, text)


def not_recorded(reason: str) -> Refusal:
    """Refuse a call whose key can't be claimed; an earlier call may have run."""
    text = f"nothing was sent now, as the key can't be recorded: {reason}"
    return Refusal(
        503, RefusalCode.JOURNAL_UNAVAILABLE, RunStatus.UNKNOWN, text, JOURNAL_RETRY
    )


def before_claim(refusal: Refusal, key: str) -> Refusal:
    """Refuse a call before its key was looked up, if it has one."""
    return replace(refusal, ran=RunStatus.UNKNOWN) if key else refusal


def outcome_unknown(attempt: str) -> Refusal:
    """Refuse a call whose key another attempt has claimed."""
    text = f"attempt {attempt} was started and its outcome is not known"
    return Refusal(409, RefusalCode.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, text)


def _retry_after(ran: RunStatus, is_repeatable: bool) -> timedelta | None:
    return RETRY_LATER if is_repeatable or ran is RunStatus.NOT_RUN else None
