"""Refusals: final answers of the router to requests that no upstream answered."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

from banyansail.routing.request_types import Refusal, RefusalCode, RunStatus
from banyansail.routing.retry import NoRetryCause

RETRY_AFTER = timedelta(seconds=1)
LEDGER_RETRY_AFTER = timedelta(seconds=5)

NOT_READY = Refusal(
    503,
    RefusalCode.NOT_READY,
    RunStatus.NOT_RUN,
    "the router has not loaded the current rules yet",
    timedelta(seconds=2),
)
ANSWER_NOT_STORED = Refusal(
    409,
    RefusalCode.OUTCOME_UNKNOWN,
    RunStatus.RAN,
    "the call was executed; its answer was too large to store",
)
ANSWER_LOST = Refusal(
    409,
    RefusalCode.OUTCOME_UNKNOWN,
    RunStatus.RAN,
    "the call was executed; its answer was lost",
)
KEY_REUSED = Refusal(
    422,
    RefusalCode.KEY_REUSED,
    RunStatus.NOT_RUN,
    "the key was used for another call",
)
LEDGER_FULL = Refusal(
    503,
    RefusalCode.JOURNAL_UNAVAILABLE,
    RunStatus.NOT_RUN,
    "the journal is full and accepts no new key",
    LEDGER_RETRY_AFTER,
)


def quarantined(run_status: RunStatus, remaining: timedelta) -> Refusal:
    """Return the refusal of a request that crashed upstreams."""
    text = "this request crashed the upstreams that executed it"
    return Refusal(422, RefusalCode.QUARANTINED, run_status, text, remaining)


def attempts_failed(
    detail: str, cause: NoRetryCause, run_status: RunStatus, is_repeatable: bool
) -> Refusal:
    """Return the refusal of a request whose last attempt failed.

    Parameters
    ----------
    detail : str
        Description of the last failure.
    cause : NoRetryCause
        Reason for no further attempt.
    """
    code = RefusalCode.UPSTREAM_FAILED
    if cause is NoRetryCause.BUDGET_SPENT:
        code = RefusalCode.RETRY_BUDGET_SPENT
    elif run_status is RunStatus.UNKNOWN and not is_repeatable:
        code = RefusalCode.OUTCOME_UNKNOWN
    retry_after = _retry_after(run_status, is_repeatable)
    return Refusal(502, code, run_status, f"{detail}; {cause.value}", retry_after)


def deadline_exceeded(run_status: RunStatus, is_repeatable: bool) -> Refusal:
    """Return the refusal of a request whose deadline has passed."""
    return Refusal(
        504,
        RefusalCode.DEADLINE_EXCEEDED,
        run_status,
        "the deadline has passed",
        _retry_after(run_status, is_repeatable),
    )


def stopping(run_status: RunStatus, is_repeatable: bool) -> Refusal:
    """Return the refusal of a request that outlasts the stop of the router."""
    text = "the router stops before the answer is complete"
    retry_after = _retry_after(run_status, is_repeatable)
    return Refusal(503, RefusalCode.STOPPING, run_status, text, retry_after)


def router_failed(run_status: RunStatus) -> Refusal:
    """Return the refusal of a request after an internal error."""
    text = "internal error of the router; see its log"
    return Refusal(500, RefusalCode.UPSTREAM_FAILED, run_status, text)


def answered_after_start(status: int) -> Refusal:
    """Return the refusal of a started stream that an upstream answered otherwise."""
    text = f"an upstream answered with status {status} in place of the rest"
    return Refusal(502, RefusalCode.UPSTREAM_FAILED, RunStatus.UNKNOWN, text)


def body_too_large(limit: int) -> Refusal:
    """Return the refusal of a body larger than the service's limit in bytes."""
    text = f"the body is larger than {limit} bytes"
    return Refusal(413, RefusalCode.BODY_TOO_LARGE, RunStatus.NOT_RUN, text)


def unknown_stream(request_id: str) -> Refusal:
    """Return the refusal to resume a stream without a record."""
    text = f"no record of stream {request_id!r} was found"
    return Refusal(404, RefusalCode.UNKNOWN_ROUTE, RunStatus.UNKNOWN, text)


def claim_failed(reason: str) -> Refusal:
    """Return the refusal of a call whose key can't be claimed.

    An earlier call with the key may have run.
    """
    text = f"nothing was sent now, as the key can't be recorded: {reason}"
    return Refusal(
        503,
        RefusalCode.JOURNAL_UNAVAILABLE,
        RunStatus.UNKNOWN,
        text,
        LEDGER_RETRY_AFTER,
    )


def refusal_before_key_lookup(refusal: Refusal, key: str) -> Refusal:
    """Return a refusal issued before the lookup of the call's idempotency key.

    If there is a key, an earlier call with it may have run.
    """
    return replace(refusal, run_status=RunStatus.UNKNOWN) if key else refusal


def outcome_unknown(claimant_id: str) -> Refusal:
    """Return the refusal of a call whose key another request has claimed."""
    text = f"request {claimant_id} has claimed the key and its outcome is unknown"
    return Refusal(409, RefusalCode.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, text)


def _retry_after(run_status: RunStatus, is_repeatable: bool) -> timedelta | None:
    return RETRY_AFTER if is_repeatable or run_status is RunStatus.NOT_RUN else None
