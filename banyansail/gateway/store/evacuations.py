"""Evacuated data centres, as the store and the other routers name them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.fleet.entries import EvacuationMark
from banyansail.log import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from banyansail.fleet.entries import Member
    from banyansail.platform.store_objects import Revision

MAX_MARKS = 64  # data centres whose ends are remembered; more than a fleet has


class Evacuations:
    """Keeps which data centres are evacuated; of each, the newest mark decides.

    A mark is in force or has ended, as of a revision of the store. A list or watch of
    the store says so of all data centres at once.

    Parameters
    ----------
    on_change : callable
        Called after a mark has changed, or once the evacuations are known at first.
    """

    def __init__(self, on_change: Callable[[], None]) -> None:
        self._on_change = on_change
        self._mark_by_zone: dict[str, EvacuationMark] = {}
        self._revision_by_zone: dict[str, Revision] = {}  # of the store's entries
        self._listed_at: Revision | None = None  # of the last list or watch
        self.is_known = False  # from the store, or from a router that knew them

    @property
    def zones(self) -> frozenset[str]:
        """Data centres that get no new requests."""
        return frozenset(
            mark.zone for mark in self._mark_by_zone.values() if mark.is_in_force
        )

    def marks(self) -> tuple[EvacuationMark, ...]:
        """Return the marks for the other routers, sorted by data centre."""
        return tuple(mark for _, mark in sorted(self._mark_by_zone.items()))

    def apply_store(
        self, revision_by_zone: Mapping[str, Revision], listed_at: Revision | None
    ) -> None:
        """Apply the store's entries as of a revision."""
        if listed_at is None:
            return
        self._revision_by_zone = dict(revision_by_zone)
        self._listed_at = listed_at
        self._update((), "store")

    def merge(self, member: Member, source: str) -> None:
        """Apply the marks of another router."""
        self._update(member.evacuations, source, is_known=member.is_ready)

    def _update(
        self, marks: Iterable[EvacuationMark], source: str, *, is_known: bool = True
    ) -> None:
        before, was_known = dict(self._mark_by_zone), self.is_known
        self.is_known |= is_known
        for mark in (*marks, *self._store_marks()):
            self._put(mark)
        for mark in self._ended_marks():
            self._put(mark)
        for zone, mark in self._mark_by_zone.items():
            self._log_change(before.get(zone), mark, source)
        if self._mark_by_zone != before or self.is_known != was_known:
            self._on_change()

    def _store_marks(self) -> list[EvacuationMark]:
        return [
            EvacuationMark(zone, revision.era, revision.number, is_in_force=True)
            for zone, revision in self._revision_by_zone.items()
        ]

    def _ended_marks(self) -> list[EvacuationMark]:
        """Return marks of data centres whose entry the store no longer had."""
        at = self._listed_at
        if at is None:
            return []
        return [
            EvacuationMark(mark.zone, at.era, at.number, is_in_force=False)
            for mark in self._mark_by_zone.values()
            if mark.is_in_force
            and mark.zone not in self._revision_by_zone
            and (mark.era, mark.revision) <= (at.era, at.number)
        ]

    def _put(self, mark: EvacuationMark) -> None:
        known = self._mark_by_zone.get(mark.zone)
        if known is None or mark.precedence > known.precedence:
            self._mark_by_zone[mark.zone] = mark
            self._forget_old_ends()

    def _forget_old_ends(self) -> None:
        ended = [mark for mark in self._mark_by_zone.values() if not mark.is_in_force]
        if ended and len(self._mark_by_zone) > MAX_MARKS:
            oldest = min(ended, key=lambda mark: mark.precedence)
            del self._mark_by_zone[oldest.zone]

    def _log_change(
        self, before: EvacuationMark | None, mark: EvacuationMark, source: str
    ) -> None:
        was_in_force = before is not None and before.is_in_force
        if mark.is_in_force is was_in_force:
            return
        log_event(
            "evacuation_in_force" if mark.is_in_force else "evacuation_ended",
            zone=mark.zone,
            source=source,
            era=mark.era,
            revision=mark.revision,
        )
