"""Routers that watch a store or follow each other, by a fake clock."""

from __future__ import annotations

from collections import Counter
from datetime import UTC, datetime, timedelta
from random import Random
from types import SimpleNamespace

from twisted.internet import defer
from twisted.internet.task import Clock as ReactorClock

from banyansail.config.fields import Address
from banyansail.exceptions import (
    HistoryLostError,
    PlatformUnavailableError,
    WireError,
)
from banyansail.fleet.entries import Feature, Member
from banyansail.gateway.metrics import GatewayMetrics
from banyansail.gateway.store.mirror import Mirror
from banyansail.gateway.store.store_following import StoreFollowing
from banyansail.gateway.store.store_probe import StoreProbe
from banyansail.gateway.tasks import FOLLOW_PAUSE, MAX_FOLLOW_BACKOFF, PROBE_INTERVAL
from banyansail.platform.store_objects import Change, Revision, StoredObject
from banyansail.router.supervisor import RepeatedTask
from banyansail.wire.call_codec import (
    decode_call,
    decode_reply,
    encode_call,
    encode_reply,
)

KINDS = ("config", "servers", "rollouts")
STEP_S = 0.01
LATENCY_S = 0.002
WATCH_S = 20.0


class SharedStore:
    """Objects and their history; counts the calls of all routers."""

    def __init__(self):
        self.era = 1
        self.revision = 1
        self.first_revision = 0  # of the history that is kept
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.history: list[tuple[int, str, Change]] = []
        self.watches: list[tuple[FleetStore, str, int, defer.Deferred]] = []
        self.is_down = False
        self.calls: Counter[str] = Counter()

    def put(self, kind, name, spec):
        self.revision += 1
        stored = StoredObject(name, Revision(self.era, self.revision), spec)
        self.objects[kind, name] = stored
        self._record(kind, Change(stored, False))

    def delete(self, kind, name):
        self.revision += 1
        self._record(kind, Change(self.objects.pop((kind, name)), True))

    def _record(self, kind, change):
        self.history.append((self.revision, kind, change))
        self.end_watches(kind)

    def compact(self):
        """Forget the history; present watches end without their changes."""
        self.first_revision = self.revision
        self.end_watches()

    def copy(self):
        return self.revision, dict(self.objects)

    def restore(self, copy):
        self.era += 1
        self.revision, self.objects = copy
        self.objects = {
            key: StoredObject(
                item.name, Revision(self.era, item.revision.number), item.spec
            )
            for key, item in self.objects.items()
        }
        self.history = []
        self.first_revision = self.revision
        self.end_watches()

    def end_watches(self, kind=None):
        for watch in [item for item in self.watches if kind in (None, item[1])]:
            self.watches.remove(watch)
            client, watched, since, deferred = watch
            client.deliver(deferred, *self.changes(watched, since))

    def changes(self, kind, since):
        if since.era != self.era or since.number < self.first_revision:
            return None, HistoryLostError("compacted")
        changes = [
            change
            for at, changed, change in self.history
            if changed == kind and at > since.number
        ]
        return (Revision(self.era, self.revision), changes), None


class FleetStore:
    """The store as one router sees it, which may be cut off from it."""

    def __init__(self, shared, reactor):
        self._shared = shared
        self._reactor = reactor
        self._pending: set[defer.Deferred] = set()
        self._listeners = []
        self.is_cut = False
        self.era = 0

    def add_restore_listener(self, listener):
        self._listeners.append(listener)

    def observe_era(self, era):
        if era > self.era:
            previous, self.era = self.era, era
            if previous:
                for listener in self._listeners:
                    listener()
                self._reactor.callLater(0, self.cancel_watches)

    def cancel_watches(self):
        for watch in list(self._pending):
            watch.cancel()

    def deliver(self, deferred, value, error):
        def fire():
            if deferred.called or self.is_cut:
                return
            if error is not None:
                deferred.errback(error)
            else:
                deferred.callback(value)

        self._reactor.callLater(LATENCY_S, fire)

    async def _call(self, operation, value):
        shared = self._shared
        shared.calls[operation] += 1
        deferred = defer.Deferred()
        if shared.is_down:
            self.deliver(deferred, None, PlatformUnavailableError("down"))
        else:
            self.deliver(deferred, value, None)
        deferred.addTimeout(1.5, self._reactor)
        try:
            answer = await deferred
        except defer.TimeoutError:
            raise PlatformUnavailableError("no answer") from None
        self.observe_era(shared.era)
        return answer

    async def list(self, kind, *, serializable=False):
        shared = self._shared
        found = [item for key, item in shared.objects.items() if key[0] == kind]
        value = (Revision(shared.era, shared.revision), found)
        return await self._call("list", value)

    async def check(self, kind, name):
        await self._call("probe", None)

    async def watch(self, kind, since):
        shared = self._shared
        shared.calls["watch"] += 1
        deferred = defer.Deferred()
        value, error = shared.changes(kind, since)
        if shared.is_down:
            self.deliver(deferred, None, PlatformUnavailableError("down"))
        elif error is not None or value[1]:
            self.deliver(deferred, value, error)
        else:
            entry = (self, kind, since, deferred)
            shared.watches.append(entry)
            deferred.addTimeout(WATCH_S, self._reactor)
        self._pending.add(deferred)
        try:
            answer = await deferred
        except defer.TimeoutError:
            return since, []
        except defer.CancelledError:
            raise PlatformUnavailableError("the watch was cancelled") from None
        finally:
            self._pending.discard(deferred)
            shared.watches = [item for item in shared.watches if item[3] != deferred]
        self.observe_era(answer[0].era)
        return answer


