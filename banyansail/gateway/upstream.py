"""Description of an upstream, as it registers itself in the store."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.config.fields import Address

if TYPE_CHECKING:
    from banyansail.platform.store_objects import Revision


@dataclass(slots=True, frozen=True)
class Upstream:
    """One incarnation of an upstream process.

    Parameters
    ----------
    id : str
        Identifier; a restarted upstream may keep it.
    started_at : int
        Wall-clock start time in milliseconds, 0 if unknown.
    slots : int
        Requests that it runs concurrently.
    is_leaving : bool
        Whether it is draining and accepts no new requests.
    is_reclaimable : bool
        Whether the platform may reclaim its instance.
    time_left : timedelta or None
        Time until a draining upstream stops, if announced.
    is_cold : bool
        Whether it has just started and is slower than later.
    cold_left : timedelta
        Time for which it stays cold, as of the writing of its entry.
    entry_revision : Revision or None
        Revision of its entry, if it was read from the store.
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
    is_cold: bool = False
    cold_left: timedelta = timedelta(0)
    entry_revision: Revision | None = None

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identifier and start time, unique to this process."""
        return self.id, self.started_at

    @property
    def incarnation_name(self) -> str:
        """Name of this process in what routers tell each other."""
        return f"{self.id}@{self.started_at}"
