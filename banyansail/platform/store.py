"""Client of the platform's store: objects by kind and name, conditional updates."""

from __future__ import annotations

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
from banyansail.log import log_event
from banyansail.platform.pending_watches import PendingWatches
from banyansail.platform.store_answers import (
    StoreAnswer,
    decode_era,
    read_body,
    require_status,
)
from banyansail.platform.store_calls import CallOutcome, CallRecord, record_of
from banyansail.platform.store_objects import (
    Change,
    Revision,
    StoredObject,
    decode_changes,
    decode_listed,
    decode_object,
    name_of,
)
from banyansail.upstreams.heartbeat_connection import HeartbeatConnection
from banyansail.upstreams.http_call import HttpAnswer, HttpCaller

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.clock import Clock
    from banyansail.config.fields import Address

CALL_TIMEOUT = timedelta(seconds=1.5)
WATCH_TIMEOUT = timedelta(seconds=20)  # a watch without changes ends after this
WATCH_MARGIN = timedelta(seconds=1.5)  # for the answer after WATCH_TIMEOUT
HEARTBEAT_TIMEOUT = timedelta(milliseconds=600)  # far above the time of a slow answer
CHECK_TIMEOUT = timedelta(milliseconds=900)  # of the same call over a new connection
MAX_PAGES = 100


