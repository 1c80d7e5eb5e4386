"""Stand-in of the platform's store and of its cloud API, after the users' pages."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from review.web_2 import Message, Server, encode_json

if TYPE_CHECKING:
    from collections.abc import Callable

PREFIX = "/v1/objects/"
PAGE = 500


@dataclass(slots=True)
class Store:
    """Objects by kind and name, with their history.

    Parameters
    ----------
    note : callable
        Records what is worth a line in the record.
    """

    note: Callable[..., None]
    revision: int = 1
    objects: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    events: list[tuple[int, str, dict[str, Any], bool]] = field(default_factory=list)
    server: Server | None = None
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self, host: str, port: int) -> None:
        """Listen for the calls of the system."""
        self.server = Server(self._answer)
        await self.server.start(host, port)

    def put(self, kind: str, name: str, **parts: Any) -> dict[str, Any]:
        """Write parts of an object; a write that changes nothing has no effect."""
        known = self.objects.get((kind, name))
        before = {} if known is None else known
        value = {
            "spec": before.get("spec"),
            "status": before.get("status"),
            **parts,
        }
        if known is not None and all(known.get(key) == value[key] for key in value):
            return known
        self.revision += 1
        created = before["metadata"]["created"] if before else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"metadata": metadata, **value}
        self.objects[kind, name] = stored
        self._publish(kind, stored, is_deleted=False)
        return stored

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            self._publish(kind, stored, is_deleted=True)

    def _publish(self, kind: str, stored: dict[str, Any], *, is_deleted: bool) -> None:
        self.events.append((self.revision, kind, stored, is_deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        if not request.path.startswith(PREFIX):
            self.note(
                "duty",
                path=request.path,
                fence=request.get("x-fence-token"),
                body=request.json(),
            )
            writer.write(encode_json(200, {}))
            return True
        kind, _, name = request.path.removeprefix(PREFIX).partition("/")
        if request.method == "GET":
            status, body = await self._read(request, kind, name)
        else:
            status, body = self._write(request, kind, name)
        writer.write(encode_json(status, body))
        return True

    async def _read(self, request: Message, kind: str, name: str) -> tuple[int, Any]:
        if name:
            stored = self.objects.get((kind, name))
            return (200, stored) if stored else (404, {})
        if "watch" in request.query:
            return await self._watch(request, kind)
        after = request.query.get("afterRev", "")
        names = sorted(key[1] for key in self.objects if key[0] == kind)
        names = [item for item in names if item > after]
        items = [self.objects[kind, item] for item in names[:PAGE]]
        more = len(names) > PAGE
        return 200, {"items": items, "hasMore": more, "at": self.revision}

    async def _watch(self, request: Message, kind: str) -> tuple[int, Any]:
        since = int(request.query["watch"])
        ends_at = asyncio.get_running_loop().time()
        ends_at += int(request.query.get("waitMs", "0")) / 1000
        while True:
            found = [
                {"object": stored, "deleted": is_deleted}
                for revision, changed, stored, is_deleted in self.events
                if changed == kind and revision > since
            ]
            left = ends_at - asyncio.get_running_loop().time()
            if found or left <= 0:
                return 200, {"events": found, "at": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _write(self, request: Message, kind: str, name: str) -> tuple[int, Any]:
        body = request.json() or {}
        part = "spec"
        if name.endswith("/status"):
            name, part = name.removesuffix("/status"), "status"
        name = name or body["metadata"]["name"]
        known = self.objects.get((kind, name))
        if request.method == "POST" and known is not None:
            return 409, known
        if request.method != "POST" and known is None:
            return 404, {}
        expected = (body.get("metadata") or {}).get("revision")
        expected = expected or request.query.get("revision")
        if expected and int(expected) != known["metadata"]["revision"]:
            return 409, known
        if request.method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        return 200, self.put(kind, name, **{part: body.get(part)})
