"""Evidence of all zones, of which each is heard of from one or more routers."""

from __future__ import annotations

from collections.abc import Set

from banyansail.rollout.evidence import (
    Evidence,
    EvidenceCell,
    forget_moves,
    merge_evidence,
)


class ZoneEvidence:
    """Largest totals that were heard of for each zone.

    Two routers may both add up a zone, and each may lack what the other has. The
    larger of two counts is taken, never their sum, so that no call counts twice.
    """

    __slots__ = ("_evidence_by_zone",)

    def __init__(self) -> None:
        self._evidence_by_zone: dict[str, Evidence] = {}

    def raise_to(self, zone: str, evidence: Evidence) -> None:
        """Take in totals of a zone."""
        held = self._evidence_by_zone.setdefault(zone, {})
        for key, cell in evidence.items():
            held.setdefault(key, EvidenceCell()).raise_to(cell)

    def keep_moves(self, moves: Set[int]) -> None:
        """Forget what was counted for other moves."""
        for evidence in self._evidence_by_zone.values():
            forget_moves(evidence, moves)

    def of_zone(self, zone: str) -> Evidence:
        """Return the totals of a zone."""
        return self._evidence_by_zone.get(zone, {})

    def of_move(self, move: int) -> Evidence:
        """Return the sum of a move's evidence over all zones, as a copy."""
        return merge_evidence(
            {key: cell for key, cell in evidence.items() if key.move == move}
            for evidence in self._evidence_by_zone.values()
        )
