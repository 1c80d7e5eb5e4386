"""Entries that the store lost, perhaps only because of an outage."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.gateway.store.outage import RETURN_GRACE

if TYPE_CHECKING:
    from datetime import timedelta

    from banyansail.clock import Clock
    from banyansail.gateway.store.outage import Outage


class LapsedEntries:
    """Names of lapsed entries; each is kept for `RETURN_GRACE`.

    Parameters
    ----------
    clock : Clock
        Source of time.
    outage : Outage
        Outage that may have expired them.
    """

    __slots__ = ("_clock", "_lapsed_at", "_outage")

    def __init__(self, clock: Clock, outage: Outage) -> None:
        self._clock = clock
        self._outage = outage
        self._lapsed_at: dict[str, timedelta] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """Names in the order in which they lapsed."""
        return tuple(self._lapsed_at)

    def __contains__(self, name: str) -> bool:
        """Return whether an entry is lapsed."""
        return name in self._lapsed_at

    def add(self, name: str) -> None:
        """Record that an entry lapsed; the first time counts."""
        self._lapsed_at.setdefault(name, self._outage.lapse_start())

    def discard(self, name: str) -> None:
        """Record that an entry returned, or that it is gone."""
        self._lapsed_at.pop(name, None)

    def expired_names(self) -> list[str]:
        """Return the entries that did not return within `RETURN_GRACE`."""
        now = self._clock.monotonic()
        return [
            name
            for name, lapsed_at in self._lapsed_at.items()
            if now - lapsed_at >= RETURN_GRACE
        ]
