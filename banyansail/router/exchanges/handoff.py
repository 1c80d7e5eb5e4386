"""Records of streams that other routers resume after a router stops."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from banyansail.exceptions import WireError
from banyansail.wire.call_types import (
    EmptyReply,
    FetchStream,
    StoreStream,
    StreamRecord,
)

if TYPE_CHECKING:
    from banyansail.fleet.duties import Duties
    from banyansail.fleet.gossiper import Gossiper
    from banyansail.fleet.peer_calls import PeerCaller

RECORD_COPIES = 2
MAX_RECORDS = 1000


class StreamStore:
    """Stores records for other routers and fetches records stored by them.

    Parameters
    ----------
    gossiper : Gossiper
        Source of the live routers.
    peers : PeerCaller
        Client for calls to other routers.
    duties : Duties
        Determines which routers store the record of a stream.
    """

    __slots__ = ("_duties", "_gossiper", "_peers", "_record_by_id")

    def __init__(self, gossiper: Gossiper, peers: PeerCaller, duties: Duties) -> None:
        self._gossiper = gossiper
        self._peers = peers
        self._duties = duties
        self._record_by_id: OrderedDict[str, StreamRecord] = OrderedDict()

    def store(self, record: StreamRecord) -> None:
        """Store a record; evict the oldest one if there are too many."""
        self._record_by_id[record.request_id] = record
        if len(self._record_by_id) > MAX_RECORDS:
            self._record_by_id.popitem(last=False)

    def get(self, request_id: str) -> StreamRecord | None:
        """Return a record that is stored at this router."""
        return self._record_by_id.get(request_id)

    async def hand_off(self, record: StreamRecord) -> bool:
        """Store a record at other routers of the zone; return whether one has it."""
        members = self._gossiper.live_members()
        copies = 0
        for name in self._duties.stream_record_holders(record.request_id, len(members)):
            try:
                reply = await self._peers.call(members[name].peer, StoreStream(record))
            except WireError:
                continue
            if reply != EmptyReply():
                continue
            copies += 1
            if copies == RECORD_COPIES:
                break
        return copies > 0

    async def find(self, request_id: str) -> StreamRecord | None:
        """Return a record stored here or at another router of the zone."""
        local = self.get(request_id)
        if local is not None:
            return local
        members = self._gossiper.live_members()
        for name in self._duties.stream_record_holders(request_id, len(members)):
            try:
                reply = await self._peers.call(
                    members[name].peer, FetchStream(request_id)
                )
            except WireError:
                continue
            if isinstance(reply, StreamRecord):
                return reply
        return None
