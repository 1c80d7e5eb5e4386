"""Deleted objects, which a store that was restored from a copy may have again."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.platform.store_objects import Revision, StoredObject

MAX_DELETED_NAMES = 2000  # that are remembered; the oldest ones are forgotten


class DeletedObjects:
    """Names of deleted objects, and the copies of them that a restore brought back.

    A copy is ignored until the object is written again.
    """

    __slots__ = ("_copy_revision_by_name", "_names")

    def __init__(self) -> None:
        self._names: dict[str, None] = {}  # in the order of deletion
        self._copy_revision_by_name: dict[str, Revision] = {}

    def record(self, name: str) -> None:
        """Record that an object was deleted."""
        self._names[name] = None
        while len(self._names) > MAX_DELETED_NAMES:
            del self._names[next(iter(self._names))]

    def forget(self, name: str) -> None:
        """Forget the deletion of an object that was written again."""
        self._names.pop(name, None)
        self._copy_revision_by_name.pop(name, None)

    def record_restore(self, found_by_name: dict[str, StoredObject]) -> None:
        """Record what the store has after it was restored."""
        self._copy_revision_by_name = {
            name: found_by_name[name].revision
            for name in self._names
            if name in found_by_name
        }

    def without_copies(
        self, found_by_name: dict[str, StoredObject]
    ) -> dict[str, StoredObject]:
        """Return what was found without copies of deleted objects.

        Copies that the store no longer has, or that were written again, are forgotten.
        """
        self._copy_revision_by_name = {
            name: revision
            for name, revision in self._copy_revision_by_name.items()
            if name in found_by_name and found_by_name[name].revision == revision
        }
        return {
            name: stored
            for name, stored in found_by_name.items()
            if name not in self._copy_revision_by_name
        }
