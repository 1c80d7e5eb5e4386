"""Records of streams that another router continues after this one stops."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from banyansail.exceptions import WireError
from banyansail.wire.call_codec import FetchStream, StoreStream, StreamRecord

if TYPE_CHECKING:
    from banyansail.fleet.duties import Duties
    from banyansail.fleet.gossiper import Gossiper
    from banyansail.fleet.peer_calls import PeerCaller

KEEPERS = 2
MAX_RECORDS = 1000


class StreamStore:
    """Keeps records for other routers and finds those that others keep.

    Parameters
    ----------
    gossiper : Gossiper
        Knows the other routers.
    peers : PeerCaller
        Calls them.
    duties : Duties
        Says which routers keep the record of a stream.
    """

    __slots__ = ("_duties", "_gossiper", "_peers", "_record_by_id")

    def __init__(self, gossiper: Gossiper, peers: PeerCaller, duties: Duties) -> None:
        self._gossiper = gossiper
        self._peers = peers
        self._duties = duties
        self._record_by_id: OrderedDict[str, StreamRecord] = OrderedDict()

    def keep(self, record: StreamRecord) -> None:
        """Keep a record; the oldest one gives way if there are too many."""
        self._record_by_id[record.request_id] = record
        if len(self._record_by_id) > MAX_RECORDS:
            self._record_by_id.popitem(last=False)

    def get(self, request_id: str) -> StreamRecord | None:
        """Return a record that is kept here."""
        return self._record_by_id.get(request_id)

    async def hand_off(self, record: StreamRecord) -> bool:
        """Give a record to other routers of the zone; return whether one has it."""
        members = self._gossiper.live_members()
        kept = 0
        for name in self._duties.stream_record_holders(record.request_id, len(members)):
            try:
                await self._peers.call(members[name].peer, StoreStream(record))
            except WireError:
                continue
            kept += 1
            if kept == KEEPERS:
                break
        return kept > 0

    async def find(self, request_id: str) -> StreamRecord | None:
        """Find a record here or at another router of the zone."""
        own = self.get(request_id)
        if own is not None:
            return own
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
