"""Decision log entries of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.log import log_decision

if TYPE_CHECKING:
    from datetime import timedelta

    from banyansail.router.requests.caller import CallerRequest
    from banyansail.routing.request_types import Refusal
    from banyansail.upstreams.attempt_error import AttemptError


def log_refusal(request: CallerRequest, refusal: Refusal, attempts: int) -> None:
    """Log a refusal as the final answer."""
    log_decision(
        "refuse",
        refusal.code.value,
        request=request.request_id,
        service=request.service,
        ran=refusal.run_status.value,
        message=refusal.message,
        attempts=attempts,
    )


def log_retry(
    request: CallerRequest,
    upstream: str,
    error: AttemptError,
    delay: timedelta,
    attempts: int,
) -> None:
    """Log that an attempt failed and will be retried."""
    log_decision(
        "retry",
        error.failure.value,
        request=request.request_id,
        upstream=upstream,
        detail=error.detail,
        delay_s=delay.total_seconds(),
        attempts=attempts,
    )
