"""Removals of objects of one kind, for routers that know an earlier revision."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.platform.store_objects import Revision

MAX_REMOVALS = 2000  # that are remembered; the oldest ones are forgotten


class RemovalHistory:
    """Names that the store no longer has; all removals since `start` are known."""

    __slots__ = ("_revision_by_name", "start")

    def __init__(self) -> None:
        self.start: Revision | None = None
        # The first revision without the name, in the order of removal.
        self._revision_by_name: dict[str, Revision] = {}

    def restart(self, revision: Revision) -> None:
        """Begin again at a list of all objects, as it has no removals."""
        self.start = revision
        self._revision_by_name.clear()

    def record(self, name: str, revision: Revision) -> None:
        """Record that a revision is the first one without a name."""
        self._revision_by_name.pop(name, None)
        self._revision_by_name[name] = revision
        while len(self._revision_by_name) > MAX_REMOVALS:
            oldest = next(iter(self._revision_by_name))
            self.start = self._revision_by_name.pop(oldest)

    def forget(self, name: str) -> None:
        """Forget the removal of a name that was written again."""
        self._revision_by_name.pop(name, None)

    def covers(self, known: Revision | None) -> bool:
        """Return whether all removals since a revision are known."""
        return known is not None and self.start is not None and known >= self.start

    def names_since(self, known: Revision) -> list[str]:
        """Return the names that were removed after a revision."""
        return [
            name
            for name, revision in self._revision_by_name.items()
            if revision > known
        ]
