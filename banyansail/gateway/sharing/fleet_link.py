"""Communication with other routers: gossip, fetched documents, registration."""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING, Any

from banyansail.config.fields import Address, parse_address
from banyansail.exceptions import StoreConflictError, WireError
from banyansail.fleet.datagrams import GossipProtocol
from banyansail.fleet.entries import Feature, Member, Topic
from banyansail.fleet.gossiper import Gossiper
from banyansail.fleet.peer_calls import (
    PeerCaller,
    PeerServerFactory,
    is_understood,
)
from banyansail.fleet.view import FleetView
from banyansail.gateway.decisions.limits.sharers import Sharers
from banyansail.log import log_event
from banyansail.metrics import Metrics
from banyansail.wire.call_codec import Document, FetchDocument, NotSupported
from banyansail.wire.gossip_codec import encode_member
from banyansail.wire.message_auth import MessageAuthenticator

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable
    from random import Random

    from banyansail.clock import Clock
    from banyansail.config.gateway_settings import GatewaySettings
    from banyansail.fleet.entries import Entry, EvacuationMark
    from banyansail.platform.store import StoreClient, StoredObject
    from banyansail.wire.call_codec import PeerCall, PeerReply

ROUTERS_KIND = "routers"
FEATURES = (
    Feature.ANSWERS_UNKNOWN_CALLS
    | Feature.RELAYS_STORE_CHANGES
    | Feature.REACH_INCARNATION
)


class FleetLink:
    """One router's gossip with the others and its calls to them.

    Parameters
    ----------
    settings : GatewaySettings
        Name, address and seeds.
    reactor, clock, random : object
        Sources of events, time and randomness.
    on_new_entries : callable
        Called with newly received gossip entries.
    handle_call : callable
        Coroutine function that handles the calls of other routers.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        reactor: Any,
        clock: Clock,
        random: Random,
        on_new_entries: Callable[[list[Entry]], None],
        handle_call: Callable[[PeerCall], Coroutine[Any, Any, PeerReply]],
    ) -> None:
        self._settings = settings
        incarnation = int(clock.now().timestamp() * 1000)
        authenticator = MessageAuthenticator(settings.shared_key)
        view = FleetView(settings.name, incarnation, clock)
        self._view = view
        seeds = [Address(host, settings.peer.port) for host in settings.seeds]
        self._gossiper = Gossiper(view, settings.zone, settings.peer, seeds, random)
        self.protocol = GossipProtocol(
            self._gossiper, authenticator, Metrics(None), on_new_entries
        )
        self.server = PeerServerFactory(authenticator, handle_call)
        self._caller = PeerCaller(reactor, authenticator)
        self._sharers = Sharers(clock, settings.retry_window)
        self._is_joined = False
        self._published_member: Member | None = None

    def live_members(self) -> dict[str, Member]:
        """Return the live routers by name, this one included."""
        return self._gossiper.live_members()

    def live_peers(self) -> dict[str, Member]:
        """Return the other live routers by name."""
        members = self._gossiper.live_members()
        members.pop(self._settings.name, None)
        return members

    def known_routers(self) -> frozenset[str]:
        """Return the names of all routers that there may be, live or not."""
        silence_by_leaving = {
            name: self._view.age(name)
            for name, member in self._gossiper.members().items()
            if member.is_leaving and name != self._settings.name
        }
        return self._sharers.names(self._view.names, silence_by_leaving)

    def count_sharers(self) -> int | None:
        """Return how many routers share the retry budget; ``None`` if unknown."""
        return len(self.known_routers()) if self._sharers.is_complete else None

    def zone_members(self) -> list[str]:
        """Return the live routers of this data centre, this one included."""
        return [
            name
            for name, member in self._gossiper.live_members().items()
            if member.zone == self._settings.zone
        ]

    def publish(self, topic: Topic, value: bytes, *, urgent: bool = False) -> None:
        """Replace this router's value of a topic; push it at once if urgent."""
        if self._gossiper.publish(topic, value) and urgent:
            self.push()

    def publish_member(
        self,
        version: int,
        active_since: datetime,
        *,
        is_ready: bool,
        is_leaving: bool,
        store_era: int,
        is_cut_off: bool,
        evacuations: tuple[EvacuationMark, ...] = (),
    ) -> None:
        """Publish this router's address and state.

        The version of the active configuration is published as that of the rules.
        """
        settings = self._settings
        member = Member(
            settings.zone,
            settings.region,
            settings.peer,
            version,
            active_since,
            is_ready,
            is_leaving,
            store_era,
            settings.relay.port,
            is_cut_off,
            FEATURES,
            evacuations=evacuations,
        )
        if member != self._published_member:
            self._published_member = member
            self.publish(Topic.MEMBER, encode_member(member), urgent=True)

    def send_value(self, names: Iterable[str], topic: Topic, value: bytes) -> Entry:
        """Send a value to some routers only; return its entry."""
        entry = self._gossiper.send_value(names, topic, value)
        self.protocol.send(self._gossiper.direct_datagrams())
        return entry

    def relay(self, names: Iterable[str], entry: Entry) -> None:
        """Send the entry of another router to some routers."""
        self._gossiper.relay(names, entry)
        self.protocol.send(self._gossiper.direct_datagrams())

    def push(self) -> None:
        """Push new entries to other routers."""
        self.protocol.send(self._gossiper.push())

    def exchange_digests(self) -> None:
        """Remove expired routers and send digests to live ones."""
        self._gossiper.expire_members()
        self.protocol.send(self._gossiper.exchange())

    async def call(self, member: Member, call: PeerCall) -> PeerReply:
        """Call another router; raise `WireError` if it does not reply.

        A call that the router does not understand is not sent.
        """
        if not is_understood(call, member.features):
            return NotSupported()
        return await self._caller.call(member.peer, call)

    async def fetch(self, member: Member, document: str) -> Document | None:
        """Fetch a document from another router; return ``None`` if unavailable."""
        try:
            reply = await self.call(member, FetchDocument(document, 0))
        except WireError as error:
            log_event("peer_lost", peer=str(member.peer), error=error.message)
            return None
        return reply if isinstance(reply, Document) else None

    def forget_registration(self) -> None:
        """Register again with the next `join`, as the store may have lost the entry."""
        self._is_joined = False

    async def join(self, store: StoreClient) -> None:
        """Register this router in the store; add the others as gossip seeds.

        A new router reads the others again at the next call, as those that start at the
        same time may not be registered at the first one.
        """
        if self._is_joined:
            return
        settings = self._settings
        _, stored = await store.list(ROUTERS_KIND)
        routers = {item.name: item for item in stored}
        spec = {"peer": str(settings.peer), "zone": settings.zone}
        own = routers.pop(settings.name, None)
        try:
            if own is None:
                await store.create(ROUTERS_KIND, settings.name, spec)
            elif own.spec != spec:
                await store.replace(ROUTERS_KIND, settings.name, spec, own.revision)
        except StoreConflictError as error:
            log_event("join_conflict", error=error.message)
            return
        seeds = _read_seeds(routers.values())
        self._gossiper.add_seeds(seeds)
        if own is None:
            return
        self._sharers.record_registered([settings.name, *routers])
        log_event("joined", others=len(seeds))
        self._is_joined = True


def _read_seeds(routers: Iterable[StoredObject]) -> list[Address]:
    """Return the addresses of registered routers; log and skip unreadable entries."""
    seeds = []
    for item in routers:
        try:
            seeds.append(parse_address(item.spec["peer"]))
        except (KeyError, TypeError, ValueError) as error:
            log_event("router_unreadable", name=item.name, error=repr(error))
    return seeds
