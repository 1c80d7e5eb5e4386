"""Stand-in of the platform's store and duty calls, in their published form."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, reactor

from banyansail.standins.web import StandinResource, answer_json, read_json

if TYPE_CHECKING:
    from twisted.web.server import Request

OBJECTS_PATH = "/v1/objects/"


@dataclass(slots=True)
class StoreFaults:
    """Switches of the stand-in.

    Parameters
    ----------
    is_down : bool
        Whether calls are answered 503.
    loses_answers : bool
        Whether writes take effect and their connection is then cut.
    is_silent : bool
        Whether calls are taken and never answered, also once it is over.
    has_no_history : bool
        Whether each watch is answered 410.
    """

    is_down: bool = False
    loses_answers: bool = False
    is_silent: bool = False
    has_no_history: bool = False


@dataclass(slots=True)
class StoreState:
    """Objects by kind and name, and the changes that led to them."""

    revision: int = 1
    objects: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    events: list[tuple[int, str, dict[str, Any], bool]] = field(default_factory=list)
    waiting: list[defer.Deferred[None]] = field(default_factory=list)
    usage: list[dict[str, Any]] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)

    def put(self, kind: str, name: str, **parts: Any) -> dict[str, Any]:
        """Write parts of an object; one that changes nothing has no effect."""
        held = self.objects.get((kind, name))
        wanted = {"spec": None, "status": None, **(held or {}), **parts}
        wanted.pop("metadata", None)
        if held is not None and all(held[key] == wanted[key] for key in wanted):
            return held
        self.revision += 1
        created = held["metadata"]["created"] if held else self.revision
        about = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"metadata": about, **wanted}
        self.objects[kind, name] = stored
        self._announce(kind, stored, False)
        return stored

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.objects.pop((kind, name))
        self.revision += 1
        self._announce(kind, stored, True)

    def of_kind(self, kind: str) -> list[dict[str, Any]]:
        """Return the objects of a kind by name."""
        return [self.objects[key] for key in sorted(self.objects) if key[0] == kind]

    def changes(self, kind: str, since: int) -> list[dict[str, Any]]:
        """Return the changes of a kind after a revision."""
        return [
            {"object": stored, "deleted": is_deleted}
            for revision, held, stored, is_deleted in self.events
            if held == kind and revision > since
        ]

    def _announce(self, kind: str, stored: dict[str, Any], is_deleted: bool) -> None:
        self.events.append((self.revision, kind, stored, is_deleted))
        waiting, self.waiting = self.waiting, []
        for done in waiting:
            done.callback(None)


class StoreStandin(StandinResource):
    """Answers the calls of the store, and takes usage reports and orders."""

    def __init__(self) -> None:
        super().__init__()
        self.state = StoreState()
        self.faults = StoreFaults()

    async def handle(self, request: Request) -> None:
        """Answer one call."""
        path = request.path.decode()
        method = request.method.decode()
        if self.faults.is_silent:
            await defer.Deferred()
        if self.faults.is_down:
            answer_json(request, {"error": "down"}, 503)
            return
        if path in ("/usage", "/scale"):
            kept = self.state.usage if path == "/usage" else self.state.orders
            kept.append(read_json(request))
            answer_json(request, {})
            return
        kind, _, name = path.removeprefix(OBJECTS_PATH).partition("/")
        if method == "GET":
            await self._read(request, kind, name)
            return
        self._write(request, method, kind, name)

    async def _read(self, request: Request, kind: str, name: str) -> None:
        state = self.state
        if name:
            stored = state.objects.get((kind, name))
            answer_json(request, stored or {}, 200 if stored else 404)
            return
        if b"watch" not in request.args:
            items = state.of_kind(kind)
            body = {"items": items, "hasMore": False, "at": state.revision}
            answer_json(request, body)
            return
        if self.faults.has_no_history:
            answer_json(request, {"error": "history"}, 410)
            return
        since = int(request.args[b"watch"][0])
        wait_s = int(request.args.get(b"waitMs", [b"0"])[0]) / 1000
        if not state.changes(kind, since):
            await self._wait(wait_s)
        if self.faults.is_silent:
            await defer.Deferred()
        events = state.changes(kind, since)
        answer_json(request, {"events": events, "at": state.revision})

    def _wait(self, seconds: float) -> defer.Deferred[None]:
        done: defer.Deferred[None] = defer.Deferred()
        self.state.waiting.append(done)
        timer = reactor.callLater(seconds, self._time_out, done)

        def cancel(result: None) -> None:
            if timer.active():
                timer.cancel()

        return done.addCallback(cancel)

    def _time_out(self, done: defer.Deferred[None]) -> None:
        if done in self.state.waiting:
            self.state.waiting.remove(done)
            done.callback(None)

    def _write(self, request: Request, method: str, kind: str, name: str) -> None:
        state = self.state
        body = read_json(request) if method != "DELETE" else {}
        part, name = _part_of(method, name or body["metadata"]["name"])
        held = state.objects.get((kind, name))
        expected = body.get("metadata", {}).get("revision")
        if method == "POST" and held is not None:
            answer_json(request, held, 409)
            return
        if method != "POST" and held is None:
            answer_json(request, {}, 404)
            return
        if expected is not None and expected != held["metadata"]["revision"]:
            answer_json(request, held, 409)
            return
        if method == "DELETE":
            state.delete(kind, name)
            answer_json(request, {})
            return
        stored = state.put(kind, name, **{part: body.get(part)})
        if self.faults.loses_answers:
            request.transport.loseConnection()
            return
        answer_json(request, stored)


def _part_of(method: str, name: str) -> tuple[str, str]:
    """Return which part of an object a call writes, and the object's name."""
    if method == "PUT" and name.endswith("/status"):
        return "status", name.removesuffix("/status")
    return "spec", name
