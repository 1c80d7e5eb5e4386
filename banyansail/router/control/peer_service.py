"""Handler of calls from other routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.exceptions import PlatformUnavailableError, WireError
from banyansail.ledger.records import (
    Finished,
    FinishKey,
    InFlight,
    KeyMismatch,
    Recorded,
    ReleaseKey,
    Result,
    ShardFull,
    Started,
    StartKey,
)
from banyansail.router.control.rules_keeper import RULES_DOCUMENT
from banyansail.router.upstreams.catalog import INSTANCES_DOCUMENT
from banyansail.wire.call_types import (
    Document,
    EmptyReply,
    FetchDocument,
    FetchStream,
    PeerCall,
    PeerReply,
    StoreStream,
    Unavailable,
)

if TYPE_CHECKING:
    from banyansail.ledger.client import LedgerClient
    from banyansail.router.control.rules_keeper import RulesKeeper
    from banyansail.router.exchanges.handoff import StreamStore
    from banyansail.router.upstreams.catalog import Catalog


class PeerService:
    """Serves ledger operations, documents and stream records to other routers."""

    def __init__(self) -> None:
        self._ledger: LedgerClient | None = None
        self._rules_keeper: RulesKeeper | None = None
        self._catalog: Catalog | None = None
        self._streams: StreamStore | None = None

    def connect(
        self,
        ledger: LedgerClient,
        rules_keeper: RulesKeeper,
        catalog: Catalog,
        streams: StreamStore,
    ) -> None:
        """Set the components that serve the calls; they are created after this one."""
        self._ledger = ledger
        self._rules_keeper = rules_keeper
        self._catalog = catalog
        self._streams = streams

    async def handle(self, call: PeerCall) -> PeerReply:
        """Handle one call and return its reply."""
        match call:
            case StartKey() | FinishKey() | ReleaseKey():
                return await self._commit(call)
            case FetchDocument(name, version):
                return self._fetch(name, version)
            case StoreStream(record):
                self._streams.store(record)
                return EmptyReply()
            case FetchStream(request_id):
                return self._streams.get(request_id) or EmptyReply()
        return EmptyReply()

    @staticmethod
    def check_result(reply: PeerReply) -> Result:
        """Return the result of a ledger operation that another router performed.

        Raises
        ------
        WireError
            If the router did not write the operation.
        """
        if isinstance(
            reply, Started | InFlight | Finished | KeyMismatch | ShardFull | Recorded
        ):
            return reply
        raise WireError(f"the owner did not write the ledger operation: {reply}")

    async def _commit(self, operation: StartKey | FinishKey | ReleaseKey) -> PeerReply:
        try:
            return await self._ledger.commit(operation)
        except PlatformUnavailableError as error:
            return Unavailable(error.message)

    def _fetch(self, name: str, version: int) -> PeerReply:
        if name == RULES_DOCUMENT:
            rules = self._rules_keeper.rules
            if rules.version > version:
                return Document(rules.version, rules.text)
        if name == INSTANCES_DOCUMENT:
            document = self._catalog.document
            if document.version != version:
                return document
        return EmptyReply()
