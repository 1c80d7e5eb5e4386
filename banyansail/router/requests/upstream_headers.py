"""Headers of calls to upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

    from banyansail.router.requests.caller import CallerRequest
    from banyansail.routing.request_types import RequestClass


def upstream_headers(
    request: CallerRequest,
    request_class: RequestClass,
    attempt_id: str,
    remaining: timedelta,
) -> dict[str, str]:
    """Return the headers of a call; the caller's are dropped but for Content-Type.

    Parameters
    ----------
    attempt_id : str
        ID of the attempt, which the upstream echoes.
    remaining : timedelta
        Time until the deadline, which bounds the attempt.
    """
    headers = {
        "x-request-id": attempt_id,
        "x-deadline-seconds": f"{remaining.total_seconds():.3f}",
        "x-priority": str(request_class.priority),
        "x-workspace": request.workspace,
    }
    if request.content_type:
        headers["content-type"] = request.content_type
    return headers
