"""Communication with other routers: gossip, fetched documents, registration."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any

from banyansail.config.fields import Address, parse_address
from banyansail.exceptions import StoreConflictError, WireError
from banyansail.fleet.datagrams import GossipProtocol
from banyansail.fleet.entries import Feature, Member, Topic
from banyansail.fleet.gossiper import Gossiper
from banyansail.fleet.peer_calls import (
    CALL_TIMEOUT,
    PeerCaller,
    PeerServerFactory,
    is_understood,
)
from banyansail.fleet.view import FleetView
from banyansail.gateway.decisions.limits.sharers import Admission, Sharers
from banyansail.log import log_event
from banyansail.metrics import Metrics
from banyansail.wire.call_types import Document, FetchDocument, NotSupported
from banyansail.wire.gossip_codec import encode_member
from banyansail.wire.message_auth import MessageAuthenticator

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable, Mapping
    from random import Random

    from banyansail.clock import Clock
    from banyansail.config.gateway_settings import GatewaySettings
    from banyansail.fleet.entries import Entry, EvacuationMark
    from banyansail.platform.store import StoreClient
    from banyansail.platform.store_objects import StoredObject
    from banyansail.wire.call_types import PeerCall, PeerReply

ROUTERS_KIND = "routers"
ADMISSION_KEY = "admission"  # in the entry of a router
MAX_FETCH_SILENCE = timedelta(seconds=1)  # then another router is asked
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
        self._sharers = Sharers(settings.name, clock, settings.retry_window)
        self._registered_by_name: Mapping[str, StoredObject] | None = None
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
        return self._sharers.names(self._view.names, self._silence_by_leaving())

    def count_sharers(self) -> int | None:
        """Return how many routers share the retry budget.

        ``None`` if this router may use nothing of what they share.
        """
        return len(self.known_routers()) if self._sharers.may_use else None

    def update_sharers(self, list_age: timedelta) -> None:
        """Take note of how current the list of routers is; to be called often."""
        self._sharers.update(list_age, self._view.ages())

    def _silence_by_leaving(self) -> dict[str, timedelta]:
        """Return the time since the last heartbeat of routers that said they stop."""
        return {
            name: self._view.age(name)
            for name, member in self._gossiper.members().items()
            if member.is_leaving and name != self._settings.name
        }

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

    async def call(
        self, member: Member, call: PeerCall, max_silence: timedelta = CALL_TIMEOUT
    ) -> PeerReply:
        """Call another router; raise `WireError` if it does not reply.

        A call that the router does not understand is not sent. See `PeerCaller.call`.
        """
        if not is_understood(call, member.features):
            return NotSupported()
        return await self._caller.call(member.peer, call, max_silence)

    async def fetch(self, member: Member, document: str) -> Document | None:
        """Fetch a document from another router; return ``None`` if unavailable."""
        try:
            reply = await self.call(
                member, FetchDocument(document, 0), MAX_FETCH_SILENCE
            )
        except WireError as error:
            log_event("peer_lost", peer=str(member.peer), error=error.message)
            return None
        return reply if isinstance(reply, Document) else None

    def apply_registered(self, stored_by_name: Mapping[str, StoredObject]) -> None:
        """Apply the list of routers in the store; add the others as gossip seeds."""
        self._registered_by_name = stored_by_name
        self._sharers.record_registered(
            {name: _read_admission(stored) for name, stored in stored_by_name.items()}
        )
        others = (
            stored
            for name, stored in stored_by_name.items()
            if name != self._settings.name
        )
        self._gossiper.add_seeds(_read_seeds(others))

    async def register(self, store: StoreClient) -> None:
        """Write this router's entry in the store if it is not as it should be."""
        if self._registered_by_name is None:
            return
        name = self._settings.name
        own = self._registered_by_name.get(name)
        spec = self._make_spec(own)
        try:
            if own is None:
                await store.create(ROUTERS_KIND, name, spec)
            elif own.spec != spec:
                await store.replace(ROUTERS_KIND, name, spec, own.revision)
            else:
                return
        except StoreConflictError as error:
            log_event("join_conflict", error=error.message)
            return
        log_event(
            "joined",
            others=len(self._registered_by_name.keys() - {name}),
            admission=spec[ADMISSION_KEY],
        )

    def _make_spec(self, own: StoredObject | None) -> dict[str, Any]:
        """Return what the entry of this router should hold."""
        admission = Admission.PENDING
        if own is not None and (
            _read_admission(own) is Admission.ADMITTED or self._sharers.is_admissible
        ):
            admission = Admission.ADMITTED
        known = own.spec if own is not None and isinstance(own.spec, dict) else {}
        return {
            **known,
            "peer": str(self._settings.peer),
            "zone": self._settings.zone,
            ADMISSION_KEY: admission.value,
        }

    async def remove_ended(self, store: StoreClient) -> None:
        """Remove the entries of routers that have ended from the store."""
        ended = self._sharers.ended(self._view.ages(), self._silence_by_leaving())
        for name in ended:
            await store.delete(ROUTERS_KIND, name)
            log_event("router_removed", name=name)


def _read_admission(stored: StoredObject) -> Admission:
    """Return a router's admission; an unknown one of a newer build is pending."""
    spec = stored.spec if isinstance(stored.spec, dict) else {}
    if ADMISSION_KEY not in spec:
        return Admission.UNSTATED
    is_admitted = spec[ADMISSION_KEY] == Admission.ADMITTED.value
    return Admission.ADMITTED if is_admitted else Admission.PENDING


def _read_seeds(routers: Iterable[StoredObject]) -> list[Address]:
    """Return the addresses of registered routers; log and skip unreadable entries."""
    seeds = []
    for item in routers:
        try:
            seeds.append(parse_address(item.spec["peer"]))
        except (KeyError, TypeError, ValueError) as error:
            log_event("router_unreadable", name=item.name, error=repr(error))
    return seeds
