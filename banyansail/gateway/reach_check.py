"""Check whether any upstream can be reached, by new connections to a few of them."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from twisted.internet import defer

from banyansail.exceptions import ConnectFailedError
from banyansail.log import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.clock import Clock
    from banyansail.gateway.context import GatewayContext
    from banyansail.gateway.decisions.upstreams.upstream_load import UpstreamLoad

MAX_TARGETS = 3


class ReachCheck:
    """Tries connections while the router may be cut off from all upstreams.

    Parameters
    ----------
    context : GatewayContext
        Has the upstreams, their pools and the evidence of a cut.
    clock : Clock
        Source of time.
    on_change : callable
        Called after the router was cut off, or reaches upstreams again.
    """

    def __init__(
        self, context: GatewayContext, clock: Clock, on_change: Callable[[], None]
    ) -> None:
        self._context = context
        self._clock = clock
        self._on_change = on_change
        self._lock = defer.DeferredLock()

    async def run(self) -> None:
        """Check if it is due."""
        reach = self._context.reach
        now = self._clock.monotonic()
        loads = self._context.dispatcher.loads()
        waits = [load.oldest_wait(now) for load in loads if load.in_flight]
        if loads and reach.needs_check(max(waits, default=timedelta(0))):
            await self._lock.run(self._check, loads)

    async def confirm(self) -> None:
        """Check at once if a connection failed since the last one was accepted."""
        await self._lock.run(self._check_in_doubt)

    async def _check_in_doubt(self) -> None:
        loads = self._context.dispatcher.loads()
        if loads and self._context.reach.is_in_doubt:
            await self._check(loads)

    async def _check(self, loads: list[UpstreamLoad]) -> None:
        reach = self._context.reach
        if reach.record_check(has_contact=await self._has_contact(loads)):
            event = "upstreams_unreachable" if reach.is_cut_off else "upstreams_reached"
            log_event(event, tried=min(len(loads), MAX_TARGETS))
            self._on_change()

    async def _has_contact(self, loads: list[UpstreamLoad]) -> bool:
        first, *others = self._choose_targets(loads)
        if await self._can_connect(first):
            return True
        attempts = [
            defer.Deferred.fromCoroutine(self._can_connect(load)) for load in others
        ]
        return any(await defer.gatherResults(attempts, consumeErrors=True))

    def _choose_targets(self, loads: list[UpstreamLoad]) -> list[UpstreamLoad]:
        """Return a few upstreams, of as many data centres as there are."""
        shuffled = self._context.random.sample(loads, len(loads))
        seen: dict[str, int] = {}
        rank_by_id: dict[str, int] = {}
        for load in shuffled:
            zone = load.upstream.zone
            rank_by_id[load.upstream.id] = seen[zone] = seen.get(zone, -1) + 1
        shuffled.sort(key=lambda load: rank_by_id[load.upstream.id])
        return shuffled[:MAX_TARGETS]

    async def _can_connect(self, load: UpstreamLoad) -> bool:
        pool = self._context.pool_of(load.upstream.address)
        try:
            connection = await pool.connect()
        except ConnectFailedError:
            return False
        pool.keep(connection)
        return True
