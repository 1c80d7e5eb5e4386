"""Counts of an upstream version's answers during a move."""

from __future__ import annotations

from dataclasses import dataclass

ALL_ROUTES = ""


@dataclass(slots=True, frozen=True)
class TallyKey:
    """What a tally counts.

    Parameters
    ----------
    move : int
        Number of the order to move traffic.
    is_target : bool
        Whether the answers are those of the move's target, or of other versions.
    route : str
        Route of the requests; `ALL_ROUTES` for all answers.
    is_under_load : bool
        Whether only answers count that were received while the target got more than
        the share of a version that may turn out to be bad.
    """

    service: str
    move: int
    is_target: bool
    route: str = ALL_ROUTES
    is_under_load: bool = False


@dataclass(slots=True)
class Tally:
    """Answers of one version since a move was ordered.

    Parameters
    ----------
    bad : int
        Failures, answers that broke off or never came, and slow ones.
    failed : int
        Those of the bad answers by which an upstream reported a failure.
    """

    good: int = 0
    bad: int = 0
    failed: int = 0

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
        self.failed += other.failed

    def merge_max(self, other: Tally) -> None:
        """Keep the larger of two counts of the same answers."""
        self.good = max(self.good, other.good)
        self.bad = max(self.bad, other.bad)
        self.failed = max(self.failed, other.failed)
