"""Changes in the store, learned by watching it or from routers that watch it."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from banyansail.exceptions import PlatformUnavailableError, WireError
from banyansail.gateway.store.waiters import Waiters
from banyansail.gateway.store.watchers import WatcherChoice, WatchRole
from banyansail.log import log_event
from banyansail.wire.call_types import FollowStore, StoreChanges

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable
    from random import Random

    from banyansail.clock import Clock
    from banyansail.config.gateway_settings import GatewaySettings
    from banyansail.fleet.entries import Member
    from banyansail.gateway.metrics import GatewayMetrics
    from banyansail.gateway.store.mirror import Mirror
    from banyansail.platform.store import StoreClient
    from banyansail.platform.store_objects import Revision
    from banyansail.wire.call_types import KindChanges, PeerCall, PeerReply

# With the probe of each second and the pause between watches, the state of a follower
# in a quiet store is at most 1.9 s old, below `MAX_AGE`.
FOLLOW_WAIT = timedelta(milliseconds=500)
MAX_FOLLOW_WAIT = timedelta(seconds=1)
REPLY_MARGIN = timedelta(milliseconds=500)  # then a watcher counts as silent
MAX_AGE = timedelta(seconds=2)  # of what a follower knows; then it watches itself
# A starting router waits as long for the list of a watcher before it asks the store.
FIRST_LIST_WAIT = timedelta(milliseconds=100)
FAILURE_PAUSE = timedelta(milliseconds=500)  # if no other router can be followed
ROLE_INTERVAL = timedelta(milliseconds=200)  # of the choice of the watchers
# Added to the supervisor's backoff of 0.5 s, so that retries are 2 s apart at most.
MAX_EXTRA_BACKOFF = timedelta(milliseconds=1500)
EXTRA_BACKOFF_BASE = timedelta(milliseconds=200)
MAX_WAKE_JITTER = timedelta(milliseconds=200)  # of the routers that retry together


class StoreFollowing:
    """Keeps the mirrors current, by watches of the store or by other routers.

    Parameters
    ----------
    settings : GatewaySettings
        Name and data centre of this router, and the number of watchers.
    reactor, clock, random : object
        Sources of events, time and randomness.
    store : StoreClient
        Store; told of eras that watchers know.
    mirrors : iterable of Mirror
        Mirrors to keep current.
    live_members : callable
        Returns the live routers by name, this one included.
    call : callable
        Coroutine function that calls another router.
    metrics : callable
        Returns the metrics.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        reactor: Any,
        clock: Clock,
        random: Random,
        store: StoreClient,
        mirrors: Iterable[Mirror],
        live_members: Callable[[], dict[str, Member]],
        call: Callable[[Member, PeerCall], Coroutine[Any, Any, PeerReply]],
        metrics: Callable[[], GatewayMetrics],
    ) -> None:
        self._settings = settings
        self._reactor = reactor
        self._clock = clock
        self._random = random
        self._store = store
        self._mirrors = tuple(mirrors)
        self._live_members = live_members
        self._call = call
        self._metrics = metrics
        self._choice = WatcherChoice(
            settings.name, settings.zone, settings.store_watchers, clock
        )
        self._role = WatchRole(is_watcher=True, is_first=True, is_shared=False)
        self._role_chosen_at: timedelta | None = None
        self._without_list_since: dict[str, timedelta] = {}  # by kind
        self._passed_on_kinds: set[str] = set()  # that this router did not watch last
        self._listed_kinds: set[str] = set()  # since the start
        self._failures_by_kind: dict[str, int] = {}
        self._followers = Waiters(reactor)  # calls that wait for a change
        self._retries = Waiters(reactor)  # tasks that wait after a failure
        self._idle = Waiters(reactor)  # tasks that another role would give work
        self._followed: set[str] = set()  # that answered and know the present state
        self._is_reached = True
        for mirror in self._mirrors:
            mirror.add_listener(self._wake_followers)
        store.add_restore_listener(self._wake_idle)

    @property
    def role(self) -> WatchRole:
        """What this router does at present."""
        now = self._clock.monotonic()
        chosen_at = self._role_chosen_at
        if chosen_at is None or now - chosen_at >= ROLE_INTERVAL:
            self._choose_role(now)
        return self._role

    def _choose_role(self, now: timedelta) -> None:
        previous, self._role = self._role, self._choice.choose(self._live_members())
        self._role_chosen_at = now
        if self._role != previous:
            self._wake_idle()
        for name in self._followed - set(self._role.followed):
            self._followed.discard(name)
            log_event("store_follow_lost", peer=name, reason="not chosen any more")

    def _role_age_left(self) -> timedelta:
        age = self._clock.monotonic() - self._role_chosen_at
        return max(timedelta(0), ROLE_INTERVAL - age)

    def _wake_idle(self) -> None:
        # Not at once, as the caller may be using the role.
        self._reactor.callLater(0, self._idle.wake)

    async def follow(self, mirror: Mirror) -> bool:
        """Let a mirror list or watch its kind once this router has to.

        Return whether it did; not while another router may pass on the first list.
        """
        while not self.must_watch(mirror):
            self._passed_on_kinds.add(mirror.kind)
            if mirror.revision is None:
                return False
            await self._idle.wait(min(self._role_age_left(), MAX_AGE - mirror.age))
        if mirror.kind in self._passed_on_kinds:
            self._passed_on_kinds.discard(mirror.kind)
            mirror.record_loss()
        try:
            await mirror.follow()
        except PlatformUnavailableError:
            await self._back_off(mirror.kind)
            raise
        self._failures_by_kind.pop(mirror.kind, None)
        return True

    def must_watch(self, mirror: Mirror) -> bool:
        """Return whether this router asks the store for a kind itself."""
        if mirror.revision is None:
            return self._must_list(mirror.kind)
        self._without_list_since.pop(mirror.kind, None)
        self._listed_kinds.add(mirror.kind)
        return self.role.is_watcher or mirror.age >= MAX_AGE

    def _must_list(self, kind: str) -> bool:
        """Return whether to list a kind, as no watcher passed its list on at once."""
        now = self._clock.monotonic()
        since = self._without_list_since.setdefault(kind, now)
        if now - since >= FIRST_LIST_WAIT:
            return True
        if not self._settings.store_watchers:
            return True
        members = self._live_members()
        self._choose_role(now)
        is_starting = kind not in self._listed_kinds and len(members) == 1
        if is_starting and self._has_other_seeds():
            return False  # whom to follow is known with the first datagrams
        return self._role.is_watcher

    def _has_other_seeds(self) -> bool:
        return any(seed != self._settings.peer.host for seed in self._settings.seeds)

    async def _back_off(self, kind: str) -> None:
        """Wait after a failure, unless this router is to notice the recovery."""
        failures = self._failures_by_kind.get(kind, 0) + 1
        self._failures_by_kind[kind] = failures
        if self.role.is_first:
            return
        longest = min(
            MAX_EXTRA_BACKOFF, EXTRA_BACKOFF_BASE * 2 ** min(failures - 1, 10)
        )
        pause = longest * self._random.uniform(0.5, 1)
        await self._retries.wait(pause)

    def record_probe(self, sent_at: timedelta, *, is_reached: bool) -> None:
        """Record the outcome of a small read of the store."""
        if is_reached:
            for mirror in self._mirrors:
                mirror.confirmation.confirm_by_contact(sent_at)
            if not self._is_reached:
                jitter = MAX_WAKE_JITTER * self._random.random()
                self._reactor.callLater(jitter.total_seconds(), self._retries.wake)
        self._is_reached = is_reached

    def update(self) -> None:
        """Record that this process runs; to be called often."""
        for mirror in self._mirrors:
            mirror.confirmation.record_running()

    def set_metrics(self) -> None:
        """Set the metrics to what they are at present."""
        metrics = self._metrics()
        metrics.set_store_following(len(self._followed), len(self._followers))
        for mirror in self._mirrors:
            if mirror.revision is not None:
                metrics.set_store_age(mirror.kind, mirror.age)

    async def follow_watcher(self, position: int) -> None:
        """Ask one of the followed routers for changes, and apply them."""
        while position >= len(self.role.followed):
            await self._idle.wait(self._role_age_left())
        name = self._role.followed[position]
        member = self._live_members().get(name)
        if member is None:
            return
        known = {mirror.kind: mirror.revision for mirror in self._mirrors}
        sent_at = self._clock.monotonic()
        try:
            reply = await self._ask(member, FollowStore(known, FOLLOW_WAIT))
        except WireError as error:
            await self._lose(name, error.message)
            return
        if not isinstance(reply, StoreChanges):
            await self._lose(name, f"replied {type(reply).__name__}")
            return
        await self._apply(name, reply, sent_at)

    async def _ask(self, member: Member, call: FollowStore) -> PeerReply:
        limit = FOLLOW_WAIT + REPLY_MARGIN
        asked = defer.Deferred.fromCoroutine(self._call(member, call))
        asked.addTimeout(limit.total_seconds(), self._reactor)
        try:
            return await asked
        except defer.TimeoutError:
            raise WireError(f"no reply within {limit.total_seconds()} s") from None

    async def _apply(self, name: str, reply: StoreChanges, sent_at: timedelta) -> None:
        # The reply may have waited to be read, so that only the time that the watcher
        # held the call is certain to have passed since it was sent.
        replied_at = sent_at + reply.held
        if reply.kinds:
            self._store.observe_era(max(item.revision.era for item in reply.kinds))
        if any(item.revision.era < self._store.era for item in reply.kinds):
            await self._lose(name, "it does not know that the store was restored")
            return
        changes_by_kind = {item.kind: item for item in reply.kinds}
        for mirror in self._mirrors:
            changes = changes_by_kind.get(mirror.kind)
            if changes is not None:
                mirror.apply_changes(changes, replied_at - changes.age)
        ages = [item.age for item in reply.kinds]
        if not ages or max(ages) > MAX_AGE:
            await self._lose(name, "it is out of touch with the store")
        elif name not in self._followed:
            self._followed.add(name)
            log_event("store_followed", peer=name)

    async def _lose(self, name: str, reason: str) -> None:
        """Follow another router instead of one, or wait if there is none."""
        if name in self._followed:
            self._followed.discard(name)
            log_event("store_follow_lost", peer=name, reason=reason)
        self._choice.record_failure(name)
        self._choose_role(self._clock.monotonic())
        if name in self._role.followed:
            await self._retries.wait(FAILURE_PAUSE)

    async def answer(self, call: FollowStore) -> PeerReply:
        """Answer a follower at the next change, or when it has waited long enough."""
        received_at = self._clock.monotonic()
        wait = min(call.wait, MAX_FOLLOW_WAIT)
        self._choice.record_request()
        while True:
            changes = self._changes_since(call.known)
            held = self._clock.monotonic() - received_at
            if held >= wait or any(item.has_news for item in changes):
                return StoreChanges(changes, held)
            await self._followers.wait(wait - held)

    def _changes_since(
        self, known: dict[str, Revision | None]
    ) -> tuple[KindChanges, ...]:
        found = (
            mirror.changes_since(known[mirror.kind])
            for mirror in self._mirrors
            if mirror.kind in known
        )
        return tuple(changes for changes in found if changes is not None)

    def _wake_followers(self, mirror: Mirror) -> None:
        # Not at once, as a listener of the mirror may be using the change.
        self._reactor.callLater(0, self._followers.wake)
