"""Check whether an upstream crashed, or only this router's link to it broke."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import defer

from banyansail.exceptions import ConnectFailedError, WireError
from banyansail.log import log_event
from banyansail.wire.call_codec import (
    EmptyReply,
    NotReached,
    PeerReply,
    Reached,
    ReachUpstream,
)

if TYPE_CHECKING:
    from banyansail.fleet.entries import Member
    from banyansail.gateway.context import GatewayContext
    from banyansail.gateway.fleet_link import FleetLink
    from banyansail.gateway.request_types import CallerCall
    from banyansail.gateway.upstream import Upstream


class CrashCheck:
    """Examines upstreams whose connection broke, and answers other routers that do.

    Parameters
    ----------
    context : GatewayContext
        Connections to upstreams; records crashes.
    link : FleetLink
        Calls other routers and publishes crashes.
    """

    def __init__(self, context: GatewayContext, link: FleetLink) -> None:
        self._context = context
        self._link = link

    async def run(self, upstream: Upstream, call: CallerCall) -> None:
        """Record a crash if neither this router nor another reaches the upstream."""
        if await self._can_connect(upstream):
            return
        if self._context.reach.is_cut_off or await self._others_reach(upstream):
            log_event("link_broken", upstream=upstream.id)
            return
        encoded_crashes = self._context.crash_guard.record_crash(upstream, call)
        if encoded_crashes is not None:
            self._context.publish_crashes(encoded_crashes)

    async def answer(self, call: ReachUpstream) -> PeerReply:
        """Answer whether this router reaches an upstream."""
        load = self._context.dispatcher.load_of(call.upstream_id)
        if load is None or self._context.reach.is_cut_off:
            return EmptyReply()
        is_reached = await self._can_connect(load.upstream)
        return Reached() if is_reached else NotReached()

    async def _others_reach(self, upstream: Upstream) -> bool:
        replies = [
            defer.Deferred.fromCoroutine(self._ask(member, upstream))
            for member in self._choose_witnesses(upstream.zone)
        ]
        return any(await defer.gatherResults(replies, consumeErrors=True))

    async def _ask(self, member: Member, upstream: Upstream) -> bool:
        try:
            reply = await self._link.call(member, ReachUpstream(upstream.id))
        except WireError as error:
            log_event("peer_lost", peer=str(member.peer), error=error.message)
            return False
        return isinstance(reply, Reached)

    def _choose_witnesses(self, zone: str) -> list[Member]:
        """Return a router of an upstream's data centre and one of another."""
        members = [
            member
            for member in self._link.live_peers().values()
            if not (member.is_leaving or member.is_cut_off)
        ]
        near = [member for member in members if member.zone == zone]
        far = [member for member in members if member.zone != zone]
        return [self._context.random.choice(group) for group in (near, far) if group]

    async def _can_connect(self, upstream: Upstream) -> bool:
        try:
            connection = await self._context.pool_of(upstream.address).connect()
        except ConnectFailedError:
            return False
        connection.close()
        return True
