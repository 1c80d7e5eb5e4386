"""Error of an attempt to have an upstream answer a call."""

from __future__ import annotations

from banyansail.routing.retry import AttemptFailure


class AttemptError(Exception):
    """Error of an attempt that ended without an answer.

    Parameters
    ----------
    failure : AttemptFailure
        How the attempt failed.
    detail : str
        Description of the error.
    has_upstream_crashed : bool
        Whether a probe found the upstream down, whether or not the call was sent.
    """

    def __init__(
        self,
        failure: AttemptFailure,
        detail: str,
        *,
        has_upstream_crashed: bool = False,
    ) -> None:
        super().__init__(f"{failure.value}: {detail}")
        self.failure = failure
        self.detail = detail
        self.has_upstream_crashed = has_upstream_crashed
