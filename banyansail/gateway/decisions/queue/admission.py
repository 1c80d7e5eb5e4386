"""Which requests are rejected, on arrival or while they wait for a slot.

Load: more requests than the upstreams have room for. A request is rejected at once if
the expected wait is too long for its deadline, and later when that becomes known.
"""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.gateway.decisions.queue.rejections import (
    NO_UPSTREAM_LEFT,
    check_pauses,
    overload_rejection,
    share_rejection,
)
from banyansail.gateway.decisions.queue.work import expected_answer_time
from banyansail.gateway.decisions.upstreams.choice import has_free_slot

if TYPE_CHECKING:
    from random import Random

    from banyansail.gateway.decisions.queue.fair_order import FairOrder
    from banyansail.gateway.decisions.queue.service_state import ServiceState
    from banyansail.gateway.decisions.queue.tickets import QueueEntry, Slot, Ticket
    from banyansail.gateway.decisions.upstreams.upstream_load import UpstreamLoad
    from banyansail.gateway.request_types import Rejection

MAX_WAIT_SHARE = 0.5  # of a request's time until its deadline
MAX_QUEUE_LENGTH = 500  # requests of one service
LATE_CHECK_INTERVAL = timedelta(milliseconds=200)  # of the expected waits


class Admission:
    """Checks of arriving and waiting requests.

    Parameters
    ----------
    fair : FairOrder
        Shares of the workspaces.
    random : Random
        Source of the spread of Retry-After.
    """

    __slots__ = ("_fair", "_random")

    def __init__(self, fair: FairOrder, random: Random) -> None:
        self._fair = fair
        self._random = random

    def check(
        self, state: ServiceState, ticket: Ticket, now: timedelta
    ) -> Rejection | None:
        """Return a rejection if a request that arrives can't be served in time."""
        usable = state.usable_by(ticket)
        if not usable:
            return NO_UPSTREAM_LEFT
        remaining = ticket.deadline - now
        paused = check_pauses(usable, remaining * MAX_WAIT_SHARE, now)
        if paused is not None:
            return paused
        if ticket.is_retry or any(has_free_slot(load, now) for load in usable):
            return None
        if state.is_fair:  # it may take the place of another request
            return None
        wait = state.expected_wait(ticket, now)
        if (
            wait is None
            or wait > remaining * MAX_WAIT_SHARE
            or len(state.waiting) >= MAX_QUEUE_LENGTH
        ):
            return self._overload_rejection(state, ticket, now)
        return None

    def reject_waiting(self, state: ServiceState, now: timedelta) -> None:
        """Reject the requests that waited too long or can't be served any more."""
        if state.waiting:
            self._reject_overdue(state, now)
        if state.is_fair and now - state.late_checked_at >= LATE_CHECK_INTERVAL:
            state.late_checked_at = now
            self._reject_late(state, now)

    def _reject_overdue(self, state: ServiceState, now: timedelta) -> None:
        usable = state.usable()
        is_fair = state.is_fair
        is_open = any(not load.pause_left(now) for load in usable)
        for entry in state.waiting.entries():
            if is_fair and is_open and now < entry.check_at:
                continue
            if not entry.is_resolved:
                rejection = self._check_waiting(state, usable, entry.ticket, now)
                if rejection is not None:
                    self.reject(state, entry, rejection)

    def _check_waiting(
        self,
        state: ServiceState,
        usable: list[UpstreamLoad],
        ticket: Ticket,
        now: timedelta,
    ) -> Rejection | None:
        """Return a rejection if a request waited too long or can't be served."""
        if ticket.excluded:
            usable = state.usable_by(ticket)
        if not usable:
            return NO_UPSTREAM_LEFT
        wait_end = ticket.arrived_at + max_wait(ticket)
        if state.is_fair and ticket.deadline - now < self.answer_time(state, ticket):
            return self._share_rejection(state, ticket, now, is_late=True)
        if now >= wait_end:
            return self._overload_rejection(state, ticket, now)
        return check_pauses(usable, wait_end - now, now)

    def reject_excess(
        self, state: ServiceState, entry: QueueEntry, now: timedelta
    ) -> None:
        """Reject one request if a new one makes the queue or a wait too long.

        The workspace with the most waiting work per weight loses its last request. If
        that one can be served in time and the new one can't, the new one is rejected.
        """
        ticket = entry.ticket
        if len(state.waiting) > MAX_QUEUE_LENGTH:
            victim = state.waiting.heaviest_last() or entry
        elif ticket.is_retry or not self._waits_too_long(state, ticket, now):
            return
        else:
            victim = state.waiting.heaviest_last(ticket.priority) or entry
            if not self._waits_too_long(state, victim.ticket, now):
                victim = entry
        self.reject(state, victim, self._share_rejection(state, victim.ticket, now))

    def _reject_late(self, state: ServiceState, now: timedelta) -> None:
        """Reject the last request of each workspace if it gets no slot in time."""
        for entry in state.waiting.lasts():
            ticket = entry.ticket
            wait = state.fair_wait(ticket, self._fair.routers, now, is_waiting=True)
            time_left = ticket.deadline - now
            if wait is not None and wait + self.answer_time(state, ticket) > time_left:
                rejection = self._share_rejection(state, ticket, now, is_late=True)
                self.reject(state, entry, rejection)

    def reject(
        self, state: ServiceState, entry: QueueEntry, rejection: Rejection
    ) -> None:
        """Reject a waiting request."""
        self._fair.record_rejection(entry.ticket.fingerprint, rejection)
        resolve(state, entry, rejection)

    def answer_time(self, state: ServiceState, ticket: Ticket) -> timedelta:
        """Return the least time from an assignment to the answer of a request."""
        return expected_answer_time(
            ticket.prompt, state.prefill_rate.tokens_per_ms, state.mean_slot_time
        )

    def _waits_too_long(
        self, state: ServiceState, ticket: Ticket, now: timedelta
    ) -> bool:
        """Return whether a waiting request is expected to get no slot in time."""
        wait = state.fair_wait(ticket, self._fair.routers, now, is_waiting=True)
        if wait is None or now + wait > ticket.arrived_at + max_wait(ticket):
            return True
        return now + wait + self.answer_time(state, ticket) > ticket.deadline

    def _overload_rejection(
        self, state: ServiceState, ticket: Ticket, now: timedelta
    ) -> Rejection:
        if state.is_fair:
            return self._share_rejection(state, ticket, now)
        wait = state.expected_wait(ticket, now)
        return overload_rejection(state, wait, self._random, now)

    def _share_rejection(
        self,
        state: ServiceState,
        ticket: Ticket,
        now: timedelta,
        *,
        is_late: bool = False,
    ) -> Rejection:
        # A repeat before that time goes behind the first tries.
        ticket = replace(ticket, is_retry=False, is_repeat=False)
        wait = state.fair_wait(ticket, self._fair.routers, now, is_waiting=False)
        return share_rejection(state, ticket, wait, self._random, now, is_late=is_late)


def max_wait(ticket: Ticket) -> timedelta:
    """Return the longest time that a request waits for a slot."""
    return (ticket.deadline - ticket.arrived_at) * MAX_WAIT_SHARE


def resolve(state: ServiceState, entry: QueueEntry, result: Slot | Rejection) -> None:
    """Give a waiting request its slot or its rejection."""
    entry.is_resolved = True
    state.waiting.discard(entry)
    entry.on_result(result)
