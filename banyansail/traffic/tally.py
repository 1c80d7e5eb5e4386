"""Counts of an upstream version's answers during a move."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Tally:
    """Answers of one version since a move was ordered."""

    good: int = 0
    bad: int = 0

    @property
    def total(self) -> int:
        """Number of answers."""
        return self.good + self.bad

    @property
    def bad_share(self) -> float:
        """Share of bad answers."""
        return self.bad / self.total if self.total else 0.0

    def add(self, other: Tally) -> None:
        """Add the answers that another router counted."""
        self.good += other.good
        self.bad += other.bad
