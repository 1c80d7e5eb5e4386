"""Client of the platform's HTTP API; every call goes through one budget."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from email.utils import parsedate_to_datetime
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from twisted.internet import defer
from twisted.internet.error import ConnectError, ConnectionClosed, TimeoutError
from twisted.web.client import Agent, HTTPConnectionPool, ResponseFailed
from twisted.web.http_headers import Headers
from twisted.web.iweb import IResponse

from banyansail.coordination.budget import CallBudget, CallKind
from banyansail.exceptions import ConflictError, PlatformUnavailableError
from banyansail.upstreams.body import JsonBody
from banyansail.upstreams.upstream_client import AttemptError, read_body

if TYPE_CHECKING:
    from banyansail.config.fields import Address

CALL_TIMEOUT = timedelta(seconds=5)
WATCH_TIMEOUT = timedelta(seconds=20)
CONNECT_TIMEOUT_S = 2.0
CONNECTIONS = 16
MAX_CONFLICTS = 20
MAX_ANSWER_BYTES = 8 * 1024**2

UNREACHABLE_ERRORS = (
    ConnectError,
    TimeoutError,
    ConnectionClosed,
    defer.TimeoutError,
    ResponseFailed,
    AttemptError,
)


@dataclass(slots=True, frozen=True)
class StoredObject:
    """An object of the platform.

    Parameters
    ----------
    version : int
        Grows by one with each update; 0 if the object does not exist.
    body : object
        JSON value; ``None`` if the object does not exist.
    """

    key: str
    version: int
    body: Any


@dataclass(slots=True, frozen=True)
class _Answer:
    status: int
    etag: int
    body: Any


class PlatformClient:
    """Object API, cloud API and list of instances.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    address : Address
        The platform's HTTP API.
    budget : CallBudget
        Limits the calls of this process.
    """

    def __init__(self, reactor: Any, address: Address, budget: CallBudget) -> None:
        self._reactor = reactor
        self._base = f"http://{address}"
        self._budget = budget
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = CONNECTIONS
        self._pool.retryAutomatically = False
        self._agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self._pool)
        self.calls = 0
        self._server_time = datetime.fromtimestamp(0, UTC)

    def __enter__(self) -> PlatformClient:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Close the connections."""
        self._pool.closeCachedConnections()

    def server_time(self) -> datetime:
        """Return the platform's time at its latest answer; it never goes back."""
        return self._server_time

    def time_until(self, kind: CallKind, calls: int) -> timedelta:
        """Return the time until the budget allows so many calls at once."""
        return self._budget.time_until(kind, calls)

    async def get(self, key: str, kind: CallKind) -> StoredObject:
        """Return an object; one that does not exist has version 0.

        Raises
        ------
        PlatformUnavailableError
            If the platform does not answer or the budget is spent.
        """
        answer = await self._call("GET", f"/objects/{quote(key)}", kind)
        return _stored(key, answer)

    async def watch(self, key: str, version: int, kind: CallKind) -> StoredObject:
        """Wait until an object is newer than a version, or for `WATCH_TIMEOUT`."""
        seconds = WATCH_TIMEOUT.total_seconds()
        path = f"/objects/{quote(key)}?watch={version}&timeout={seconds}"
        answer = await self._call(
            "GET", path, kind, timeout=WATCH_TIMEOUT + CALL_TIMEOUT
        )
        return _stored(key, answer)

    async def put(self, key: str, body: Any, expected: int, kind: CallKind) -> int:
        """Update an object on condition of its version; return the new version.

        Raises
        ------
        ConflictError
            If the object has another version.
        PlatformUnavailableError
            If no answer came; the update may have taken effect.
        """
        path = f"/objects/{quote(key)}"
        headers = {"if-match": str(expected)}
        answer = await self._call("PUT", path, kind, body=body, headers=headers)
        if answer.status == 412:
            raise ConflictError(key, expected, answer.etag)
        _expect(answer, path, 200)
        return answer.etag

    async def update(
        self,
        key: str,
        change: Callable[[Any], Any | None],
        is_applied: Callable[[Any], bool],
        kind: CallKind,
    ) -> StoredObject:
        """Change an object by conditional updates until one takes effect.

        An update whose answer was lost is read back and recognised.

        Parameters
        ----------
        change : callable
            Takes the body in force and returns the new one, or ``None`` if
            nothing is to be changed.
        is_applied : callable
            Tells whether a body holds the change of this writer.

        Returns
        -------
        StoredObject
            The object in force, with the change unless `change` gave ``None``.
        """
        for _ in range(MAX_CONFLICTS):
            stored = await self.get(key, kind)
            body = change(stored.body)
            if body is None:
                return stored
            try:
                version = await self.put(key, body, stored.version, kind)
            except ConflictError:
                continue
            except PlatformUnavailableError:
                stored = await self.get(key, kind)
                if is_applied(stored.body):
                    return stored
                raise
            return StoredObject(key, version, body)
        raise PlatformUnavailableError(f"object {key!r}: {MAX_CONFLICTS} conflicts")

    async def list_instances(self) -> list[dict[str, Any]]:
        """Return the lagging list of live and leaving instances."""
        answer = await self._call("GET", "/instances", CallKind.NOTICES)
        return _expect(answer, "/instances", 200).body

    async def watch_notices(self, after: int) -> tuple[int, list[dict[str, Any]]]:
        """Wait for notices of reclaims; return the next position and the notices."""
        seconds = WATCH_TIMEOUT.total_seconds()
        path = f"/notices?watch={after}&timeout={seconds}"
        timeout = WATCH_TIMEOUT + CALL_TIMEOUT
        answer = await self._call("GET", path, CallKind.NOTICES, timeout=timeout)
        return answer.etag, _expect(answer, path, 200).body

    async def start_instance(self, wanted: dict[str, Any]) -> dict[str, Any] | None:
        """Ask for an instance; return it, or ``None`` if the start is refused."""
        path = "/cloud/instances"
        answer = await self._call("POST", path, CallKind.PLACEMENT, body=wanted)
        if answer.status == 409:
            return None
        return _expect(answer, path, 201).body

    async def release_instance(self, name: str) -> None:
        """Give an instance back."""
        path = f"/cloud/instances/{quote(name)}"
        await self._call("DELETE", path, CallKind.PLACEMENT)

    async def list_cloud_instances(self) -> list[dict[str, Any]]:
        """Return the instances that the cloud has for this organisation."""
        path = "/cloud/instances"
        answer = await self._call("GET", path, CallKind.PLACEMENT)
        return _expect(answer, path, 200).body

    async def list_offers(self) -> list[dict[str, Any]]:
        """Return what instances cost by zone and class, and how often they go."""
        path = "/cloud/offers"
        answer = await self._call("GET", path, CallKind.PLACEMENT)
        return _expect(answer, path, 200).body

    async def _call(
        self,
        method: str,
        path: str,
        kind: CallKind,
        *,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout: timedelta = CALL_TIMEOUT,
    ) -> _Answer:
        if not self._budget.take(kind):
            raise PlatformUnavailableError(f"{path}: the budget of calls is spent")
        self.calls += 1
        producer = None if body is None else JsonBody(body)
        fields = Headers({name: [text] for name, text in (headers or {}).items()})
        exchange = defer.Deferred.fromCoroutine(
            self._exchange(method, path, fields, producer)
        )
        exchange.addTimeout(timeout.total_seconds(), self._reactor)
        try:
            answer = await exchange
        except UNREACHABLE_ERRORS as error:
            text = f"{method} {path}: {type(error).__name__}"
            raise PlatformUnavailableError(text) from error
        except (ValueError, OSError) as error:
            raise PlatformUnavailableError(f"{method} {path}: {error}") from error
        if answer.status in (429, 500, 502, 503):
            raise PlatformUnavailableError(f"{method} {path}: status {answer.status}")
        return answer

    async def _exchange(
        self, method: str, path: str, headers: Headers, producer: JsonBody | None
    ) -> _Answer:
        url = (self._base + path).encode()
        response: IResponse = await self._agent.request(
            method.encode(), url, headers, producer
        )
        self._note_time(response)
        text = await read_body(response, MAX_ANSWER_BYTES)
        etag = response.headers.getRawHeaders("etag", ["0"])[0]
        return _Answer(response.code, int(etag), json.loads(text or b"null"))

    def _note_time(self, response: IResponse) -> None:
        date = response.headers.getRawHeaders("date")
        if date:
            seen = parsedate_to_datetime(date[0])
            self._server_time = max(self._server_time, seen)


def _stored(key: str, answer: _Answer) -> StoredObject:
    if answer.status == 404:
        return StoredObject(key, 0, None)
    _expect(answer, key, 200)
    return StoredObject(key, answer.etag, answer.body)


def _expect(answer: _Answer, path: str, status: int) -> _Answer:
    if answer.status != status:
        raise PlatformUnavailableError(f"{path}: status {answer.status}")
    return answer
