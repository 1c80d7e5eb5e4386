"""Stand-in for the platform: object API, cloud API and the delayed instance list.

The protocol is described in docs/developer-guide/platform-protocol.md.
"""

from __future__ import annotations

from typing import Any

from twisted.internet import defer, reactor
from twisted.web.server import Request

from banyansail.standins.platform_state import (
    MAX_OBJECT_BYTES,
    PlatformState,
    RateLimit,
    StoredValue,
)
from banyansail.standins.web import (
    StandinResource,
    answer_json,
    query_argument,
    read_json,
    request_path,
    sleep,
)


class PlatformStandin(StandinResource):
    """HTTP interface of the stand-in.

    Parameters
    ----------
    state : PlatformState
        State of the platform.
    """

    def __init__(self, state: PlatformState) -> None:
        super().__init__()
        self.state = state
        self._write_limit = RateLimit()
        self._read_limit = RateLimit()

    async def handle(self, request: Request) -> None:
        """Answer one call."""
        path = request_path(request)
        if path == "/faults":
            self.set_faults(request, self.state.faults, None)
            return
        if path == "/calls":
            answer_json(request, self.state.calls)
            return
        if self.state.faults.delay_s:
            await sleep(self.state.faults.delay_s)
        if self.state.faults.outage:
            self.state.count("refused")
            answer_json(request, {"error": "outage"}, 503)
            return
        if not self._admit(request):
            return
        if path.startswith("/objects"):
            await self._handle_object(request, path.removeprefix("/objects/"))
        elif path == "/instances":
            answer_json(request, self.state.delayed_instances())
        elif path == "/notices":
            await self._watch_notices(request)
        elif path.startswith("/cloud"):
            self._handle_cloud(request, path)
        else:
            answer_json(request, {"error": "no such path"}, 404)

    def _admit(self, request: Request) -> bool:
        faults = self.state.faults
        if request.method == b"GET":
            kind, is_admitted = "read", self._read_limit.try_acquire(faults.reads_per_s)
        else:
            kind, is_admitted = (
                "write",
                self._write_limit.try_acquire(faults.writes_per_s),
            )
        if b"watch" in request.args:
            kind = "watch"
        self.state.count(kind)
        if not is_admitted:
            self.state.count("limited")
            answer_json(request, {"error": "rate limit"}, 429)
        return is_admitted

    async def _handle_object(self, request: Request, key: str) -> None:
        if request.method == b"PUT":
            self._put(request, key)
            return
        if key in ("", "/objects"):
            prefix = query_argument(request, "prefix")
            versions = {
                item: stored.version
                for item, stored in self.state.object_by_key.items()
                if item.startswith(prefix)
            }
            answer_json(request, versions)
            return
        if b"watch" in request.args:
            version = int(query_argument(request, "watch"))
            await self._wait_for_change(key, version, _watch_timeout(request))
        self._get(request, key)

    async def _wait_for_change(self, key: str, version: int, timeout: float) -> None:
        stored = self.state.object_by_key.get(key)
        if stored is not None and stored.version > version:
            return
        await self._wait(key, timeout)

    async def _wait(self, key: str, timeout: float) -> None:
        waiter: defer.Deferred[None] = defer.Deferred()
        self.state.waiters_by_key.setdefault(key, []).append(waiter)
        waiter.addTimeout(timeout, reactor)
        waiter.addErrback(lambda failure: failure.trap(defer.TimeoutError) and None)
        await waiter

    def _get(self, request: Request, key: str) -> None:
        if self.state.faults.outage:
            answer_json(request, {"error": "outage"}, 503)
            return
        stored = self.state.object_by_key.get(key)
        if stored is None:
            answer_json(request, {"error": "no such object"}, 404)
            return
        version, body = stored.version, stored.body
        if self.state.faults.stale_reads > 0 and stored.previous is not None:
            self.state.faults.stale_reads -= 1
            version, body = stored.previous
        answer_json(request, body, etag=version)

    def _put(self, request: Request, key: str) -> None:
        body = read_json(request)
        expected = int(request.getHeader("if-match") or 0)
        stored = self.state.object_by_key.get(key)
        current_version = stored.version if stored else 0
        if request.content.tell() > MAX_OBJECT_BYTES:
            answer_json(request, {"error": "object too large"}, 413)
            return
        if expected != current_version:
            answer_json(request, {"error": "conflict"}, 412, etag=current_version)
            return
        previous = (stored.version, stored.body) if stored else None
        self.state.object_by_key[key] = StoredValue(current_version + 1, body, previous)
        self.state.wake_waiters(key)
        if self.state.faults.lose_answers > 0:
            self.state.faults.lose_answers -= 1
            request.transport.abortConnection()
            return
        answer_json(request, {}, etag=current_version + 1)

    async def _watch_notices(self, request: Request) -> None:
        after = int(query_argument(request, "watch", "0"))
        if len(self.state.notices) <= after:
            await self._wait("/notices", _watch_timeout(request))
        answer_json(request, self.state.notices[after:], etag=len(self.state.notices))

    def _handle_cloud(self, request: Request, path: str) -> None:
        match path.removeprefix("/cloud/").split("/"):
            case ["instances"] if request.method == b"GET":
                answer_json(request, list(self.state.instance_by_id.values()))
            case ["instances"]:
                self._start_instance(request)
            case ["offers"] if request.method == b"GET":
                answer_json(request, self.state.offers)
            case ["offers"]:
                self.state.offers = read_json(request)
                answer_json(request, {})
            case ["instances", name]:
                self.state.instance_by_id.pop(name, None)
                self.state.record_instances()
                answer_json(request, {})
            case ["reclaim"]:
                self.reclaim(**read_json(request))
                answer_json(request, {})
            case _:
                answer_json(request, {"error": "no such path"}, 404)

    def _start_instance(self, request: Request) -> None:
        instance = read_json(request)
        if "state" not in instance and self._refuses_start(instance):
            answer_json(request, {"error": "no capacity"}, 409)
            return
        self.state.started_count += 1
        instance.setdefault("id", f"instance-{self.state.started_count}")
        instance.setdefault("state", "starting")
        self.state.instance_by_id[instance["id"]] = instance
        self.state.record_instances()
        answer_json(request, instance, 201)

    def _refuses_start(self, instance: dict[str, Any]) -> bool:
        faults = self.state.faults
        if faults.refuse_zone and instance.get("zone") == faults.refuse_zone:
            return True
        if faults.refuse_starts > 0:
            faults.refuse_starts -= 1
            return True
        return False

    def reclaim(
        self, zone: str = "", ids: list[str] | None = None, notice_s: float = 5.0
    ) -> None:
        """Publish notice that instances will be reclaimed.

        Parameters
        ----------
        zone : str
            Zone whose instances are reclaimed.
        ids : list of str or None
            Further instances that are reclaimed.
        notice_s : float
            Time until they are stopped.
        """
        leaving = set(ids or ())
        for name, instance in self.state.instance_by_id.items():
            if zone and instance.get("zone") == zone:
                leaving.add(name)
        for name in leaving & self.state.instance_by_id.keys():
            instance = self.state.instance_by_id[name]
            self.state.instance_by_id[name] = {**instance, "state": "leaving"}
        self.state.record_instances()
        notice = {"ids": sorted(leaving), "notice_s": notice_s}
        self.state.notices.append(notice)
        self.state.wake_waiters("/notices")


def _watch_timeout(request: Request) -> float:
    return float(query_argument(request, "timeout", "30"))
