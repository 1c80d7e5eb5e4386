"""Upstreams from the rules and from the platform's list of instances."""

from __future__ import annotations

import json
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from banyansail.config.fields import parse_address
from banyansail.config.rules import InstanceClass, RuleSet, UpstreamRule
from banyansail.exceptions import WireError
from banyansail.log import log_event
from banyansail.utils import hash32
from banyansail.wire.call_types import Document, FetchDocument

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.coordination.client import PlatformClient
    from banyansail.fleet.duties import Duties
    from banyansail.fleet.gossiper import Gossiper
    from banyansail.fleet.peer_calls import PeerCaller

INSTANCES_DOCUMENT = "instances"
DEFAULT_NOTICE = timedelta(seconds=2)  # if only the list shows an instance as leaving


class Catalog:
    """Upstreams by name, and reports of those that are leaving.

    Leaving is final: `Dispatcher.mark_leaving` keeps an instance marked even if the
    list, which lags, still shows it as running.

    Parameters
    ----------
    zone : str
        Zone of this router.
    platform : PlatformClient
        Provides the list and the reclaim notices.
    gossiper : Gossiper
        Provides the addresses of the zone's watchers.
    peers : PeerCaller
        Fetches the list from a watcher of the zone.
    duties : Duties
        Decides whether this router watches the platform for its zone.
    on_upstreams : callable
        Called with the upstreams by name whenever they may have changed.
    on_leaving : callable
        Called with the notice periods of leaving upstreams by name.
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
        self._listed_instances: list[dict[str, Any]] = []
        self._last_notice = 0
        self.document = Document(0, "[]")
        self.rule_by_name: dict[str, UpstreamRule] = {}

    def apply_rules(self, rules: RuleSet) -> None:
        """Use the upstreams of new rules."""
        self._rules = rules
        self._combine_upstreams()

    async def refresh_list(self) -> None:
        """Read the list from the platform, or from a watcher of the zone."""
        if self._duties.is_watcher():
            self._apply_list(json.dumps(await self._platform.list_instances()))
            return
        members = self._gossiper.live_members()
        for name in self._duties.zone_watchers():
            call = FetchDocument(INSTANCES_DOCUMENT, self.document.version)
            try:
                reply = await self._peers.call(members[name].peer, call)
            except WireError:
                continue
            if isinstance(reply, Document):
                self._apply_list(reply.text)
            return

    async def watch_notices(self) -> None:
        """Wait for reclaim notices if this router watches the platform."""
        if not self._duties.is_watcher():
            return
        last_notice, notices = await self._platform.watch_notices(self._last_notice)
        self._last_notice = max(last_notice, self._last_notice)
        leaving = {
            name: timedelta(seconds=float(notice.get("notice_s", 0)))
            for notice in notices
            for name in notice["ids"]
        }
        if leaving:
            self._on_leaving(leaving)

    def _apply_list(self, text: str) -> None:
        version = hash32(text) or 1
        if version == self.document.version:
            return
        self.document = Document(version, text)
        self._listed_instances = json.loads(text)
        leaving = {
            str(item["id"]): DEFAULT_NOTICE
            for item in self._listed_instances
            if item.get("state") == "leaving"
        }
        if leaving:
            self._on_leaving(leaving)
        self._combine_upstreams()

    def _combine_upstreams(self) -> None:
        combined = dict(self._rules.upstream_by_name)
        for item in self._listed_instances:
            rule = _decode_upstream(item)
            if rule is not None and rule.name not in combined:
                combined[rule.name] = rule
        self.rule_by_name = combined
        self._on_upstreams(combined)


def _decode_upstream(item: dict[str, Any]) -> UpstreamRule | None:
    """Decode an entry of the list; ``None`` if malformed or without an address yet."""
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
