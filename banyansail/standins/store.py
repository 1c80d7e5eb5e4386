"""Stand-in for the platform's store and cloud API, after the published protocol."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, reactor

from banyansail.standins.web import StandinResource, answer_json, read_json

if TYPE_CHECKING:
    from twisted.web.server import Request

OBJECTS_PATH = "/v1/objects/"


@dataclass(slots=True)
class StoreFaults:
    """Fault switches, set by attribute name.

    Parameters
    ----------
    is_down : bool
        Whether calls are answered with 503.
    loses_answers : bool
        Whether writes take effect and their connection is then closed.
    is_silent : bool
        Whether calls are accepted and never answered, even after the switch is off.
    has_no_history : bool
        Whether each watch is answered with 410.
    lost_share : float
        Share of the writes that take effect and are never answered; their connections
        stay open.
    """

    is_down: bool = False
    loses_answers: bool = False
    is_silent: bool = False
    has_no_history: bool = False
    lost_share: float = 0.0


@dataclass(slots=True, frozen=True)
class StoreCopy:
    """Content of a store at some moment, to restore it from."""

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]


@dataclass(slots=True)
class StoreState:
    """Objects by kind and name, and the changes that led to them."""

    revision: int = 1
    era: int = 1
    first_revision: int = 0  # of the history that is kept
    objects: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    events: list[tuple[int, str, dict[str, Any], bool]] = field(default_factory=list)
    # Watches without changes, with the kind that each one watches.
    waiters: list[tuple[str, defer.Deferred[None]]] = field(default_factory=list)
    usage: list[dict[str, Any]] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)

    def copy(self) -> StoreCopy:
        """Return a copy of the present content."""
        return StoreCopy(self.revision, dict(self.objects))

    def restore(self, copy: StoreCopy) -> None:
        """Return to a copy, in a new era; its history is gone and watches end."""
        self.era += 1
        self.revision = copy.revision
        self.objects = dict(copy.objects)
        self.events = []
        self.first_revision = copy.revision
        self._end_watches()

    def has_history_since(self, revision: int) -> bool:
        """Return whether all changes after a revision are known."""
        return self.first_revision <= revision <= self.revision

    def put(self, kind: str, name: str, **parts: Any) -> dict[str, Any]:
        """Write parts of an object; a write that changes nothing has no effect."""
        current = self.objects.get((kind, name))
        updated = {"spec": None, "status": None, **(current or {}), **parts}
        updated.pop("metadata", None)
        if current is not None and all(current[key] == updated[key] for key in updated):
            return current
        self.revision += 1
        created = current["metadata"]["created"] if current else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"metadata": metadata, **updated}
        self.objects[kind, name] = stored
        self._publish_change(kind, stored, False)
        return stored

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.objects.pop((kind, name))
        self.revision += 1
        self._publish_change(kind, stored, True)

    def list_kind(self, kind: str) -> list[dict[str, Any]]:
        """Return the objects of a kind, sorted by name."""
        return [self.objects[key] for key in sorted(self.objects) if key[0] == kind]

    def changes(self, kind: str, since: int) -> list[dict[str, Any]]:
        """Return the changes of a kind after a revision."""
        return [
            {"object": stored, "deleted": is_deleted}
            for revision, changed_kind, stored, is_deleted in self.events
            if changed_kind == kind and revision > since
        ]

    def _publish_change(
        self, kind: str, stored: dict[str, Any], is_deleted: bool
    ) -> None:
        self.events.append((self.revision, kind, stored, is_deleted))
        self._end_watches(kind)

    def _end_watches(self, kind: str | None = None) -> None:
        """End the watches of a kind, or of all kinds."""
        ended = [item for item in self.waiters if kind in (None, item[0])]
        self.waiters = [item for item in self.waiters if item not in ended]
        for _, waiter in ended:
            waiter.callback(None)


class StoreStandin(StandinResource):
    """Answers the calls of the store, and records usage reports and scaling orders."""

    def __init__(self) -> None:
        super().__init__()
        self.state = StoreState()
        self.faults = StoreFaults()
        self._random = Random(0)

    async def handle(self, request: Request) -> None:
        """Answer one call."""
        path = request.path.decode()
        method = request.method.decode()
        request.setHeader("store-era", str(self.state.era))
        if self.faults.is_silent:
            await defer.Deferred()
        if self.faults.is_down:
            answer_json(request, {"error": "down"}, 503)
            return
        if path in ("/usage", "/scale"):
            recorded = self.state.usage if path == "/usage" else self.state.orders
            recorded.append(read_json(request))
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
            items = state.list_kind(kind)
            body = {"items": items, "hasMore": False, "at": state.revision}
            answer_json(request, body)
            return
        if self.faults.has_no_history:
            answer_json(request, {"error": "history"}, 410)
            return
        since = int(request.args[b"watch"][0])
        if not state.has_history_since(since):
            answer_json(request, {"error": "unknown revision"}, 410)
            return
        wait_s = int(request.args.get(b"waitMs", [b"0"])[0]) / 1000
        if not state.changes(kind, since):
            await self._wait(kind, wait_s)
        if self.faults.is_silent:
            await defer.Deferred()
        request.setHeader("store-era", str(state.era))
        events = state.changes(kind, since)
        answer_json(request, {"events": events, "at": state.revision})

    def _wait(self, kind: str, seconds: float) -> defer.Deferred[None]:
        waiter: defer.Deferred[None] = defer.Deferred()
        entry = (kind, waiter)
        self.state.waiters.append(entry)
        timer = reactor.callLater(seconds, self._time_out, entry)

        def cancel(result: None) -> None:
            if timer.active():
                timer.cancel()

        return waiter.addCallback(cancel)

    def _time_out(self, entry: tuple[str, defer.Deferred[None]]) -> None:
        if entry in self.state.waiters:
            self.state.waiters.remove(entry)
            entry[1].callback(None)

    def _write(self, request: Request, method: str, kind: str, name: str) -> None:
        state = self.state
        body = read_json(request) if method != "DELETE" else {}
        part, name = _written_part(method, name or body["metadata"]["name"])
        current = state.objects.get((kind, name))
        expected = body.get("metadata", {}).get("revision")
        if method == "POST" and current is not None:
            answer_json(request, current, 409)
            return
        if method != "POST" and current is None:
            answer_json(request, {}, 404)
            return
        if expected is not None and expected != current["metadata"]["revision"]:
            answer_json(request, current, 409)
            return
        if method == "DELETE":
            state.delete(kind, name)
            answer_json(request, {})
            return
        stored = state.put(kind, name, **{part: body.get(part)})
        if self.faults.loses_answers:
            request.transport.loseConnection()
            return
        if self._random.random() < self.faults.lost_share:
            return
        answer_json(request, stored)


def _written_part(method: str, name: str) -> tuple[str, str]:
    """Return the part of an object that a call writes, and the object's name."""
    if method == "PUT" and name.endswith("/status"):
        return "status", name.removesuffix("/status")
    return "spec", name
