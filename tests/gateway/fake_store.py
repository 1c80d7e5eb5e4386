"""In-memory store with the revision rules of the platform's store."""

from __future__ import annotations

from dataclasses import replace

from banyansail.exceptions import PlatformUnavailableError, StoreConflictError
from banyansail.platform.store_objects import Revision, StoredObject


class FakeStore:
    """Objects by kind and name; every call fails while `is_down` is set."""

    def __init__(self) -> None:
        self.revision = 0
        self.era = 0
        self.object_by_key: dict[tuple[str, str], StoredObject] = {}
        self.is_down = False
        self.calls = 0

    def copy(self) -> tuple[int, dict]:
        """Return a copy of the store's content to restore it from."""
        return self.revision, dict(self.object_by_key)

    def restore(self, copy: tuple[int, dict]) -> None:
        """Return to an earlier copy; revisions after it are given out again."""
        self.era += 1
        self.revision, objects = copy
        self.object_by_key = {
            key: replace(item, revision=Revision(self.era, item.revision.number))
            for key, item in objects.items()
        }

    def _check_reachable(self) -> None:
        self.calls += 1
        if self.is_down:
            raise PlatformUnavailableError("down")

    def _put(self, kind, name, spec, status=None) -> StoredObject:
        current = self.object_by_key.get((kind, name))
        if current is not None and (current.spec, current.status) == (spec, status):
            return current  # without a change, the revision stays the same
        self.revision += 1
        revision = Revision(self.era, self.revision)
        created = self.revision if current is None else current.created_revision
        stored = StoredObject(name, revision, spec, status, created)
        self.object_by_key[kind, name] = stored
        return stored

    async def list(self, kind, *, serializable=False):
        self._check_reachable()
        found = [
            stored
            for (stored_kind, _), stored in self.object_by_key.items()
            if stored_kind == kind
        ]
        return Revision(self.era, self.revision), found

    async def get(self, kind, name, *, serializable=False):
        self._check_reachable()
        return self.object_by_key.get((kind, name))

    async def create(self, kind, name, spec):
        self._check_reachable()
        if (kind, name) in self.object_by_key:
            raise StoreConflictError(f"{kind}/{name} exists")
        return self._put(kind, name, spec)

    async def replace(self, kind, name, spec, expected):
        self._check_reachable()
        current = self.object_by_key.get((kind, name))
        if current is None or current.revision != expected:
            raise StoreConflictError(f"{kind}/{name}")
        return self._put(kind, name, spec, current.status)

    async def set_status(self, kind, name, status, expected):
        self._check_reachable()
        current = self.object_by_key.get((kind, name))
        if current is None or current.revision != expected:
            raise StoreConflictError(f"{kind}/{name}")
        return self._put(kind, name, current.spec, status)

    async def delete(self, kind, name):
        self._check_reachable()
        self.object_by_key.pop((kind, name), None)
