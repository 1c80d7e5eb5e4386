"""Sliding windows over growing evidence.

Recent windows are judged as well as the whole time, so that a long good record can't
hide a recent regression.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from datetime import timedelta

from banyansail.rollout.evidence import Evidence, EvidenceCell
from banyansail.rollout.tally import Tallies, add_tallies, sum_tallies

ALL_TIME = timedelta.max
WINDOW_LENGTHS = (timedelta(seconds=10), timedelta(seconds=60), ALL_TIME)
MIN_SLICE_LENGTH = timedelta(seconds=2)
MAX_SLICE_LENGTH = timedelta(seconds=30)
MIN_SLICE_CALLS = 40  # a slice with fewer stays open until its maximum length


class EvidenceWindows:
    """Time slices of the evidence, compared one by one and summed over windows.

    Parameters
    ----------
    tally_slice : callable
        Compares the versions, given the evidence of a slice and the totals.
    """

    __slots__ = (
        "_slice_base",
        "_slice_started_at",
        "_slices_by_length",
        "_sum_by_length",
        "_tally_slice",
    )

    def __init__(self, tally_slice: Callable[[Evidence, Evidence], Tallies]) -> None:
        self._tally_slice = tally_slice
        self._slice_base: Evidence = {}
        self._slice_started_at: timedelta | None = None
        self._slices_by_length: dict[timedelta, deque[tuple[timedelta, Tallies]]] = {
            length: deque() for length in WINDOW_LENGTHS
        }
        self._sum_by_length: dict[timedelta, Tallies] = {
            length: {} for length in WINDOW_LENGTHS
        }

    def update(self, totals: Evidence, now: timedelta) -> Iterator[Tallies]:
        """Add the current totals; yield the tallies of each window, all time last."""
        if self._slice_started_at is None:
            self._slice_started_at = now
        difference = subtract_evidence(totals, self._slice_base)
        open_slice = self._tally_slice(difference, totals)
        if self._is_complete(difference, now):
            self._slice_base, self._slice_started_at = totals, now
            self._close_slice(open_slice, now)
            open_slice = {}
        for length, total in self._sum_by_length.items():
            self._expire_slices(length, now)
            yield sum_tallies(total, open_slice)

    def _is_complete(self, difference: Evidence, now: timedelta) -> bool:
        age = now - self._slice_started_at
        if age >= MAX_SLICE_LENGTH:
            return True
        calls = sum(cell.total for cell in difference.values())
        return age >= MIN_SLICE_LENGTH and calls >= MIN_SLICE_CALLS

    def _close_slice(self, tallies: Tallies, now: timedelta) -> None:
        for length, total in self._sum_by_length.items():
            add_tallies(total, tallies)
            if length is not ALL_TIME:
                self._slices_by_length[length].append((now, tallies))

    def _expire_slices(self, length: timedelta, now: timedelta) -> None:
        slices = self._slices_by_length[length]
        while slices and slices[0][0] <= now - length:
            add_tallies(self._sum_by_length[length], slices.popleft()[1], -1)


def subtract_evidence(totals: Evidence, earlier: Evidence) -> Evidence:
    """Return the difference of two totals, without cells that shrank.

    The totals of the fleet do not shrink, see `EvidenceSum`. In a cell that shrank
    nevertheless, new calls can't be told apart from old ones, so it must not be
    judged as new evidence.
    """
    difference: Evidence = {}
    for key, cell in totals.items():
        before = earlier.get(key)
        if before is None:
            difference[key] = cell
            continue
        has_shrunk = before.answered > cell.answered or before.failed > cell.failed
        if has_shrunk or before.total == cell.total:
            continue
        latencies = [
            max(0, count - earlier_count)
            for count, earlier_count in zip(
                cell.latencies, before.latencies, strict=True
            )
        ]
        difference[key] = EvidenceCell(
            cell.answered - before.answered, cell.failed - before.failed, latencies
        )
    return difference
