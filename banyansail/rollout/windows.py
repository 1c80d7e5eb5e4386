"""Windows over growing evidence, so that an old good record hides no bad sign."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from datetime import timedelta

from banyansail.rollout.evidence import EvidenceCell
from banyansail.rollout.verdict import Counts, Evidence, Tallies, Tally, sum_tallies

WINDOWS = (timedelta(seconds=10), timedelta(seconds=60))
SLICE = timedelta(seconds=2)
LONGEST_SLICE = timedelta(seconds=30)


class EvidenceWindows:
    """Slices of the evidence, compared one by one and summed over windows.

    Parameters
    ----------
    tally : callable
        Takes the evidence of a slice and the totals; compares the versions.
    has_baseline : callable
        Tells whether the evidence of a slice allows a comparison; the slice is
        kept open for it, but not beyond `LONGEST_SLICE`.
    """

    __slots__ = ("_base", "_base_at", "_has_baseline", "_past", "_slices", "_tally")

    def __init__(
        self,
        tally: Callable[[Evidence, Evidence], Tallies],
        has_baseline: Callable[[Evidence], bool],
    ) -> None:
        self._tally = tally
        self._has_baseline = has_baseline
        self._base: Evidence = {}
        self._base_at: timedelta | None = None
        self._slices: deque[tuple[timedelta, Tallies]] = deque()
        self._past: Tallies = {}

    def take(self, evidence: Evidence, now: timedelta) -> Iterator[Tallies]:
        """Take in the totals; yield the tallies of each window, the whole last."""
        if self._base_at is None:
            self._base_at = now
        difference = subtract(evidence, self._base)
        part = self._tally(difference, evidence)
        age = now - self._base_at
        if age >= LONGEST_SLICE or (age >= SLICE and self._has_baseline(difference)):
            self._close_slice(evidence, part, now)
            part = {}
        for length in WINDOWS:
            recent = [item for at, item in self._slices if at > now - length]
            window = sum_tallies([*recent, part])
            yield window if length == WINDOWS[0] else _without_uncompared(window)
        every = [item for _, item in self._slices]
        yield _without_uncompared(sum_tallies([self._past, *every, part]))

    def _close_slice(self, evidence: Evidence, part: Tallies, now: timedelta) -> None:
        self._base, self._base_at = evidence, now
        self._slices.append((now, part))
        while now - self._slices[0][0] > max(WINDOWS):
            _, oldest = self._slices.popleft()
            self._past = sum_tallies([self._past, oldest])


def _without_uncompared(tallies: Tallies) -> Tallies:
    """Leave out old doubts; only windows that end now may raise one."""
    return {
        name: Tally(tally.compared, Counts(good=tally.uncompared.good))
        for name, tally in tallies.items()
    }


def subtract(evidence: Evidence, earlier: Evidence) -> Evidence:
    """Return the difference of totals; a total that shrank counts from zero.

    Totals shrink when a router that reported them is replaced.
    """
    difference: Evidence = {}
    for key, cell in evidence.items():
        before = earlier.get(key)
        if before is None or before.good > cell.good or before.failed > cell.failed:
            difference[key] = cell
            continue
        if before.total == cell.total:
            continue
        latencies = [
            max(0, count - past)
            for count, past in zip(cell.latencies, before.latencies, strict=True)
        ]
        difference[key] = EvidenceCell(
            cell.good - before.good, cell.failed - before.failed, latencies
        )
    return difference
