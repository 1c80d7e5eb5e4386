"""Shares of a service's versions, and the version that a request may go to."""

from __future__ import annotations

from dataclasses import dataclass

from banyansail.utils import hash32

HASH_RANGE = 2**32


@dataclass(slots=True, frozen=True)
class VersionShares:
    """How a service's traffic is split between two versions.

    Parameters
    ----------
    old_version, new_version : str
        Versions of the move.
    new_share : float
        Share of the requests, and of the calls in flight, for the new version.
    proven : bool
        Whether calls that may not be repeated may meet the new version.
    seeks_evidence : bool
        Whether one call at a time may go beyond the share.
    """

    old_version: str
    new_version: str
    new_share: float
    proven: bool
    seeks_evidence: bool = False

    def draws_new(self, request_id: str, *, repeatable: bool) -> bool:
        """Tell whether a request falls into the new version's share."""
        if not repeatable and not self.proven:
            return False
        drawn = hash32(request_id) / HASH_RANGE
        return drawn < self.new_share

    def allows_in_flight(self, new_in_flight: int, total_in_flight: int) -> bool:
        """Tell whether one more call in flight keeps the new version in its share."""
        if self.new_share >= 1:
            return True
        return new_in_flight <= self.new_share * total_in_flight
