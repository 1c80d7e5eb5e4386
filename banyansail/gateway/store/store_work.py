"""Work that a gateway repeats to follow the platform's store."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, task

from banyansail.gateway.sharing.peer_messages import CONFIG_DOCUMENT
from banyansail.gateway.store.missed_change import MissedChange
from banyansail.gateway.store.upstream_sync import MAX_COALESCE_TIME
from banyansail.gateway.store.upstream_table import UPSTREAMS_DOCUMENT

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.gateway.duties.duty_lease import DutyLease
    from banyansail.gateway.sharing.fleet_link import FleetLink
    from banyansail.gateway.store.config_keeper import ConfigKeeper
    from banyansail.gateway.store.config_sources import ConfigSources
    from banyansail.gateway.store.store_following import StoreFollowing
    from banyansail.gateway.store.store_mirrors import StoreMirrors
    from banyansail.gateway.store.store_probe import StoreProbe
    from banyansail.gateway.store.upstream_sync import UpstreamSync
    from banyansail.platform.store import StoreClient

CONFIRM_DELAY = timedelta(milliseconds=100)  # from the end of a pause; a watch is sent


class StoreWork:
    """Coroutines that follow the store and keep this router's entry there.

    Parameters
    ----------
    reactor, clock : object
        Sources of events and time.
    store : StoreClient
        The platform's store.
    probe : StoreProbe
        Tells whether the store answers.
    mirrors : StoreMirrors
        What is followed.
    following : StoreFollowing
        Follows it, by itself or through other routers.
    upstream_sync : UpstreamSync
        Tells how long changes of upstreams may coalesce.
    config : ConfigKeeper
        Takes configurations of other routers.
    link : FleetLink
        Other routers.
    sources : ConfigSources
        Which of them to fetch a newer configuration from.
    """

    __slots__ = (
        "_clock",
        "_config",
        "_following",
        "_link",
        "_mirrors",
        "_missed",
        "_probe",
        "_reactor",
        "_sources",
        "_store",
        "_upstream_sync",
    )

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        store: StoreClient,
        probe: StoreProbe,
        mirrors: StoreMirrors,
        following: StoreFollowing,
        upstream_sync: UpstreamSync,
        config: ConfigKeeper,
        link: FleetLink,
        sources: ConfigSources,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._store = store
        self._probe = probe
        self._mirrors = mirrors
        self._following = following
        self._upstream_sync = upstream_sync
        self._config = config
        self._link = link
        self._sources = sources
        self._missed = MissedChange(clock)

    async def follow_upstreams(self) -> None:
        """Wait for upstream changes, then pause so that further changes coalesce."""
        mirror = self._mirrors.upstreams.mirror
        if not await self._following.follow(mirror):
            return
        if mirror.has_minor_changes_only and self._following.role.is_shared:
            await self._sleep(MAX_COALESCE_TIME)
            # Followers rely on the age of the last contact, which the pause delays.
            self._reactor.callLater(CONFIRM_DELAY.total_seconds(), self._confirm_store)
        else:
            await self._sleep(self._upstream_sync.coalesce_time)

    async def follow_config(self) -> None:
        """Wait for changes of the configuration."""
        await self._following.follow(self._mirrors.config)

    async def follow_moves(self) -> None:
        """Wait for changes of the orders to move traffic."""
        await self._following.follow(self._mirrors.moves)

    async def follow_evacuations(self) -> None:
        """Wait for changes of the evacuations."""
        await self._following.follow(self._mirrors.evacuations)

    async def follow_routers(self) -> None:
        """Wait for changes of the list of routers."""
        await self._following.follow(self._mirrors.routers)

    async def follow_first_watcher(self) -> None:
        """Learn of changes in the store from the first router that is followed."""
        await self._following.follow_watcher(0)

    async def follow_second_watcher(self) -> None:
        """Learn of changes in the store from the second router that is followed."""
        await self._following.follow_watcher(1)

    async def probe(self) -> None:
        """Check whether the store answers."""
        sent_at = self._clock.monotonic()
        await self._probe.probe()
        is_reached = not self._probe.is_unreachable
        self._following.record_probe(sent_at, is_reached=is_reached)

    async def expire_upstreams(self) -> None:
        """Remove lapsed upstreams that did not reappear in the store in time."""
        self._mirrors.upstreams.mirror.expire_lapsed()

    async def catch_up(self) -> None:
        """Fetch newer configurations and missing upstreams from other routers."""
        peers = self._link.live_peers()
        # A router that does not know the era publishes 0.
        if era := max((member.store_era for member in peers.values()), default=0):
            self._store.observe_era(era)
        upstreams = self._mirrors.upstreams
        self._check_watches()
        for name in self._sources.choose(peers, self._config.site.version):
            if peers[name].rules_version > self._config.site.version:
                document = await self._link.fetch(peers[name], CONFIG_DOCUMENT)
                if document is not None:
                    self._config.apply_document(document, name)
        for name, member in peers.items():
            if upstreams.needs_seed and member.is_ready:
                document = await self._link.fetch(member, UPSTREAMS_DOCUMENT)
                if document is not None:
                    upstreams.seed(document, name)

    def _check_watches(self) -> None:
        """Renew the watches if they missed a configuration that others passed on."""
        version = self._config.site.version
        if self._missed.is_due(version, self._config.store_version):
            self._store.renew_watches(f"version {version} was missed")

    async def register(self) -> None:
        """Keep this router's entry in the store as it should be."""
        await self._link.register(self._store)

    async def remove_ended_routers(self, lease: DutyLease) -> None:
        """Remove entries of routers that have ended, if this one holds the duties."""
        if lease.fencing_token() is not None:
            await self._link.remove_ended(self._store)

    def _confirm_store(self) -> None:
        defer.Deferred.fromCoroutine(self.probe())

    def _sleep(self, duration: timedelta) -> defer.Deferred[None]:
        return task.deferLater(self._reactor, duration.total_seconds())
