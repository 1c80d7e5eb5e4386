"""What a gateway answers to other routers and learns from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.exceptions import WireError
from banyansail.fleet.entries import Entry, Topic
from banyansail.gateway.store.upstream_table import UPSTREAMS_DOCUMENT
from banyansail.log import log_event
from banyansail.wire.call_codec import (
    EmptyReply,
    FetchDocument,
    FollowStore,
    PeerCall,
    PeerReply,
    ReachIncarnation,
    ReachUpstream,
)
from banyansail.wire.gossip_codec import decode_member

if TYPE_CHECKING:
    from banyansail.gateway.router import Gateway

CONFIG_DOCUMENT = "config"


class PeerMessages:
    """Receiver of the calls and the published entries of other routers.

    Parameters
    ----------
    gateway : Gateway
        Gateway whose components answer and learn.
    """

    __slots__ = ("_gateway",)

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    async def answer(self, call: PeerCall) -> PeerReply:
        """Answer a call of another router."""
        gateway = self._gateway
        match call:
            case FetchDocument(name) if name == CONFIG_DOCUMENT:
                return gateway.config.document() or EmptyReply()
            case FetchDocument(name) if name == UPSTREAMS_DOCUMENT:
                return gateway.mirrors.upstreams.document() or EmptyReply()
            case ReachUpstream() | ReachIncarnation():
                return await gateway.crash_check.answer(call)
            case FollowStore():
                return await gateway.store_following.answer(call)
        return EmptyReply()

    def apply_entries(self, entries: list[Entry]) -> None:
        """Apply what other routers published."""
        gateway = self._gateway
        for entry in entries:
            match entry.topic:
                case Topic.MEMBER:
                    self._merge_evacuations(entry)
                case Topic.LEAVING:
                    gateway.upstream_sync.merge_marks(entry)
                case Topic.DEATHS:
                    gateway.context.crash_guard.merge_peer_crashes(entry.value)
                case Topic.STATEMENTS:
                    gateway.moves.merge_bad_moves(entry)
                case Topic.USAGE:
                    gateway.usage_exchange.apply_entry(entry)
                case Topic.TRAFFIC | Topic.ZONE_TRAFFIC | Topic.FLEET_TRAFFIC:
                    gateway.traffic_exchange.apply_entry(entry)

    def _merge_evacuations(self, entry: Entry) -> None:
        gateway = self._gateway
        if not gateway.follows_evacuations:
            return
        try:
            gateway.evacuations.merge(decode_member(entry.value), entry.origin)
        except WireError as error:
            log_event("member_unreadable", origin=entry.origin, error=error.message)
