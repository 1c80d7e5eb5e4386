"""Evidence of all zones, each of which is received from one or more routers."""

from __future__ import annotations

from collections.abc import Set

from banyansail.rollout.evidence import (
    Evidence,
    EvidenceCell,
    merge_evidence,
    retain_moves,
)


class ZoneEvidence:
    """Largest totals received for each zone.

    Two routers may both sum up a zone, and each sum may lack calls that the other
    includes. The larger of two counts is kept, never their sum, so that no call is
    counted twice.
    """

    __slots__ = ("_evidence_by_zone",)

    def __init__(self) -> None:
        self._evidence_by_zone: dict[str, Evidence] = {}

    def merge_totals(self, zone: str, totals: Evidence) -> None:
        """Merge totals of a zone into those known so far."""
        evidence = self._evidence_by_zone.setdefault(zone, {})
        for key, cell in totals.items():
            evidence.setdefault(key, EvidenceCell()).merge_max(cell)

    def retain_moves(self, move_numbers: Set[int]) -> None:
        """Remove the counts of all other moves."""
        for evidence in self._evidence_by_zone.values():
            retain_moves(evidence, move_numbers)

    def of_zone(self, zone: str) -> Evidence:
        """Return the totals of a zone."""
        return self._evidence_by_zone.get(zone, {})

    def of_move(self, move_number: int) -> Evidence:
        """Return the sum of a move's evidence over all zones, as a copy."""
        return merge_evidence(
            {
                key: cell
                for key, cell in evidence.items()
                if key.move_number == move_number
            }
            for evidence in self._evidence_by_zone.values()
        )
