"""Stand-in for the platform's store and its cloud API, after PROTOCOL.md.

`Store.restore` plays the drill that the later letters describe.
"""

from __future__ import annotations

import asyncio
import copy
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote

from review.http import Answer, Message, Server

OBJECTS = "/v1/objects/"
ANSWER_TIME_S = 0.004
HISTORY = 20000
Objects = dict[tuple[str, str], dict[str, Any]]


@dataclass(slots=True)
class StoreCopy:
    """What the store held at some moment."""

    taken_at: float
    revision: int
    objects: Objects


@dataclass(slots=True)
class DutyCall:
    """A call of the cloud API, as the platform accepted it."""

    at: float
    path: str
    holder: str
    token: int
    body: dict[str, Any]


@dataclass(slots=True)
class Store:
    """Store and cloud API; both are served on one address here."""

    revision: int = 1
    era: int = 1
    objects: Objects = field(default_factory=dict)
    events: list[tuple[int, str, dict[str, Any], bool]] = field(default_factory=list)
    first_revision: int = 0
    is_away: bool = False
    calls: list[DutyCall] = field(default_factory=list)
    on_call: Callable[[DutyCall], None] = lambda call: None
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def server(self) -> Server:
        """Return a server of this store."""
        return Server(self.handle)

    def put(self, kind: str, name: str, **parts: Any) -> dict[str, Any]:
        """Write parts of an object; what changes nothing has no effect."""
        known = self.objects.get((kind, name))
        base = known or {"spec": None, "status": None}
        updated = {"spec": base["spec"], "status": base["status"], **parts}
        if known and all(known[key] == updated[key] for key in updated):
            return known
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": known["metadata"]["created"] if known else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"metadata": metadata, **copy.deepcopy(updated)}
        self.objects[kind, name] = stored
        self._publish(kind, stored, is_deleted=False)
        return stored

    def delete(self, kind: str, name: str) -> None:
        """Remove an object, if there is one."""
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            self._publish(kind, stored, is_deleted=True)

    def _publish(self, kind: str, stored: dict[str, Any], *, is_deleted: bool) -> None:
        self.events.append((self.revision, kind, stored, is_deleted))
        while len(self.events) > HISTORY:
            self.first_revision = self.events.pop(0)[0]
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def copy(self) -> StoreCopy:
        """Return a copy of the present content."""
        return StoreCopy(time.time(), self.revision, copy.deepcopy(self.objects))

    def go_away(self) -> None:
        """Refuse all calls from now on, and cut off the watches."""
        self.is_away = True
        self._wake()

    def restore(self, earlier: StoreCopy) -> None:
        """Come back from a copy: later revisions are gone and are given out again."""
        self.era += 1
        self.revision = self.first_revision = earlier.revision
        self.objects = copy.deepcopy(earlier.objects)
        self.events = []
        self.is_away = False
        self._wake()

    async def handle(self, request: Message) -> Answer:
        """Answer one call."""
        await asyncio.sleep(ANSWER_TIME_S)
        method, target = request.start[0], request.start[1]
        path, _, query = target.partition("?")
        if path in ("/usage", "/scale"):
            return self._accept_duty(path, request)
        if self.is_away:
            answer = Answer(503)
        elif method == "GET":
            arguments = {name: values[0] for name, values in parse_qs(query).items()}
            answer = await self._read(path, arguments)
        else:
            answer = self._write(method, path, query, request)
        answer.headers["Store-Era"] = str(self.era)
        return answer

    def _accept_duty(self, path: str, request: Message) -> Answer:
        call = DutyCall(
            time.time(),
            path,
            request.headers.get("x-duty-holder", ""),
            int(request.headers.get("x-fence-token", "0")),
            request.json(),
        )
        self.calls.append(call)
        self.on_call(call)
        return Answer.of_json({})

    async def _read(self, path: str, arguments: dict[str, str]) -> Answer:
        kind, _, name = path.removeprefix(OBJECTS).partition("/")
        if name:
            stored = self.objects.get((kind, unquote(name)))
            return Answer.of_json(stored or {}, 200 if stored else 404)
        if "watch" in arguments:
            return await self._watch(kind, arguments)
        items = [
            self.objects[key]
            for key in sorted(self.objects)
            if key[0] == kind and key[1] > arguments.get("afterRev", "")
        ]
        body = {"items": items[:500], "hasMore": len(items) > 500, "at": self.revision}
        return Answer.of_json(body)

    async def _watch(self, kind: str, arguments: dict[str, str]) -> Answer:
        since, era = int(arguments["watch"]), self.era
        deadline = time.monotonic() + int(arguments.get("waitMs", "0")) / 1000
        while True:
            if self.is_away:
                return Answer(body=None)
            if era != self.era or not self.first_revision <= since <= self.revision:
                return Answer.of_json({}, 410)
            events = [
                {"object": stored, "deleted": is_deleted}
                for revision, event_kind, stored, is_deleted in self.events
                if event_kind == kind and revision > since
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return Answer.of_json({"events": events, "at": self.revision})
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass

    def _write(self, method: str, path: str, query: str, request: Message) -> Answer:
        kind, _, rest = path.removeprefix(OBJECTS).partition("/")
        body = request.json()
        metadata = body.get("metadata") or {}
        part = "spec"
        if method == "PUT" and rest.endswith("/status"):
            part, rest = "status", rest.removesuffix("/status")
        name = unquote(rest) or metadata["name"]
        known = self.objects.get((kind, name))
        if method == "POST":
            if known is not None:
                return Answer.of_json(known, 409)
            return Answer.of_json(self.put(kind, name, spec=body.get("spec")))
        if known is None:
            return Answer.of_json({}, 404)
        expected = metadata.get("revision") or parse_qs(query).get("revision", [0])[0]
        if int(expected) not in (0, known["metadata"]["revision"]):
            return Answer.of_json(known, 409)
        if method == "DELETE":
            self.delete(kind, name)
            return Answer.of_json({})
        return Answer.of_json(self.put(kind, name, **{part: body.get(part)}))
