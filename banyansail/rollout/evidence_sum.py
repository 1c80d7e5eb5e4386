"""Sum of the evidence of several routers, kept up to date by what has changed."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Set
from dataclasses import dataclass
from typing import TYPE_CHECKING

from banyansail.exceptions import WireError
from banyansail.rollout.evidence import (
    Evidence,
    EvidenceCell,
    forget_moves,
    merge_evidence,
)

if TYPE_CHECKING:
    from banyansail.fleet.entries import Entry


@dataclass(slots=True)
class _Part:
    """Latest totals of one router's process.

    Parameters
    ----------
    version : tuple of int
        Incarnation of the router and sequence of its entry.
    """

    version: tuple[int, int]
    evidence: Evidence


class EvidenceSum:
    """Totals of several routers, added up.

    The sum never shrinks: what a router counted before it was replaced, or fell
    silent, stays in it, and its next process counts from zero on top.

    Parameters
    ----------
    decode : callable
        Decodes the totals of one router.
    """

    __slots__ = ("_decode", "_part_by_name", "_total")

    def __init__(self, decode: Callable[[bytes], Evidence]) -> None:
        self._decode = decode
        self._part_by_name: dict[str, _Part] = {}
        self._total: Evidence = {}

    def update(self, entries: Iterable[Entry]) -> list[tuple[Entry, WireError]]:
        """Take in the totals that are heard of now.

        Returns
        -------
        unreadable : list of (Entry, WireError)
            Entries that can't be decoded; each is returned once.
        """
        unreadable = []
        for entry in entries:
            version = (entry.incarnation, entry.sequence)
            held = self._part_by_name.get(entry.origin)
            if held is not None and held.version >= version:
                continue
            try:
                totals = self._decode(entry.value)
            except WireError as error:
                unreadable.append((entry, error))
                totals = {}
            self._replace(entry.origin, version, totals)
        return unreadable

    def keep_moves(self, moves: Set[int]) -> None:
        """Forget what was counted for other moves."""
        forget_moves(self._total, moves)
        for part in self._part_by_name.values():
            forget_moves(part.evidence, moves)

    def with_own(self, own: Evidence) -> Evidence:
        """Return the sum with a router's own totals, as a copy."""
        return merge_evidence((self._total, own))

    def _replace(self, name: str, version: tuple[int, int], totals: Evidence) -> None:
        held = self._part_by_name.get(name)
        is_same_process = held is not None and held.version[0] == version[0]
        before = held.evidence if is_same_process else {}
        for key, cell in totals.items():
            counted = self._total.setdefault(key, EvidenceCell())
            past = before.get(key)
            if past is not None and past.total <= cell.total:
                counted.add(past, -1)
            counted.add(cell)
        self._part_by_name[name] = _Part(version, {**before, **totals})
