"""Known upstreams: those of the rules and those of the platform's list."""

from __future__ import annotations

import json
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from banyansail.config.fields import parse_address
from banyansail.config.rules import InstanceClass, RuleSet, UpstreamRule
from banyansail.exceptions import WireError
from banyansail.log import log_event
from banyansail.utils import hash32
from banyansail.wire.call_codec import Document, FetchDocument

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.coordination.client import PlatformClient
    from banyansail.fleet.duties import Duties
    from banyansail.fleet.gossiper import Gossiper
    from banyansail.fleet.peer_calls import PeerCaller

INSTANCES_DOCUMENT = "instances"
DEFAULT_NOTICE = timedelta(seconds=2)


class Catalog:
    """Upstreams by name, and which of them are leaving.

    A mark that an instance is leaving never lifts, whatever the lagging list says.

    Parameters
    ----------
    zone : str
        Zone of this router.
    platform : PlatformClient
        Has the list and the notices.
    gossiper : Gossiper
        Knows the other routers of the zone.
    peers : PeerCaller
        Fetches the list from the zone's watchers.
    duties : Duties
        Says whether this router asks the platform.
    on_upstreams : callable
        Called with the upstreams by name when they change.
    on_leaving : callable
        Called with the notice by name of upstreams that are leaving.
    """

    def __init__(
        self,
        zone: str,
        platform: PlatformClient,
        gossiper: Gossiper,
        peers: PeerCaller,
        duties: Duties,
        on_upstreams: Callable[[dict[str, UpstreamRule]], None],
        on_leaving: Callable[[dict[str, timedelta]], None],
    ) -> None:
        self._zone = zone
        self._platform = platform
        self._gossiper = gossiper
        self._peers = peers
        self._duties = duties
        self._on_upstreams = on_upstreams
        self._on_leaving = on_leaving
        self._rules = RuleSet()
        self._listed: list[dict[str, Any]] = []
        self._notices_seen = 0
        self.document = Document(0, "[]")
        self.rule_by_name: dict[str, UpstreamRule] = {}

    def apply_rules(self, rules: RuleSet) -> None:
        """Take over the upstreams of the rules."""
        self._rules = rules
        self._combine()

    async def refresh_list(self) -> None:
        """Read the list, from the platform or from a watcher of the zone."""
        if self._duties.is_watcher():
            self._take_list(json.dumps(await self._platform.list_instances()))
            return
        members = self._gossiper.live_members()
        for name in self._duties.zone_watchers():
            call = FetchDocument(INSTANCES_DOCUMENT, self.document.version)
            try:
                reply = await self._peers.call(members[name].peer, call)
            except WireError:
                continue
            if isinstance(reply, Document):
                self._take_list(reply.text)
            return

    async def watch_notices(self) -> None:
        """Wait for notices of reclaims, if this router watches the platform."""
        if not self._duties.is_watcher():
            return
        seen, notices = await self._platform.watch_notices(self._notices_seen)
        self._notices_seen = max(seen, self._notices_seen)
        leaving = {
            name: timedelta(seconds=float(notice.get("notice_s", 0)))
            for notice in notices
            for name in notice["ids"]
        }
        if leaving:
            self._on_leaving(leaving)

    def _take_list(self, text: str) -> None:
        version = hash32(text) or 1
        if version == self.document.version:
            return
        self.document = Document(version, text)
        self._listed = json.loads(text)
        leaving = {
            str(item["id"]): DEFAULT_NOTICE
            for item in self._listed
            if item.get("state") == "leaving"
        }
        if leaving:
            self._on_leaving(leaving)
        self._combine()

    def _combine(self) -> None:
        combined = dict(self._rules.upstream_by_name)
        for item in self._listed:
            rule = _listed_upstream(item)
            if rule is not None and rule.name not in combined:
                combined[rule.name] = rule
        self.rule_by_name = combined
        self._on_upstreams(combined)


def _listed_upstream(item: dict[str, Any]) -> UpstreamRule | None:
    """Read one entry of the list; one that is still starting has no address."""
    if "address" not in item:
        return None
    try:
        return UpstreamRule(
            str(item["id"]),
            item["service"],
            item["version"],
            parse_address(item["address"]),
            item["zone"],
            InstanceClass(item.get("class", "reclaimable")),
            float(item.get("price", 1.0)),
            bool(item.get("fencing", False)),
        )
    except (KeyError, ValueError) as error:
        log_event("bad_instance", instance=str(item.get("id")), error=str(error))
        return None
