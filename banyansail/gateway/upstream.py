"""Upstreams as they announce themselves."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from banyansail.config.fields import Address


@dataclass(slots=True, frozen=True)
class Upstream:
    """One start of an upstream.

    Parameters
    ----------
    id : str
        Identity; a restart may keep it.
    started_at : int
        Wall time of the start in milliseconds, 0 if it is not told.
    slots : int
        Requests that it runs at once.
    is_leaving : bool
        Whether it takes no new work.
    is_reclaimable : bool
        Whether the platform may take it back.
    time_left : timedelta or None
        Until a leaving upstream is gone, if it says so.
    """

    id: str
    service: str
    address: Address
    zone: str
    version: str
    slots: int
    is_leaving: bool = False
    is_reclaimable: bool = False
    started_at: int = 0
    time_left: timedelta | None = None

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identity of this start."""
        return self.id, self.started_at
