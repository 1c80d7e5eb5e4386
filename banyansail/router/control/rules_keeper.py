"""Rules that are active at a router; versions only increase."""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING

from banyansail.config.findings import has_errors
from banyansail.config.rule_parser import parse_rules
from banyansail.config.rule_store import RULES_KEY
from banyansail.config.rules import RuleSet
from banyansail.coordination.budget import CallKind
from banyansail.exceptions import WireError
from banyansail.log import log_event
from banyansail.wire.call_types import Document, FetchDocument

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.clock import Clock
    from banyansail.coordination.client import PlatformClient, StoredObject
    from banyansail.fleet.duties import Duties
    from banyansail.fleet.gossiper import Gossiper
    from banyansail.fleet.peer_calls import PeerCaller

RULES_DOCUMENT = "rules"


class RulesKeeper:
    """Activates newer rules from the platform and from other routers.

    Parameters
    ----------
    name : str
        This router.
    clock : Clock
        Source of time.
    platform : PlatformClient
        Stores the accepted rules.
    gossiper : Gossiper
        Has the active versions of other routers.
    peers : PeerCaller
        Fetches rules from other routers.
    duties : Duties
        Decides whether this router watches the platform.
    on_change : callable
        Called with newly activated rules.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        platform: PlatformClient,
        gossiper: Gossiper,
        peers: PeerCaller,
        duties: Duties,
        on_change: Callable[[RuleSet], None],
    ) -> None:
        self._name = name
        self._clock = clock
        self._platform = platform
        self._gossiper = gossiper
        self._peers = peers
        self._duties = duties
        self._on_change = on_change
        self.rules = RuleSet()
        self.active_since: datetime = clock.now()

    @property
    def has_rules(self) -> bool:
        """Whether any rules are active."""
        return self.rules.version > 0

    def apply(self, version: int, text: str, source: str) -> bool:
        """Activate rules if they are newer and valid; return whether they were."""
        if version <= self.rules.version:
            return False
        rules, findings = parse_rules(text, RULES_KEY, version)
        if has_errors(findings):
            log_event("rules_rejected", version=version, finding=str(findings[0]))
            return False
        self.rules = rules
        self.active_since = self._clock.now()
        log_event("rules_in_force", version=version, source=source)
        self._on_change(rules)
        return True

    async def watch(self) -> None:
        """Wait for newer accepted rules if this router is a watcher or has no rules."""
        if not self._duties.is_watcher() and self.has_rules:
            return
        stored = await self._platform.watch(
            RULES_KEY, self.rules.version, CallKind.CONFIGURATION
        )
        self._apply_stored(stored)

    async def poll(self) -> None:
        """Read the platform's rules, in case a watch missed a change."""
        stored = await self._platform.get(RULES_KEY, CallKind.CONFIGURATION)
        self._apply_stored(stored)

    async def catch_up(self) -> None:
        """Fetch rules from a router whose active version is newer."""
        newer = {
            name: member
            for name, member in self._gossiper.live_members().items()
            if member.rules_version > self.rules.version and name != self._name
        }
        for member in newer.values():
            call = FetchDocument(RULES_DOCUMENT, self.rules.version)
            try:
                reply = await self._peers.call(member.peer, call)
            except WireError:
                continue
            if isinstance(reply, Document):
                self.apply(reply.version, reply.text, str(member.peer))
                return

    def is_up_to_date(self) -> bool:
        """Return whether rules are active and no live router has newer ones."""
        members = self._gossiper.live_members().values()
        newest_version = max((member.rules_version for member in members), default=0)
        return self.has_rules and self.rules.version >= newest_version

    def _apply_stored(self, stored: StoredObject) -> None:
        if stored.body is not None:
            self.apply(stored.version, stored.body["text"], "platform")
