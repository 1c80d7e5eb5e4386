"""Simple decisions that are correct without failures and with spare capacity."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from random import Random

from banyansail.routing.request_types import Ticket
from banyansail.routing.retry import NoRetry, NoRetryCause, RetryAfterBackoff
from banyansail.routing.upstream_state import UpstreamState

NAIVE_RETRIES = 2


class NaiveQueue:
    """First-in, first-out queue."""

    def __init__(self, capacity: int, weight_of: object = None) -> None:
        self.capacity = capacity
        self._tickets: deque[Ticket] = deque()

    def __len__(self) -> int:
        return sum(not ticket.is_cancelled for ticket in self._tickets)

    @property
    def is_full(self) -> bool:
        return len(self) >= self.capacity

    def count_ahead(self, priority: int) -> int:
        return len(self)

    def push(self, ticket: Ticket) -> None:
        self._tickets.append(ticket)

    def pop(self) -> Ticket | None:
        while self._tickets:
            ticket = self._tickets.popleft()
            if not ticket.is_cancelled:
                return ticket
        return None

    def cancel(self, ticket: Ticket) -> None:
        ticket.is_cancelled = True


def naive_choose(
    ticket: Ticket, states: list[UpstreamState], now: timedelta
) -> UpstreamState | None:
    """Scan all upstreams and return the least loaded one with room."""
    usable = [
        state
        for state in states
        if state.has_room(now)
        and state.rule.name not in ticket.excluded
        and (not ticket.is_exclusive or state.in_flight == 0)
    ]
    return min(usable, key=lambda state: state.estimated_in_flight(now), default=None)


def naive_random(
    states: list[UpstreamState], now: timedelta, random: Random
) -> UpstreamState | None:
    """Return a random upstream with room."""
    usable = [state for state in states if state.has_room(now)]
    return random.choice(usable) if usable else None


def naive_retry(attempts: int) -> RetryAfterBackoff | NoRetry:
    """Retry twice, without backoff or budget, after any failure."""
    if attempts > NAIVE_RETRIES:
        return NoRetry(NoRetryCause.ATTEMPTS_SPENT)
    return RetryAfterBackoff(timedelta(0))
