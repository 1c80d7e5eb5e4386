"""A store in memory, with the platform's rules of revisions."""

from __future__ import annotations

from banyansail.exceptions import PlatformUnavailableError, StoreConflictError
from banyansail.platform.store import StoredObject


class FakeStore:
    """Objects by kind and name; `is_down` makes each call fail."""

    def __init__(self) -> None:
        self.revision = 0
        self.object_by_key: dict[tuple[str, str], StoredObject] = {}
        self.is_down = False
        self.calls = 0

    def _reach(self) -> None:
        self.calls += 1
        if self.is_down:
            raise PlatformUnavailableError("down")

    def _put(self, kind, name, spec, status=None) -> StoredObject:
        held = self.object_by_key.get((kind, name))
        if held is not None and (held.spec, held.status) == (spec, status):
            return held  # nothing changes, and no revision is used
        self.revision += 1
        stored = StoredObject(name, self.revision, spec, status)
        self.object_by_key[kind, name] = stored
        return stored

    async def list(self, kind, *, serializable=False):
        self._reach()
        found = [
            stored for (held, _), stored in self.object_by_key.items() if held == kind
        ]
        return self.revision, found

    async def get(self, kind, name, *, serializable=False):
        self._reach()
        return self.object_by_key.get((kind, name))

    async def create(self, kind, name, spec):
        self._reach()
        if (kind, name) in self.object_by_key:
            raise StoreConflictError(f"{kind}/{name} exists")
        return self._put(kind, name, spec)

    async def replace(self, kind, name, spec, expected):
        self._reach()
        held = self.object_by_key.get((kind, name))
        if held is None or held.revision != expected:
            raise StoreConflictError(f"{kind}/{name}")
        return self._put(kind, name, spec, held.status)

    async def set_status(self, kind, name, status, expected):
        self._reach()
        held = self.object_by_key.get((kind, name))
        if held is None or held.revision != expected:
            raise StoreConflictError(f"{kind}/{name}")
        return self._put(kind, name, held.spec, status)
