"""Base of all checks."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

if TYPE_CHECKING:
    from collections.abc import Iterator

    from benchmarks.soak.records import Evidence, Finding


class Check:
    """A rule; to add one, derive from it and add it to `CHECK_BY_RULE`.

    Parameters
    ----------
    evidence : Evidence
        What was seen.

    Attributes
    ----------
    count : int
        How often the rule was checked.
    """

    rule: ClassVar[str]
    # Whether it measures time, so that a machine under load can break it.
    is_timed: ClassVar[bool] = False

    def __init__(self, evidence: Evidence) -> None:
        self.evidence = evidence
        self.count = 0

    def findings(self) -> Iterator[Finding]:
        """Yield what breaks the rule."""
        raise NotImplementedError
