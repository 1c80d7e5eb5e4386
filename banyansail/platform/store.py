"""Client of the platform's store: objects by kind and name, conditional updates."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from twisted.internet import defer

from banyansail.exceptions import (
    ConnectFailedError,
    HistoryLostError,
    PlatformUnavailableError,
    StoreConflictError,
)
from banyansail.upstreams.http_call import HttpAnswer, HttpCaller

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.config.fields import Address

CALL_TIMEOUT = timedelta(seconds=1.5)
WATCH_TIME = timedelta(seconds=20)
WATCH_MARGIN = timedelta(seconds=1.5)
MAX_PAGES = 100


@dataclass(slots=True, frozen=True)
class StoredObject:
    """An object of the store.

    Parameters
    ----------
    revision : int
        The store's counter at the object's last change.
    spec : object
        What its writer says.
    status : object
        What the system says of it.
    created : int
        The store's counter when the object was created.
    """

    name: str
    revision: int
    spec: Any
    status: Any = None
    created: int = 0


@dataclass(slots=True, frozen=True)
class Change:
    """One event of a watch."""

    stored: StoredObject
    is_deleted: bool


class Store:
    """Calls of the store.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    clock : Clock
        Source of time.
    address : Address
        The store.
    """

    def __init__(self, reactor: Any, clock: Clock, address: Address) -> None:
        self._caller = HttpCaller(reactor, clock, address)
        self._watches: set[defer.Deferred[HttpAnswer]] = set()

    def close(self) -> None:
        """Close the connections."""
        self._caller.close()

    async def list(
        self, kind: str, *, serializable: bool = False
    ) -> tuple[int, list[StoredObject]]:
        """Return the store's revision and all objects of a kind.

        Parameters
        ----------
        serializable : bool
            Whether the answer may be seconds old; such a call is cheap.
        """
        found: list[StoredObject] = []
        query = "serializable=1" if serializable else ""
        after = ""
        first_at = 0
        for _ in range(MAX_PAGES):
            page = query + (f"&afterRev={quote(after)}" if after else "")
            answer = await self._call("GET", f"/v1/objects/{kind}?{page.lstrip('&')}")
            body = _expect(answer, 200)
            items = [_decode_object(item) for item in body["items"]]
            found += items
            first_at = first_at or int(body["at"])
            if not body.get("hasMore") or not items:
                return first_at, found
            after = items[-1].name
        raise PlatformUnavailableError(f"{kind}: more than {MAX_PAGES} pages")

    async def get(
        self, kind: str, name: str, *, serializable: bool = False
    ) -> StoredObject | None:
        """Return one object, or ``None`` if it does not exist."""
        query = "?serializable=1" if serializable else ""
        answer = await self._call("GET", f"{_path(kind, name)}{query}")
        if answer.status == 404:
            return None
        return _decode_object(_expect(answer, 200))

    async def watch(self, kind: str, since: int) -> tuple[int, list[Change]]:
        """Wait for changes after a revision; return where to go on, and them.

        Raises
        ------
        HistoryLostError
            If changes were missed; list the kind again.
        """
        wait_ms = int(WATCH_TIME.total_seconds() * 1000)
        target = f"/v1/objects/{kind}?watch={since}&waitMs={wait_ms}"
        answer = await self._wait(target)
        if answer.status == 410:
            raise HistoryLostError(f"the history of {kind} since {since} is gone")
        body = _expect(answer, 200)
        changes = [
            Change(_decode_object(item["object"]), bool(item.get("deleted")))
            for item in body["events"]
        ]
        return int(body["at"]), changes

    def drop_watches(self) -> None:
        """Give up the watches that wait; a silent store would never answer them."""
        for running in list(self._watches):
            running.cancel()

    async def _wait(self, target: str) -> HttpAnswer:
        running = defer.Deferred.fromCoroutine(
            self._call("GET", target, WATCH_TIME + WATCH_MARGIN)
        )
        self._watches.add(running)
        try:
            return await running
        except defer.CancelledError:
            raise PlatformUnavailableError("the watch was given up") from None
        finally:
            self._watches.discard(running)

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Create an object.

        Raises
        ------
        StoreConflictError
            If it exists.
        """
        body = {"metadata": {"name": name}, "spec": spec}
        answer = await self._call("POST", f"/v1/objects/{kind}", body=body)
        if answer.status == 409:
            raise StoreConflictError(f"{kind}/{name} exists")
        return _decode_object(_expect(answer, 200, 201), name)

    async def replace(
        self, kind: str, name: str, spec: Any, expected: int
    ) -> StoredObject:
        """Replace an object on condition of its revision.

        Raises
        ------
        StoreConflictError
            If it has another revision or is gone.
        """
        body = {"metadata": {"name": name, "revision": expected}, "spec": spec}
        answer = await self._call("PUT", _path(kind, name), body=body)
        if answer.status in (404, 409):
            raise StoreConflictError(f"{kind}/{name} is not at revision {expected}")
        return _decode_object(_expect(answer, 200), name)

    async def set_status(
        self, kind: str, name: str, status: Any, expected: int
    ) -> StoredObject:
        """Replace an object's status on condition of its revision."""
        body = {"metadata": {"name": name, "revision": expected}, "status": status}
        answer = await self._call("PUT", f"{_path(kind, name)}/status", body=body)
        if answer.status in (404, 409):
            raise StoreConflictError(f"{kind}/{name} is not at revision {expected}")
        return _decode_object(_expect(answer, 200), name)

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object; one that is gone is no error."""
        answer = await self._call("DELETE", _path(kind, name))
        if answer.status != 404:
            _expect(answer, 200, 204)

    async def _call(
        self,
        method: str,
        target: str,
        timeout: timedelta = CALL_TIMEOUT,
        **options: Any,
    ) -> HttpAnswer:
        try:
            return await self._caller.call(method, target, timeout, **options)
        except ConnectFailedError as error:
            raise PlatformUnavailableError(error.message) from error


def _path(kind: str, name: str) -> str:
    return f"/v1/objects/{kind}/{quote(name, safe='')}"


def _expect(answer: HttpAnswer, *statuses: int) -> Any:
    if answer.status not in statuses:
        raise PlatformUnavailableError(f"the store answered {answer.status}")
    return answer.json()


def _decode_object(item: Any, name: str = "") -> StoredObject:
    try:
        about = item["metadata"]
        return StoredObject(
            about.get("name", name),
            int(about["revision"]),
            item.get("spec"),
            item.get("status"),
            int(about.get("created") or 0),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise PlatformUnavailableError(f"no object: {error!r}") from None
