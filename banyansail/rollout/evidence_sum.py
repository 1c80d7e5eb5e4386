"""Sum of the evidence of several routers, updated incrementally."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Set
from dataclasses import dataclass
from typing import TYPE_CHECKING

from banyansail.exceptions import WireError
from banyansail.rollout.evidence import (
    Evidence,
    EvidenceCell,
    merge_evidence,
    retain_moves,
)

if TYPE_CHECKING:
    from banyansail.fleet.entries import Entry


@dataclass(slots=True)
class _RouterTotals:
    """Latest totals of one router process.

    Parameters
    ----------
    entry_version : tuple of int
        Incarnation of the router and sequence of its entry.
    """

    entry_version: tuple[int, int]
    evidence: Evidence


class EvidenceSum:
    """Sum of the totals of several routers.

    The sum never shrinks: what a router counted before it was replaced or became
    unreachable stays included, and its next process starts counting at zero on top.

    Parameters
    ----------
    decode : callable
        Decodes the totals of one router.
    """

    __slots__ = ("_decode", "_sum", "_totals_by_router")

    def __init__(self, decode: Callable[[bytes], Evidence]) -> None:
        self._decode = decode
        self._totals_by_router: dict[str, _RouterTotals] = {}
        self._sum: Evidence = {}

    def merge_entries(self, entries: Iterable[Entry]) -> list[tuple[Entry, WireError]]:
        """Merge the latest totals received from routers.

        Returns
        -------
        unreadable : list of (Entry, WireError)
            Entries that can't be decoded; each is returned once.
        """
        unreadable = []
        for entry in entries:
            entry_version = (entry.incarnation, entry.sequence)
            current = self._totals_by_router.get(entry.origin)
            if current is not None and current.entry_version >= entry_version:
                continue
            try:
                totals = self._decode(entry.value)
            except WireError as error:
                unreadable.append((entry, error))
                totals = {}
            self._replace_totals(entry.origin, entry_version, totals)
        return unreadable

    def retain_moves(self, move_numbers: Set[int]) -> None:
        """Remove the counts of all other moves."""
        retain_moves(self._sum, move_numbers)
        for totals in self._totals_by_router.values():
            retain_moves(totals.evidence, move_numbers)

    def sum_with(self, own_totals: Evidence) -> Evidence:
        """Return the sum including a router's own totals, as a copy."""
        return merge_evidence((self._sum, own_totals))

    def _replace_totals(
        self, router: str, entry_version: tuple[int, int], totals: Evidence
    ) -> None:
        current = self._totals_by_router.get(router)
        is_same_process = (
            current is not None and current.entry_version[0] == entry_version[0]
        )
        earlier_totals = current.evidence if is_same_process else {}
        for key, cell in totals.items():
            sum_cell = self._sum.setdefault(key, EvidenceCell())
            earlier_cell = earlier_totals.get(key)
            # A cell with fewer calls than before restarted at zero; both counts add up.
            if earlier_cell is not None and earlier_cell.total <= cell.total:
                sum_cell.add(earlier_cell, -1)
            sum_cell.add(cell)
        self._totals_by_router[router] = _RouterTotals(
            entry_version, {**earlier_totals, **totals}
        )
