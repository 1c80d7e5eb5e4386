"""Failures and slow answers of a new version, and how many are expected of it."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from banyansail.rollout.binomial import binomial_tail

SIGNIFICANCE_LEVEL = 1e-5
SCARCE_OLD_SPLIT = 0.6  # share of the new version that leaves the old too few calls
ALL_CALLS = "all calls"


@dataclass(slots=True)
class EventCounts:
    """Counts of undesired events of one kind: failures, or slow answers.

    Parameters
    ----------
    new_calls : int
        Calls of the new version.
    new_events, all_events : int
        Events of the new version, and of both versions.
    expected_events : float
        Events that the new version would have if both performed alike.
    """

    new_calls: int = 0
    new_events: int = 0
    all_events: int = 0
    expected_events: float = 0.0

    def add(self, other: EventCounts, sign: int = 1) -> None:
        """Add the counts of another slice, or subtract them with a sign of -1."""
        self.new_calls += sign * other.new_calls
        self.new_events += sign * other.new_events
        self.all_events += sign * other.all_events
        self.expected_events += sign * other.expected_events

    def is_excessive(self, tolerated_rate: float) -> bool:
        """Return whether the new version has significantly more than expected."""
        if self.new_events == 0:
            return False
        tolerated = self.new_calls * tolerated_rate
        trials = max(self.new_events, math.ceil(self.all_events + tolerated))
        probability = min(0.999, (self.expected_events + tolerated) / trials)
        return binomial_tail(self.new_events, trials, probability) < SIGNIFICANCE_LEVEL

    def is_suspicious(self, rate: float) -> bool:
        """Return whether the rate is high and the old version has too few calls."""
        if (
            self.new_events == 0
            or self.expected_events < SCARCE_OLD_SPLIT * self.all_events
        ):
            return False
        return binomial_tail(self.new_events, self.new_calls, rate) < SIGNIFICANCE_LEVEL


@dataclass(slots=True)
class Tally:
    """Failures and slow answers of one group of calls."""

    failures: EventCounts = field(default_factory=EventCounts)
    slow_answers: EventCounts = field(default_factory=EventCounts)

    def add(self, other: Tally, sign: int = 1) -> None:
        """Add the counts of another slice, or subtract them with a sign of -1."""
        self.failures.add(other.failures, sign)
        self.slow_answers.add(other.slow_answers, sign)


Tallies = dict[str, Tally]


def add_tallies(total: Tallies, part: Tallies, sign: int = 1) -> None:
    """Add tallies to a sum in place, or subtract them with a sign of -1."""
    for name, tally in part.items():
        total.setdefault(name, Tally()).add(tally, sign)


def sum_tallies(first: Tallies, second: Tallies) -> Tallies:
    """Return the sum of two sets of tallies without changing them."""
    total: Tallies = {}
    add_tallies(total, first)
    add_tallies(total, second)
    return total


def count_answered_calls(tallies: Tallies) -> int:
    """Return how many calls the new version answered."""
    failures = tallies.get(ALL_CALLS, Tally()).failures
    return failures.new_calls - failures.new_events
