"""Status of a router as JSON, for operators and tests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from banyansail.router.router import Router


def report_status(router: Router) -> dict[str, Any]:
    """Return the state, counters, members and upstreams of a router."""
    gossip = router.gossip
    rules_keeper = router.rules_keeper
    return {
        "name": router.settings.name,
        "state": router.lifecycle.state.value,
        "rules_version": rules_keeper.rules.version,
        "rules_since": rules_keeper.active_since.isoformat(),
        "in_progress": router.lifecycle.in_progress,
        "platform_calls": router.platform.calls,
        "ledger_writes": router.ledger.writes,
        "gossip_bytes_sent": gossip.bytes_sent,
        "gossip_bytes_received": gossip.bytes_received,
        "gossip_datagrams_sent": gossip.datagrams_sent,
        "gossip_dropped": gossip.dropped,
        "members": _member_rows(router),
        "upstreams": _upstream_rows(router),
    }


def _member_rows(router: Router) -> list[dict[str, Any]]:
    return [
        {
            "name": name,
            "zone": member.zone,
            "rules_version": member.rules_version,
            "rules_since": member.rules_since.isoformat(),
            "live": router.gossiper.is_live(name),
            "heard_s": round(router.view.age(name).total_seconds(), 1),
        }
        for name, member in sorted(router.gossiper.members().items())
    ]


def _upstream_rows(router: Router) -> list[dict[str, Any]]:
    now = router.clock.monotonic()
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
        for name, state in sorted(router.dispatcher.state_by_name.items())
    ]