class StoreClient:
    """HTTP client of the store.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    clock : Clock
        Source of time.
    address : Address
        Address of the store.
    on_call : callable
        Called with the record of each call that has ended.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        address: Address,
        on_call: Callable[[CallRecord], None] = lambda record: None,
    ) -> None:
        self._on_call = on_call
        self._reactor = reactor
        self._caller = HttpCaller(reactor, clock, address)
        self._heartbeat = HeartbeatConnection(reactor, clock, address)
        self._pending_watches: PendingWatches[StoreAnswer] = PendingWatches()
        self._restore_listeners: list[Callable[[], None]] = []
        self.era = 0  # the highest one known
        self._is_era_known = False  # eras may begin at 0

    def close(self) -> None:
        """Close the connections."""
        self._caller.close()
        self._heartbeat.close()

    def add_restore_listener(self, listener: Callable[[], None]) -> None:
        """Call a function each time the store turns out to have been restored."""
        self._restore_listeners.append(listener)

    def observe_era(self, era: int) -> None:
        """Take note of the store's era, from an answer or from another router."""
        if not self._is_era_known:
            self._is_era_known, self.era = True, era
            return
        if era <= self.era:
            return
        previous, self.era = self.era, era
        log_event("store_restored", era=era, previous=previous)
        for listener in self._restore_listeners:
            listener()
        # Not at once, as the answer to one of the watches may be in processing.
        self._reactor.callLater(0, self.cancel_watches)

    async def list(
        self, kind: str, *, serializable: bool = False
    ) -> tuple[Revision, list[StoredObject]]:
        """Return the store's revision and all objects of a kind.

        The revision is that of the first page, so that a watch from it misses no
        change made between two pages.

        Parameters
        ----------
        serializable : bool
            Allow an answer that is seconds old; such a call is cheap for the store.
        """
        stored_objects: list[StoredObject] = []
        query = "serializable=1" if serializable else ""
        last_name = ""
        first_page_revision: Revision | None = None
        for _ in range(MAX_PAGES):
            page_query = query + (f"&afterRev={quote(last_name)}" if last_name else "")
            answer = await self._call(
                "GET", f"/v1/objects/{kind}?{page_query.lstrip('&')}"
            )
            body = read_body(answer, 200)
            items = body["items"]
            stored_objects += decode_listed(items, answer.era)
            revision = Revision(answer.era, int(body["at"]))
            first_page_revision = first_page_revision or revision
            if first_page_revision.era != answer.era:
                raise HistoryLostError("the store was restored between two pages")
            if not body.get("hasMore") or not items:
                return first_page_revision, stored_objects
            last_name = name_of(items[-1])
        raise PlatformUnavailableError(
            f"the list of {kind} has more than {MAX_PAGES} pages"
        )

    async def get(
        self, kind: str, name: str, *, serializable: bool = False
    ) -> StoredObject | None:
        """Return an object, or ``None`` if it does not exist."""
        query = "?serializable=1" if serializable else ""
        answer = await self._call("GET", f"{_path(kind, name)}{query}")
        if answer.status == 404:
            return None
        return decode_object(read_body(answer, 200), answer.era)

    async def watch(self, kind: str, since: Revision) -> tuple[Revision, list[Change]]:
        """Wait for changes after a revision; return the next revision and the changes.

        Raises
        ------
        HistoryLostError
            If changes after the revision are no longer available; list the kind again.
        WatchRenewedError
            If the watch is to be sent again.
        """
        wait_ms = int(WATCH_TIMEOUT.total_seconds() * 1000)
        target = f"/v1/objects/{kind}?watch={since.number}&waitMs={wait_ms}"
        answer = await self._pending_watches.wait(
            self._call("GET", target, WATCH_TIMEOUT + WATCH_MARGIN)
        )
        if answer.status == 410 or answer.era != since.era:
            raise HistoryLostError(
                f"changes of {kind} since revision {since} were compacted"
            )
        body = read_body(answer, 200)
        changes = decode_changes(body["events"], answer.era)
        return Revision(answer.era, int(body["at"])), changes

    async def check(self, kind: str, name: str) -> None:
        """Check that the store answers, and that open connections are not stalled.

        An object is read over a connection that is as old as any other one. If that
        does not answer and a new one does, the others may be stalled too: all pending
        watches are renewed.

        Raises
        ------
        PlatformUnavailableError
            If the store does not answer over a new connection either.
        """
        target = f"{_path(kind, name)}?serializable=1"
        if self._heartbeat.is_open and await self._has_heartbeat(target):
            return
        self._heartbeat.end_connection()
        answer = await self._call("GET", target, CHECK_TIMEOUT, caller=self._heartbeat)
        self.renew_watches("a new connection answers")
        require_status(answer, 200, 404)

    async def _has_heartbeat(self, target: str) -> bool:
        """Return whether there is an answer over the connection that is open."""
        try:
            answer = await self._call(
                "GET", target, HEARTBEAT_TIMEOUT, caller=self._heartbeat
            )
        except PlatformUnavailableError as error:
            log_event("store_connection_stalled", error=error.message)
            return False
        require_status(answer, 200, 404)
        return True

    def renew_watches(self, reason: str) -> None:
        """Let all pending watches be sent again, over new connections."""
        self._caller.close_idle()
        self._pending_watches.renew(reason)

    def cancel_watches(self) -> None:
        """Cancel pending watches; a store that hangs would never answer them."""
        self._pending_watches.cancel()

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Create an object.

        Raises
        ------
        StoreConflictError
            If it already exists.
        """
        body = {"metadata": {"name": name}, "spec": spec}
        answer = await self._call("POST", f"/v1/objects/{kind}", body=body)
        if answer.status == 409:
            raise StoreConflictError(f"{kind}/{name} already exists")
        return decode_object(read_body(answer, 200, 201), answer.era, name)

    async def replace(
        self, kind: str, name: str, spec: Any, expected_revision: Revision
    ) -> StoredObject:
        """Replace an object if it is at the expected revision.

        Raises
        ------
        StoreConflictError
            If it is at another revision or does not exist.
        """
        return await self._update(
            _path(kind, name), name, "spec", spec, expected_revision
        )

    async def set_status(
        self, kind: str, name: str, status: Any, expected_revision: Revision
    ) -> StoredObject:
        """Replace the status of an object if it is at the expected revision.

        Raises
        ------
        StoreConflictError
            If it is at another revision or does not exist.
        """
        path = f"{_path(kind, name)}/status"
        return await self._update(path, name, "status", status, expected_revision)

    async def _update(
        self, path: str, name: str, part: str, value: Any, expected: Revision
    ) -> StoredObject:
        conflict = StoreConflictError(f"{path} is not at revision {expected}")
        if expected.era != self.era:
            raise conflict
        metadata = {"name": name, "revision": expected.number}
        answer = await self._call("PUT", path, body={"metadata": metadata, part: value})
        # In another era, the number may belong to another change.
        if answer.status in (404, 409) or answer.era != expected.era:
            raise conflict
        return decode_object(read_body(answer, 200), answer.era, name)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; a missing object is not an error."""
        answer = await self._call("DELETE", _path(kind, name))
        if answer.status != 404:
            require_status(answer, 200, 204)

    async def _call(
        self,
        method: str,
        target: str,
        timeout: timedelta = CALL_TIMEOUT,
        caller: HttpCaller | HeartbeatConnection | None = None,
        **options: Any,
    ) -> StoreAnswer:
        answer = await self._call_recorded(
            caller or self._caller, method, target, timeout, options
        )
        era = decode_era(answer)
        if era is None:
            return StoreAnswer(answer, self.era)
        if era < self.era:
            raise PlatformUnavailableError(
                f"the answer is from era {era}, before the store was restored"
            )
        self.observe_era(era)
        return StoreAnswer(answer, era)

    async def _call_recorded(
        self,
        caller: HttpCaller | HeartbeatConnection,
        method: str,
        target: str,
        timeout: timedelta,
        options: dict[str, Any],
    ) -> HttpAnswer:
        outcome = CallOutcome.UNANSWERED
        try:
            answer = await caller.call(method, target, timeout, **options)
            is_served = answer.status < 500 and answer.status != 429
            outcome = CallOutcome.ANSWERED if is_served else CallOutcome.REFUSED
            return answer
        except ConnectFailedError as error:
            raise PlatformUnavailableError(error.message) from error
        except defer.CancelledError:
            outcome = CallOutcome.CANCELLED
            raise
        finally:
            self._on_call(record_of(method, target, outcome))


def _path(kind: str, name: str) -> str:
    return f"/v1/objects/{kind}/{quote(name, safe='')}"
