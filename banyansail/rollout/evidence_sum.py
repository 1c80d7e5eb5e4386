"""Sum of the evidence of all routers, kept up to date by what has changed."""

from __future__ import annotations

from collections.abc import Callable

from banyansail.rollout.evidence import EvidenceCell, EvidenceKey

Evidence = dict[EvidenceKey, EvidenceCell]


class EvidenceSum:
    """Totals of other routers, added up.

    The sum never shrinks: what a router counted before it was replaced, or fell
    silent, stays in it, and its next process counts from zero on top.

    Parameters
    ----------
    decode : callable
        Decodes the totals of one router.
    """

    __slots__ = ("_decode", "_part_by_name", "_total", "_value_by_name")

    def __init__(self, decode: Callable[[bytes], Evidence]) -> None:
        self._decode = decode
        self._value_by_name: dict[str, bytes] = {}
        self._part_by_name: dict[str, Evidence] = {}
        self._total: Evidence = {}

    def update(self, value_by_name: dict[str, bytes]) -> None:
        """Take in the totals that are heard of now, by router."""
        for name, value in value_by_name.items():
            if self._value_by_name.get(name) != value:
                self._value_by_name[name] = value
                self._replace(name, self._decode(value))

    def with_own(self, own: Evidence) -> Evidence:
        """Return the sum with a router's own totals, as a copy."""
        merged: Evidence = {}
        for part in (self._total, own):
            for key, cell in part.items():
                merged.setdefault(key, EvidenceCell()).add(cell)
        return merged

    def _replace(self, name: str, part: Evidence) -> None:
        before = self._part_by_name.get(name, {})
        if _continues(before, part):
            self._add(before, -1)
        self._add(part, 1)
        self._part_by_name[name] = part

    def _add(self, part: Evidence, sign: int) -> None:
        for key, cell in part.items():
            self._total.setdefault(key, EvidenceCell()).add(cell, sign)


def _continues(before: Evidence, part: Evidence) -> bool:
    """Tell whether totals go on from earlier ones, and do not begin anew."""
    return all(
        key in part and part[key].total >= cell.total for key, cell in before.items()
    )
