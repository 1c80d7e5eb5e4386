"""Windows over growing evidence, so that an old good record hides no bad sign."""

from __future__ import annotations

from collections import deque
from datetime import timedelta

from banyansail.rollout.evidence import EvidenceCell, EvidenceKey

WINDOWS = (timedelta(seconds=10), timedelta(seconds=60))
SNAPSHOT_INTERVAL = timedelta(seconds=1)

Evidence = dict[EvidenceKey, EvidenceCell]


class EvidenceWindows:
    """Snapshots of merged totals, and the differences between them."""

    __slots__ = ("_snapshots",)

    def __init__(self) -> None:
        self._snapshots: deque[tuple[timedelta, Evidence]] = deque()

    def add(self, evidence: Evidence, now: timedelta) -> None:
        """Take in the merged totals at a time."""
        if self._snapshots and now - self._snapshots[-1][0] < SNAPSHOT_INTERVAL:
            return
        self._snapshots.append((now, evidence))
        horizon = now - max(WINDOWS) - SNAPSHOT_INTERVAL
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= horizon:
            self._snapshots.popleft()

    def recent(self, evidence: Evidence, now: timedelta) -> list[Evidence]:
        """Return what came in each window up to now, and the totals last."""
        windows = [
            subtract(evidence, self._at(now - length))
            for length in WINDOWS
            if self._snapshots and self._snapshots[0][0] <= now - length
        ]
        return [*windows, evidence]

    def _at(self, moment: timedelta) -> Evidence:
        found: Evidence = {}
        for taken_at, evidence in self._snapshots:
            if taken_at > moment:
                break
            found = evidence
        return found


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
        latencies = [
            max(0, count - past)
            for count, past in zip(cell.latencies, before.latencies, strict=True)
        ]
        difference[key] = EvidenceCell(
            cell.good - before.good, cell.failed - before.failed, latencies
        )
    return difference
