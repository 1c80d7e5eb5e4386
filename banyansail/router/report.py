"""Status of a router as JSON, for operators and tests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from datetime import timedelta

    from banyansail.fleet.datagrams import GossipProtocol
    from banyansail.fleet.gossiper import Gossiper
    from banyansail.fleet.view import FleetView
    from banyansail.router.control.rules_keeper import RulesKeeper
    from banyansail.routing.dispatch import Dispatcher


def report_rules(keeper: RulesKeeper) -> dict[str, Any]:
    """Return the version of the rules in force, and since when they are."""
    return {
        "rules_version": keeper.rules.version,
        "rules_since": keeper.active_since.isoformat(),
    }


def report_gossip(gossip: GossipProtocol) -> dict[str, Any]:
    """Return the counters of gossip."""
    return {
        "gossip_bytes_sent": gossip.bytes_sent,
        "gossip_bytes_received": gossip.bytes_received,
        "gossip_datagrams_sent": gossip.datagrams_sent,
        "gossip_dropped": gossip.dropped,
    }


def report_members(gossiper: Gossiper, view: FleetView) -> list[dict[str, Any]]:
    """Return the known routers."""
    return [
        {
            "name": name,
            "zone": member.zone,
            "rules_version": member.rules_version,
            "rules_since": member.rules_since.isoformat(),
            "live": gossiper.is_live(name),
            "heard_s": round(view.age(name).total_seconds(), 1),
        }
        for name, member in sorted(gossiper.members().items())
    ]


def report_upstreams(dispatcher: Dispatcher, now: timedelta) -> list[dict[str, Any]]:
    """Return the known upstreams."""
    return [
        {
            "name": name,
            "service": state.rule.service,
            "version": state.rule.version,
            "zone": state.rule.zone,
            "in_flight": state.in_flight,
            "limit": state.limit.value,
            "leaving": state.is_leaving,
            "suspect": not state.is_leaving and not state.is_eligible(now),
        }
        for name, state in sorted(dispatcher.state_by_name.items())
    ]
