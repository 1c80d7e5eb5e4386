"""Check whether an upstream crashed, or only this router's link to it broke."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import defer

from banyansail.exceptions import ConnectFailedError, WireError
from banyansail.log import log_event
from banyansail.wire.call_types import (
    EmptyReply,
    NotReached,
    NotSupported,
    PeerReply,
    Reached,
    ReachIncarnation,
    ReachUpstream,
)

if TYPE_CHECKING:
    from banyansail.fleet.entries import Member
    from banyansail.gateway.context import GatewayContext
    from banyansail.gateway.request_types import CallerCall
    from banyansail.gateway.sharing.fleet_link import FleetLink
    from banyansail.gateway.upstream import Upstream

NEAR_PEERS = 2  # routers of the upstream's data centre that are asked
FAR_PEERS = 1
MAX_STARTED_AT = 2**63 - 1  # an entry in the store may hold any number


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
        """Record a crash if it is certain that the upstream ended, and unannounced."""
        if await self._can_connect(upstream):
            return
        load = self._context.dispatcher.load_of(upstream.id)
        if load is None or load.upstream.is_leaving:
            return
        if self._context.reach.is_cut_off or not await self._has_ended(upstream):
            log_event("link_broken", upstream=upstream.id)
            return
        encoded_crashes = self._context.crash_guard.record_crash(upstream, call)
        if encoded_crashes is not None:
            self._context.publish_crashes(encoded_crashes)

    async def answer(self, call: ReachUpstream | ReachIncarnation) -> PeerReply:
        """Answer whether this router reaches an upstream, or one process of it."""
        load = self._context.dispatcher.load_of(call.upstream_id)
        if load is None or self._context.reach.is_cut_off:
            return EmptyReply()
        if isinstance(call, ReachUpstream):
            is_reached = await self._can_connect(load.upstream)
            return Reached() if is_reached else NotReached()
        return await self._answer_incarnation(call)

    async def _answer_incarnation(self, call: ReachIncarnation) -> PeerReply:
        """Answer for one process, as another one under its id may be reached."""
        if not self._has_started_again(call):
            load = self._context.dispatcher.load_of(call.upstream_id)
            if load is None or load.upstream.started_at != call.started_at:
                return EmptyReply()  # a process that this router does not know yet
            if await self._can_connect(load.upstream):
                # The store may have told of the next process meanwhile.
                is_replaced = self._has_started_again(call)
                return NotReached() if is_replaced else Reached()
        return NotReached()

    def _has_started_again(self, call: ReachIncarnation) -> bool:
        load = self._context.dispatcher.load_of(call.upstream_id)
        return load is not None and load.upstream.started_at > call.started_at

    async def _has_ended(self, upstream: Upstream) -> bool:
        """Ask routers of the upstream's data centre, and one of another."""
        members = [
            member
            for member in self._link.live_peers().values()
            if not (member.is_leaving or member.is_cut_off)
        ]
        near = [member for member in members if member.zone == upstream.zone]
        far = [member for member in members if member.zone != upstream.zone]
        near_replies, far_replies = await defer.gatherResults(
            [
                self._ask(near, NEAR_PEERS, upstream),
                self._ask(far, FAR_PEERS, upstream),
            ]
        )
        is_near = self._context.settings.zone == upstream.zone
        return has_ended(near_replies, far_replies, is_near=is_near)

    def _ask(
        self, members: list[Member], count: int, upstream: Upstream
    ) -> defer.Deferred[list[PeerReply]]:
        asked = self._context.random.sample(members, min(count, len(members)))
        return defer.gatherResults(
            [
                defer.Deferred.fromCoroutine(self._call(member, upstream))
                for member in asked
            ]
        )

    async def _call(self, member: Member, upstream: Upstream) -> PeerReply:
        try:
            if 0 < upstream.started_at <= MAX_STARTED_AT:
                call = ReachIncarnation(upstream.id, upstream.started_at)
                reply = await self._link.call(member, call)
                if reply != NotSupported():
                    return reply
            return await self._link.call(member, ReachUpstream(upstream.id))
        except WireError as error:
            log_event("peer_lost", peer=str(member.peer), error=error.message)
            return EmptyReply()

    async def _can_connect(self, upstream: Upstream) -> bool:
        try:
            connection = await self._context.pool_of(upstream.address).connect()
        except ConnectFailedError:
            return False
        connection.close()
        return True


def has_ended(near: list[PeerReply], far: list[PeerReply], *, is_near: bool) -> bool:
    """Return whether an upstream that this router doesn't reach has ended.

    Parameters
    ----------
    near, far : list of PeerReply
        Replies of routers of the upstream's data centre, and of others; `EmptyReply`
        for none. A data centre may be cut off, so its own routers decide.
    is_near : bool
        Whether this router is in the upstream's data centre.
    """
    if Reached() in near + far:
        return False
    if near:
        return NotReached() in near
    return is_near or not far or NotReached() in far
