"""The other routers: gossip, documents that are fetched from them, the store's list."""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING, Any

from banyansail.config.fields import Address, parse_address
from banyansail.exceptions import StoreConflictError, WireError
from banyansail.fleet.datagrams import GossipProtocol
from banyansail.fleet.entries import Member, Topic
from banyansail.fleet.gossiper import Gossiper
from banyansail.fleet.peer_calls import PeerCaller, PeerServerFactory
from banyansail.fleet.view import FleetView
from banyansail.log import log_event
from banyansail.metrics import Metrics
from banyansail.wire.call_codec import Document, FetchDocument
from banyansail.wire.gossip_codec import encode_member
from banyansail.wire.message_auth import MessageAuthenticator

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable
    from random import Random

    from banyansail.clock import Clock
    from banyansail.config.gateway_settings import GatewaySettings
    from banyansail.fleet.entries import Entry
    from banyansail.platform.store import Store
    from banyansail.wire.call_codec import PeerCall, PeerReply

ROUTERS_KIND = "routers"
MOST_TOLD = 24  # routers that are told directly


class FleetLink:
    """Place of one router among the others.

    Parameters
    ----------
    settings : GatewaySettings
        Name, address and seeds.
    reactor, clock, random : object
        Sources of events, time and draws.
    on_news : callable
        Called with entries that were not known.
    answer : callable
        Coroutine function that answers the calls of other routers.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        reactor: Any,
        clock: Clock,
        random: Random,
        on_news: Callable[[list[Entry]], None],
        answer: Callable[[PeerCall], Coroutine[Any, Any, PeerReply]],
    ) -> None:
        self._settings = settings
        self._random = random
        incarnation = int(clock.now().timestamp() * 1000)
        authenticator = MessageAuthenticator(settings.shared_key)
        view = FleetView(settings.name, incarnation, clock)
        seeds = [Address(host, settings.peer.port) for host in settings.seeds]
        self._gossiper = Gossiper(view, settings.zone, settings.peer, seeds, random)
        self.protocol = GossipProtocol(
            self._gossiper, authenticator, Metrics(None), on_news
        )
        self.server = PeerServerFactory(authenticator, answer)
        self._caller = PeerCaller(reactor, authenticator)
        self._is_joined = False

    def others(self) -> dict[str, Member]:
        """Return the other routers that were heard of lately."""
        members = self._gossiper.live_members()
        members.pop(self._settings.name, None)
        return members

    def publish(self, topic: Topic, value: bytes, *, urgent: bool = False) -> None:
        """Replace this router's value; an urgent one is sent at once."""
        if self._gossiper.publish(topic, value) and urgent:
            self.push()

    def publish_member(
        self, version: int, since: datetime, *, is_ready: bool, is_leaving: bool
    ) -> None:
        """Tell others what this router is and has in force."""
        settings = self._settings
        member = Member(
            settings.zone,
            settings.region,
            settings.peer,
            version,
            since,
            is_ready,
            is_leaving,
        )
        self.publish(Topic.MEMBER, encode_member(member), urgent=True)

    def tell(self, names: Iterable[str], topic: Topic, value: bytes) -> None:
        """Send a value to some routers directly, at most to `MOST_TOLD`."""
        others = [name for name in names if name != self._settings.name]
        if len(others) > MOST_TOLD:
            others = self._random.sample(others, MOST_TOLD)
        self._gossiper.send_to(others, topic, value)
        self.push()

    def push(self) -> None:
        """Pass news on."""
        self.protocol.send(self._gossiper.push())

    def exchange(self) -> None:
        """Compare with other routers what was heard."""
        self._gossiper.forget_old()
        self.protocol.send(self._gossiper.exchange())

    async def fetch(self, member: Member, document: str) -> Document | None:
        """Return a document of another router, or ``None`` if it has none."""
        try:
            reply = await self._caller.call(member.peer, FetchDocument(document, 0))
        except WireError as error:
            log_event("peer_lost", peer=str(member.peer), error=error.message)
            return None
        return reply if isinstance(reply, Document) else None

    async def join(self, store: Store) -> None:
        """Make this router known in the store, once, and learn of others there."""
        if self._is_joined:
            return
        settings = self._settings
        _, stored = await store.list(ROUTERS_KIND)
        found = {item.name: item for item in stored}
        spec = {"peer": str(settings.peer), "zone": settings.zone}
        own = found.pop(settings.name, None)
        try:
            if own is None:
                await store.create(ROUTERS_KIND, settings.name, spec)
            elif own.spec != spec:
                await store.replace(ROUTERS_KIND, settings.name, spec, own.revision)
        except StoreConflictError as error:
            log_event("join_conflict", error=error.message)
            return
        seeds = [parse_address(item.spec["peer"]) for item in found.values()]
        self._gossiper.add_seeds(seeds)
        log_event("joined", others=len(seeds))
        self._is_joined = True
