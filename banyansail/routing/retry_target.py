"""Where a request may go after an attempt of it has failed."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.routing.retry import Failure

if TYPE_CHECKING:
    from banyansail.routing.dispatch import Assignment, Dispatcher


def constrain_retry(
    dispatcher: Dispatcher, assignment: Assignment, failure: Failure, now: timedelta
) -> None:
    """Send the next attempt to another upstream, and not to an unproven version.

    Parameters
    ----------
    dispatcher : Dispatcher
        Knows the upstreams and the shares of versions.
    assignment : Assignment
        The attempt that failed; its ticket is changed.
    failure : Failure
        How it failed. After a silent connection the upstream may be tried again.
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
    if has_other and failure is not Failure.SILENT:
        ticket.excluded.add(failed.name)
    shares = dispatcher.dispatch_by_service[failed.service].shares
    if shares is None or shares.new_share >= 1:
        return
    if failed.version == shares.new_version:
        ticket.version = shares.old_version
