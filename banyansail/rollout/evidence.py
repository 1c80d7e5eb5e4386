"""Evidence about versions: call counts and latency histograms that can be merged.

Each router keeps totals of its own traffic; the fleet's evidence is their sum.
"""

from __future__ import annotations

from collections.abc import Iterable, Set
from dataclasses import dataclass, field
from datetime import timedelta

LATENCY_BUCKETS = 32
BUCKETS_PER_DOUBLING = 2
FIRST_BUCKET_LIMIT = timedelta(milliseconds=1)
LOAD_BAND_EDGES = (2, 8)  # in-flight calls at the upstream: low, middle, high
MAX_CELLS = 512


@dataclass(slots=True, frozen=True)
class EvidenceKey:
    """Dimensions by which calls are counted.

    Parameters
    ----------
    load_band : int
        0 for low, 1 for middle, 2 for high load at the upstream.
    move_number : int
        Number of the move, see `move_number`; a second attempt with the same
        versions has another.
    """

    service: str
    version: str
    route: str
    workspace: str
    load_band: int
    move_number: int = 0


@dataclass(slots=True)
class EvidenceCell:
    """Counts under one key.

    Parameters
    ----------
    answered, failed : int
        Calls that were answered, and calls that failed.
    latencies : list of int
        Count of the answered calls by latency bucket.
    """

    answered: int = 0
    failed: int = 0
    latencies: list[int] = field(default_factory=lambda: [0] * LATENCY_BUCKETS)

    @property
    def total(self) -> int:
        """Number of all calls."""
        return self.answered + self.failed

    def add(self, other: EvidenceCell, sign: int = 1) -> None:
        """Add the counts of another cell, or subtract them with a sign of -1."""
        self.answered += sign * other.answered
        self.failed += sign * other.failed
        for index, count in enumerate(other.latencies[:LATENCY_BUCKETS]):
            self.latencies[index] += sign * count

    def merge_max(self, other: EvidenceCell) -> None:
        """Raise each count to the larger of both; totals of one source only grow."""
        self.answered = max(self.answered, other.answered)
        self.failed = max(self.failed, other.failed)
        for index, count in enumerate(other.latencies[:LATENCY_BUCKETS]):
            self.latencies[index] = max(self.latencies[index], count)

    def count_slower_than(self, limit: timedelta) -> int:
        """Return how many answered calls were slower than a limit, by buckets."""
        return sum(self.latencies[latency_bucket(limit) + 1 :])


Evidence = dict[EvidenceKey, EvidenceCell]


def latency_bucket(latency: timedelta) -> int:
    """Return the bucket of a latency; bucket limits grow by the square root of two."""
    ratio = latency / FIRST_BUCKET_LIMIT
    bucket = 0
    edge = 1.0
    while ratio > edge and bucket < LATENCY_BUCKETS - 1:
        edge *= 2 ** (1 / BUCKETS_PER_DOUBLING)
        bucket += 1
    return bucket


def load_band(in_flight: int) -> int:
    """Return the load band of an upstream, given its calls in flight."""
    return sum(in_flight > edge for edge in LOAD_BAND_EDGES)


def merge_evidence(parts: Iterable[Evidence]) -> Evidence:
    """Return the sum of the evidence of several routers."""
    merged: Evidence = {}
    for part in parts:
        for key, cell in part.items():
            merged.setdefault(key, EvidenceCell()).add(cell)
    return merged


def retain_moves(evidence: Evidence, move_numbers: Set[int]) -> None:
    """Remove the cells of all other moves."""
    for key in [key for key in evidence if key.move_number not in move_numbers]:
        del evidence[key]


class EvidenceRecorder:
    """Totals of this router's traffic for the services that have an active move."""

    __slots__ = ("cell_by_key", "is_changed", "move_number_by_service")

    def __init__(self) -> None:
        self.cell_by_key: Evidence = {}
        self.move_number_by_service: dict[str, int] = {}
        self.is_changed = False

    def set_moves(self, move_number_by_service: dict[str, int]) -> None:
        """Set the active moves and remove the evidence of all others."""
        if move_number_by_service == self.move_number_by_service:
            return
        self.move_number_by_service = move_number_by_service
        self.cell_by_key = {
            key: cell
            for key, cell in self.cell_by_key.items()
            if move_number_by_service.get(key.service) == key.move_number
        }
        self.is_changed = True

    def record(
        self,
        service: str,
        version: str,
        route: str,
        workspace: str,
        *,
        succeeded: bool,
        latency: timedelta,
        in_flight: int,
    ) -> None:
        """Count one call, if its service has an active move."""
        move_number = self.move_number_by_service.get(service)
        if move_number is None:
            return
        key = EvidenceKey(
            service, version, route, workspace, load_band(in_flight), move_number
        )
        cell = self.cell_by_key.get(key)
        if cell is None:
            if len(self.cell_by_key) >= MAX_CELLS:
                return
            cell = self.cell_by_key[key] = EvidenceCell()
        self.is_changed = True
        if not succeeded:
            cell.failed += 1
            return
        cell.answered += 1
        cell.latencies[latency_bucket(latency)] += 1
