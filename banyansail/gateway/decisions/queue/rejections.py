"""Rejections of requests that get no slot, and when their callers may retry."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.gateway.request_types import Cause, Rejection

if TYPE_CHECKING:
    from random import Random

    from banyansail.gateway.decisions.queue.service_state import ServiceState
    from banyansail.gateway.decisions.queue.tickets import Ticket
    from banyansail.gateway.decisions.queue.work_shares import ShareUse
    from banyansail.gateway.decisions.upstreams.upstream_load import UpstreamLoad

NO_UPSTREAM_RETRY_DELAY = timedelta(milliseconds=400)
MIN_RETRY_DELAY = timedelta(milliseconds=100)
# Bursts last 3 to 11 s; a longer delay would outlast most of them.
MAX_FAIR_RETRY_DELAY = timedelta(seconds=5)
# Other routers may have a larger part of the limits.
LIMITED_RETRY_DELAY = timedelta(milliseconds=500)
NO_UPSTREAM_LEFT = Rejection(
    503, Cause.NO_UPSTREAM, "no usable upstream is left", NO_UPSTREAM_RETRY_DELAY
)


def check_pauses(
    usable: list[UpstreamLoad], max_wait: timedelta, now: timedelta
) -> Rejection | None:
    """Return a rejection if all upstreams want nothing for longer than a request waits.

    It tells the caller when the first of them takes requests again.
    """
    if not all(load.pause_left(now) > max_wait for load in usable):
        return None
    shortest = min(load.pause_left(now) for load in usable)
    return Rejection(
        503, Cause.PAUSED, "all usable upstreams asked for a pause", shortest
    )


def overload_rejection(
    state: ServiceState, wait: timedelta | None, random: Random, now: timedelta
) -> Rejection:
    """Return the rejection of a request for which no upstream has room in time.

    Parameters
    ----------
    wait : timedelta or None
        Expected wait; ``None`` if the upstreams' limits leave nothing to this router.
    """
    jitter = 0.5 + random.random()
    if state.is_limited(now):
        delay = LIMITED_RETRY_DELAY if wait is None else wait
        return Rejection(
            503,
            Cause.LIMITED,
            "this router's part of the upstreams' limits is used up",
            min(LIMITED_RETRY_DELAY, delay) * jitter,
        )
    if wait is None:
        return NO_UPSTREAM_LEFT
    return Rejection(
        503,
        Cause.OVERLOADED,
        f"no upstream has room; the expected wait is {wait.total_seconds():.2f} s",
        max(MIN_RETRY_DELAY, wait * jitter),
    )


def share_rejection(
    state: ServiceState,
    ticket: Ticket,
    wait: timedelta | None,
    random: Random,
    now: timedelta,
    *,
    is_late: bool,
) -> Rejection:
    """Return a rejection in the fair order, which names the use of the workspace.

    Parameters
    ----------
    wait : timedelta or None
        Expected wait of the workspace's next request.
    is_late : bool
        Whether the deadline can't be met any more.
    """
    if wait is None:
        return overload_rejection(state, wait, random, now)
    share = state.shares.share_use(ticket.workspace)
    reason = "the deadline can't be met" if is_late else "no upstream has room in time"
    delay = min(wait, MAX_FAIR_RETRY_DELAY) * (0.5 + random.random())
    return Rejection(
        503,
        Cause.TOO_LATE if is_late else Cause.OVERLOADED,
        f"{reason}; workspace {ticket.workspace} {describe_use(share)}; "
        f"its expected wait is {wait.total_seconds():.2f} s",
        max(MIN_RETRY_DELAY, delay),
        share,
    )


def describe_use(share: ShareUse) -> str:
    """Return how much of its share a workspace used, in words."""
    age = share.fleet_age
    figures = (
        "without figures of other routers"
        if age is None
        else f"by figures of other routers {age.total_seconds():.1f} s old"
    )
    return (
        f"used {share.use:.2f} of the work, its share is {share.share:.2f}, {figures}"
    )
