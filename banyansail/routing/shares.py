"""Traffic shares of a service's versions during a rollout."""

from __future__ import annotations

from dataclasses import dataclass

from banyansail.utils import hash32

HASH_RANGE = 2**32


@dataclass(slots=True, frozen=True)
class VersionShares:
    """Split of a service's traffic between two versions.

    Parameters
    ----------
    old_version, new_version : str
        Versions of the rollout.
    new_share : float
        Share of the requests, and of the calls in flight, for the new version.
    is_proven : bool
        Whether calls that are not repeatable may go to the new version.
    seeks_evidence : bool
        Whether one call at a time may exceed the share, to collect evidence.
    cap : float
        Maximum share of the calls so far that went to the new version. Random
        selection alone exceeds the share by chance while there are few calls.
    """

    old_version: str
    new_version: str
    new_share: float
    is_proven: bool
    seeks_evidence: bool = False
    cap: float = 1.0

    def selects_new_version(self, request_id: str, *, is_repeatable: bool) -> bool:
        """Return whether a request falls into the new version's share."""
        if not is_repeatable and not self.is_proven:
            return False
        fraction = hash32(request_id) / HASH_RANGE
        return fraction < self.new_share

    def allows_one_more_in_flight(
        self, new_in_flight: int, total_in_flight: int
    ) -> bool:
        """Return whether one more call in flight keeps the new version in its share."""
        if self.new_share >= 1:
            return True
        return new_in_flight <= self.new_share * total_in_flight


class Exposure:
    """Call counts of a rollout, which enforce the cap on the new version's share."""

    __slots__ = ("_new_version", "_new_version_calls", "_total_calls")

    def __init__(self) -> None:
        self._new_version = ""
        self._new_version_calls = 0
        self._total_calls = 0

    def allows(self, shares: VersionShares) -> bool:
        """Return whether one more call to the new version stays within the cap."""
        if shares.cap >= 1:
            return True
        self._reset_on_new_version(shares)
        return self._new_version_calls + 1 <= shares.cap * (self._total_calls + 1)

    def record(self, shares: VersionShares, version: str) -> None:
        """Count a call to a version."""
        self._reset_on_new_version(shares)
        self._total_calls += 1
        self._new_version_calls += version == shares.new_version

    def _reset_on_new_version(self, shares: VersionShares) -> None:
        if shares.new_version != self._new_version:
            self._new_version = shares.new_version
            self._new_version_calls = 0
            self._total_calls = 0