class Router:
    """One router's mirrors and the tasks that keep them current."""

    def __init__(self, fleet, name, watchers):
        self.fleet = fleet
        self.name = name
        self.is_frozen = False
        self.is_dead = False
        self.reactor = ReactorClock()
        self.reactor.advance(fleet.seconds)
        self.store = FleetStore(fleet.store, self.reactor)
        self.changed_at: dict[str, float] = {}
        self.mirrors = {
            kind: Mirror(
                kind,
                self.store,
                fleet,
                lambda mirror: self.changed_at.update({mirror.kind: fleet.seconds}),
                keeps_lapsed=kind == "servers",
            )
            for kind in KINDS
        }
        self.store.add_restore_listener(
            lambda: [mirror.reset() for mirror in self.mirrors.values()]
        )
        settings = SimpleNamespace(
            name=name,
            zone="glasgow",
            store_watchers=watchers,
            seeds=("r0", "r1"),
            peer=Address(name, 1),
        )
        metrics = GatewayMetrics()
        self.following = StoreFollowing(
            settings,
            self.reactor,
            fleet,
            Random(name),
            self.store,
            self.mirrors.values(),
            fleet.live_members,
            self.call,
            lambda: metrics,
        )
        self.probe = StoreProbe(self.store, "routers", name)
        self._start_tasks()

    def _start_tasks(self):
        async def update():
            self.following.update()
            for mirror in self.mirrors.values():
                mirror.expire_lapsed()

        async def probe():
            sent_at = self.fleet.monotonic()
            await self.probe.probe()
            is_reached = not self.probe.is_unreachable
            self.following.record_probe(sent_at, is_reached=is_reached)

        runs = [(update, timedelta(seconds=0.2)), (probe, PROBE_INTERVAL)]
        for mirror in self.mirrors.values():
            runs.append((lambda item=mirror: self.following.follow(item), FOLLOW_PAUSE))
        for position in range(2):
            runs.append(
                (lambda at=position: self.following.follow_watcher(at), FOLLOW_PAUSE)
            )
        self.tasks = [
            RepeatedTask(
                self.reactor, Random(1), self.name, run, pause, MAX_FOLLOW_BACKOFF
            )
            for run, pause in runs
        ]
        for task in self.tasks:
            task.startService()

    def stop(self):
        for task in self.tasks:
            task.stopService()

    async def call(self, member, call):
        """Call another router, over the codec."""
        other = self.fleet.routers[member.peer.host]
        self.fleet.peer_calls += 1
        reply: defer.Deferred = defer.Deferred()
        if other.is_dead:
            raise WireError("connection refused")
        _, decoded = decode_call(encode_call(1, call))

        def send_back(answer):
            data = encode_reply(1, answer)
            if not other.is_dead:
                self.reactor.callLater(LATENCY_S, receive, data)

        def receive(data):
            if not reply.called:
                reply.callback(decode_reply(data)[1])

        def handle():
            handling = defer.Deferred.fromCoroutine(other.following.answer(decoded))
            handling.addCallback(send_back)

        other.reactor.callLater(LATENCY_S, handle)
        return await reply

    def spec(self, kind, name):
        stored = self.mirrors[kind].object_by_name.get(name)
        return None if stored is None else stored.spec


class FollowingFleet:
    """Routers of a data centre over one fake clock, and their store."""

    def __init__(self, size, watchers=3):
        self.seconds = 1000.0
        self.peer_calls = 0
        self.store = SharedStore()
        self.store.put("config", "main", 1)
        self.routers: dict[str, Router] = {}
        self.is_view_empty = False  # as at the start of a data centre
        self.not_ready: set[str] = set()
        self.watchers = watchers
        for number in range(size):
            self.start(f"r{number}")

    def start(self, name):
        self.routers[name] = Router(self, name, self.watchers)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for router in self.routers.values():
            router.stop()

    def monotonic(self):
        return timedelta(seconds=self.seconds)

    def now(self):
        return datetime(2026, 12, 4, tzinfo=UTC) + self.monotonic()

    def live_members(self):
        """Return all routers, dead ones too, as their heartbeats end only later."""
        if self.is_view_empty:
            return {}
        return {
            name: Member(
                "glasgow",
                "scotland",
                Address(name, 1),
                1,
                self.now(),
                is_ready=name not in self.not_ready,
                is_leaving=False,
                features=Feature.RELAYS_STORE_CHANGES,
            )
            for name in self.routers
        }

    def advance(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.seconds += STEP_S
            for router in self.routers.values():
                if not (router.is_frozen or router.is_dead):
                    router.reactor.advance(self.seconds - router.reactor.seconds())

    def running(self):
        return [
            router
            for router in self.routers.values()
            if not (router.is_frozen or router.is_dead)
        ]

    def watchers_of(self):
        return [item for item in self.running() if item.following.role.is_watcher]

    def followers(self):
        return [item for item in self.running() if not item.following.role.is_watcher]

    def time_until(self, predicate, limit=30.0):
        """Advance until a predicate holds for all running routers; return the time."""
        started = self.seconds
        while not all(map(predicate, self.running())):
            assert self.seconds - started < limit, "not within the limit"
            self.advance(STEP_S)
        return self.seconds - started
