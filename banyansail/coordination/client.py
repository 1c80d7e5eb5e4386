"""Client of the platform's HTTP API; one budget limits all calls."""

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
from banyansail.upstreams.attempt_error import AttemptError
from banyansail.upstreams.body import JsonBody
from banyansail.upstreams.body_receiver import read_body

if TYPE_CHECKING:
    from banyansail.config.fields import Address

CALL_TIMEOUT = timedelta(seconds=5)
WATCH_TIMEOUT = timedelta(seconds=20)
CONNECT_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 16
MAX_CONFLICTS = 20
MAX_RESPONSE_BYTES = 8 * 1024**2

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
    """Versioned object in the platform's store.

    Parameters
    ----------
    version : int
        Increases by one with each update; 0 if the object does not exist.
    body : object
        JSON value; ``None`` if the object does not exist.
    """

    key: str
    version: int
    body: Any


@dataclass(slots=True, frozen=True)
class _ApiResponse:
    status: int
    etag: int
    body: Any


class PlatformClient:
    """Client of the object API, the cloud API and the instance list.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    address : Address
        Address of the platform's HTTP API.
    budget : CallBudget
        Rate limit of this process's calls.
    """

    def __init__(self, reactor: Any, address: Address, budget: CallBudget) -> None:
        self._reactor = reactor
        self._base = f"http://{address}"
        self._budget = budget
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = MAX_CONNECTIONS
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
        """Return the latest platform time seen in a response; it never decreases."""
        return self._server_time

    def time_until(self, kind: CallKind, calls: int) -> timedelta:
        """Return the time until the budget allows a number of calls at once."""
        return self._budget.time_until(kind, calls)

    async def get(self, key: str, kind: CallKind) -> StoredObject:
        """Return an object; an absent one has version 0.

        Raises
        ------
        PlatformUnavailableError
            If the platform does not respond or the budget is exhausted.
        """
        response = await self._call("GET", f"/objects/{quote(key)}", kind)
        return _decode_object(key, response)

    async def watch(self, key: str, version: int, kind: CallKind) -> StoredObject:
        """Wait until an object is newer than a version, up to `WATCH_TIMEOUT`."""
        seconds = WATCH_TIMEOUT.total_seconds()
        path = f"/objects/{quote(key)}?watch={version}&timeout={seconds}"
        response = await self._call(
            "GET", path, kind, timeout=WATCH_TIMEOUT + CALL_TIMEOUT
        )
        return _decode_object(key, response)

    async def put(
        self, key: str, body: Any, expected_version: int, kind: CallKind
    ) -> int:
        """Update an object if it still has the expected version; return the new one.

        Raises
        ------
        ConflictError
            If the object has another version.
        PlatformUnavailableError
            If no response arrived; the update may have taken effect.
        """
        path = f"/objects/{quote(key)}"
        headers = {"if-match": str(expected_version)}
        response = await self._call("PUT", path, kind, body=body, headers=headers)
        if response.status == 412:
            raise ConflictError(key, expected_version, response.etag)
        _require_status(response, path, 200)
        return response.etag

    async def update(
        self,
        key: str,
        change: Callable[[Any], Any | None],
        is_applied: Callable[[Any], bool],
        kind: CallKind,
    ) -> StoredObject:
        """Change an object by conditional updates, retrying after conflicts.

        If the response of an update is lost, the object is read back to find out
        whether the update took effect.

        Parameters
        ----------
        change : callable
            Takes the current body and returns the new one, or ``None`` to leave the
            object unchanged.
        is_applied : callable
            Returns whether a body contains this writer's change.

        Returns
        -------
        StoredObject
            The current object, with the change unless `change` returned ``None``.
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
        raise PlatformUnavailableError(
            f"object {key!r}: not updated after {MAX_CONFLICTS} conflicts"
        )

    async def list_instances(self) -> list[dict[str, Any]]:
        """Return the live and leaving instances; the list may be out of date."""
        response = await self._call("GET", "/instances", CallKind.NOTICES)
        return _require_status(response, "/instances", 200).body

    async def watch_notices(self, after: int) -> tuple[int, list[dict[str, Any]]]:
        """Wait for reclaim notices; return the next position to watch, and them."""
        seconds = WATCH_TIMEOUT.total_seconds()
        path = f"/notices?watch={after}&timeout={seconds}"
        timeout = WATCH_TIMEOUT + CALL_TIMEOUT
        response = await self._call("GET", path, CallKind.NOTICES, timeout=timeout)
        return response.etag, _require_status(response, path, 200).body

    async def start_instance(self, spec: dict[str, Any]) -> dict[str, Any] | None:
        """Start an instance; return it, or ``None`` if the platform refuses."""
        path = "/cloud/instances"
        response = await self._call("POST", path, CallKind.PLACEMENT, body=spec)
        if response.status == 409:
            return None
        return _require_status(response, path, 201).body

    async def release_instance(self, name: str) -> None:
        """Release an instance."""
        path = f"/cloud/instances/{quote(name)}"
        await self._call("DELETE", path, CallKind.PLACEMENT)

    async def list_cloud_instances(self) -> list[dict[str, Any]]:
        """Return the organisation's instances, from the cloud API."""
        path = "/cloud/instances"
        response = await self._call("GET", path, CallKind.PLACEMENT)
        return _require_status(response, path, 200).body

    async def list_offers(self) -> list[dict[str, Any]]:
        """Return the price and reclaim rate of instances by zone and class."""
        path = "/cloud/offers"
        response = await self._call("GET", path, CallKind.PLACEMENT)
        return _require_status(response, path, 200).body

    async def _call(
        self,
        method: str,
        path: str,
        kind: CallKind,
        *,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout: timedelta = CALL_TIMEOUT,
    ) -> _ApiResponse:
        if not self._budget.try_acquire(kind):
            raise PlatformUnavailableError(
                f"{path}: not called, the call budget is exhausted"
            )
        self.calls += 1
        producer = None if body is None else JsonBody(body)
        fields = Headers({name: [text] for name, text in (headers or {}).items()})
        exchange = defer.Deferred.fromCoroutine(
            self._exchange(method, path, fields, producer)
        )
        exchange.addTimeout(timeout.total_seconds(), self._reactor)
        try:
            response = await exchange
        except UNREACHABLE_ERRORS as error:
            text = f"{method} {path}: {type(error).__name__}"
            raise PlatformUnavailableError(text) from error
        except (ValueError, OSError) as error:
            raise PlatformUnavailableError(f"{method} {path}: {error}") from error
        if response.status in (429, 500, 502, 503):
            raise PlatformUnavailableError(f"{method} {path}: status {response.status}")
        return response

    async def _exchange(
        self, method: str, path: str, headers: Headers, producer: JsonBody | None
    ) -> _ApiResponse:
        url = (self._base + path).encode()
        response: IResponse = await self._agent.request(
            method.encode(), url, headers, producer
        )
        self._update_server_time(response)
        text = await read_body(response, MAX_RESPONSE_BYTES)
        etag = response.headers.getRawHeaders("etag", ["0"])[0]
        return _ApiResponse(response.code, int(etag), json.loads(text or b"null"))

    def _update_server_time(self, response: IResponse) -> None:
        date = response.headers.getRawHeaders("date")
        if date:
            response_time = parsedate_to_datetime(date[0])
            self._server_time = max(self._server_time, response_time)


def _decode_object(key: str, response: _ApiResponse) -> StoredObject:
    if response.status == 404:
        return StoredObject(key, 0, None)
    _require_status(response, key, 200)
    return StoredObject(key, response.etag, response.body)


def _require_status(response: _ApiResponse, path: str, status: int) -> _ApiResponse:
    if response.status != status:
        raise PlatformUnavailableError(f"{path}: unexpected status {response.status}")
    return response
