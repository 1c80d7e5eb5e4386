"""Windows over growing evidence, so that an old good record hides no bad sign."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from datetime import timedelta

from banyansail.rollout.evidence import Evidence, EvidenceCell
from banyansail.rollout.verdict import Tallies, add_tallies, joined_tallies

WHOLE = timedelta.max
WINDOWS = (timedelta(seconds=10), timedelta(seconds=60), WHOLE)
SLICE = timedelta(seconds=2)
LONGEST_SLICE = timedelta(seconds=30)
SLICE_CALLS = 40  # a slice is kept open for so many, but not beyond the longest


class EvidenceWindows:
    """Slices of the evidence, compared one by one and summed over windows.

    Parameters
    ----------
    tally : callable
        Takes the evidence of a slice and the totals; compares the versions.
    """

    __slots__ = ("_base", "_base_at", "_slices_by_length", "_sum_by_length", "_tally")

    def __init__(self, tally: Callable[[Evidence, Evidence], Tallies]) -> None:
        self._tally = tally
        self._base: Evidence = {}
        self._base_at: timedelta | None = None
        self._slices_by_length: dict[timedelta, deque[tuple[timedelta, Tallies]]] = {
            length: deque() for length in WINDOWS
        }
        self._sum_by_length: dict[timedelta, Tallies] = {
            length: {} for length in WINDOWS
        }

    def take(self, evidence: Evidence, now: timedelta) -> Iterator[Tallies]:
        """Take in the totals; yield the tallies of each window, the whole last."""
        if self._base_at is None:
            self._base_at = now
        difference = subtract(evidence, self._base)
        part = self._tally(difference, evidence)
        if self._is_complete(difference, now):
            self._base, self._base_at = evidence, now
            self._close_slice(part, now)
            part = {}
        for length, total in self._sum_by_length.items():
            self._drop_old_slices(length, now)
            yield joined_tallies(total, part)

    def _is_complete(self, difference: Evidence, now: timedelta) -> bool:
        age = now - self._base_at
        if age >= LONGEST_SLICE:
            return True
        calls = sum(cell.total for cell in difference.values())
        return age >= SLICE and calls >= SLICE_CALLS

    def _close_slice(self, part: Tallies, now: timedelta) -> None:
        for length, total in self._sum_by_length.items():
            add_tallies(total, part)
            if length is not WHOLE:
                self._slices_by_length[length].append((now, part))

    def _drop_old_slices(self, length: timedelta, now: timedelta) -> None:
        slices = self._slices_by_length[length]
        while slices and slices[0][0] <= now - length:
            add_tallies(self._sum_by_length[length], slices.popleft()[1], -1)


def subtract(evidence: Evidence, earlier: Evidence) -> Evidence:
    """Return the difference of totals; one that shrank has none.

    The totals of the fleet do not shrink, see `EvidenceSum`; a difference that can't
    be told apart from old counts must not be judged as new ones.
    """
    difference: Evidence = {}
    for key, cell in evidence.items():
        before = earlier.get(key)
        if before is None:
            difference[key] = cell
            continue
        has_shrunk = before.good > cell.good or before.failed > cell.failed
        if has_shrunk or before.total == cell.total:
            continue
        latencies = [
            max(0, count - past)
            for count, past in zip(cell.latencies, before.latencies, strict=True)
        ]
        difference[key] = EvidenceCell(
            cell.good - before.good, cell.failed - before.failed, latencies
        )
    return difference
