"""What a gateway answers to other routers and learns from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.exceptions import WireError
from banyansail.fleet.entries import Entry, Topic
from banyansail.gateway.store.upstream_table import UPSTREAMS_DOCUMENT
from banyansail.log import log_event
from banyansail.wire.call_types import (
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
    from banyansail.gateway.context import GatewayContext
    from banyansail.gateway.duties.usage_exchange import UsageExchange
    from banyansail.gateway.requests.crash_check import CrashCheck
    from banyansail.gateway.store.config_keeper import ConfigKeeper
    from banyansail.gateway.store.evacuations import Evacuations
    from banyansail.gateway.store.store_following import StoreFollowing
    from banyansail.gateway.store.upstream_sync import UpstreamSync
    from banyansail.gateway.store.upstream_table import UpstreamTable
    from banyansail.traffic.exchange import TrafficExchange

CONFIG_DOCUMENT = "config"


class PeerMessages:
    """Receiver of the calls and the published entries of other routers.

    Parameters
    ----------
    context : GatewayContext
        Learns of crashes and of verdicts on moves.
    config : ConfigKeeper
        Configuration that is passed on.
    upstreams : UpstreamTable
        Upstreams that are passed on.
    upstream_sync : UpstreamSync
        Learns of upstreams that leave.
    crash_check : CrashCheck
        Answers whether an upstream is reached.
    following : StoreFollowing
        Passes changes of the store on.
    usage_exchange, traffic_exchange : object
        Learn of usage and traffic.
    evacuations : Evacuations or None
        Learns of evacuations; ``None`` if there are none in this deployment.
    """

    __slots__ = (
        "_config",
        "_context",
        "_crash_check",
        "_evacuations",
        "_following",
        "_traffic_exchange",
        "_upstream_sync",
        "_upstreams",
        "_usage_exchange",
    )

    def __init__(
        self,
        context: GatewayContext,
        config: ConfigKeeper,
        upstreams: UpstreamTable,
        upstream_sync: UpstreamSync,
        crash_check: CrashCheck,
        following: StoreFollowing,
        usage_exchange: UsageExchange,
        traffic_exchange: TrafficExchange,
        evacuations: Evacuations | None,
    ) -> None:
        self._context = context
        self._config = config
        self._upstreams = upstreams
        self._upstream_sync = upstream_sync
        self._crash_check = crash_check
        self._following = following
        self._usage_exchange = usage_exchange
        self._traffic_exchange = traffic_exchange
        self._evacuations = evacuations

    async def answer(self, call: PeerCall) -> PeerReply:
        """Answer a call of another router."""
        match call:
            case FetchDocument(name) if name == CONFIG_DOCUMENT:
                return self._config.document() or EmptyReply()
            case FetchDocument(name) if name == UPSTREAMS_DOCUMENT:
                return self._upstreams.document() or EmptyReply()
            case ReachUpstream() | ReachIncarnation():
                return await self._crash_check.answer(call)
            case FollowStore():
                return await self._following.answer(call)
        return EmptyReply()

    def apply_entries(self, entries: list[Entry]) -> None:
        """Apply what other routers published."""
        for entry in entries:
            match entry.topic:
                case Topic.MEMBER:
                    self._merge_evacuations(entry)
                case Topic.LEAVING:
                    self._upstream_sync.merge_marks(entry)
                case Topic.DEATHS:
                    self._context.crash_guard.merge_peer_crashes(entry.value)
                case Topic.STATEMENTS:
                    self._context.moves.merge_bad_moves(entry)
                case Topic.USAGE:
                    self._usage_exchange.apply_entry(entry)
                case Topic.TRAFFIC | Topic.ZONE_TRAFFIC | Topic.FLEET_TRAFFIC:
                    self._traffic_exchange.apply_entry(entry)

    def _merge_evacuations(self, entry: Entry) -> None:
        if self._evacuations is None:
            return
        try:
            self._evacuations.merge(decode_member(entry.value), entry.origin)
        except WireError as error:
            log_event("member_unreadable", origin=entry.origin, error=error.message)
