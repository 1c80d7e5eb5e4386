"""Limits on the upstreams and versions that a retry may use."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.routing.retry import AttemptFailure

if TYPE_CHECKING:
    from banyansail.routing.dispatch import Assignment, Dispatcher


def constrain_retry(
    dispatcher: Dispatcher,
    assignment: Assignment,
    failure: AttemptFailure,
    now: timedelta,
) -> None:
    """Exclude the failed upstream and an unproven version from the next attempt.

    Parameters
    ----------
    dispatcher : Dispatcher
        Provides the upstreams and the traffic shares of versions.
    assignment : Assignment
        The failed attempt; its ticket is modified.
    failure : AttemptFailure
        How it failed. After a stalled connection the upstream is not excluded, as
        it may answer on a new connection.
    now : timedelta
        Monotonic time.
    """
    ticket = assignment.ticket
    failed = assignment.state.rule
    ticket.excluded.clear()
    has_other = any(
        state.rule.service == failed.service
        and name != failed.name
        and state.is_eligible(now)
        for name, state in dispatcher.state_by_name.items()
    )
    if has_other and failure is not AttemptFailure.CONNECTION_STALLED:
        ticket.excluded.add(failed.name)
    shares = dispatcher.dispatch_by_service[failed.service].shares
    if shares is None or shares.new_share >= 1:
        return
    if failed.version == shares.new_version:
        ticket.version = shares.old_version
