"""Periodic tasks of a gateway and their intervals."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.gateway.router import Gateway

PUSH_INTERVAL = timedelta(milliseconds=200)
TRAFFIC_INTERVAL = timedelta(milliseconds=100)  # of checks what is due
STATE_INTERVAL = timedelta(milliseconds=200)
DIGEST_INTERVAL = timedelta(seconds=1)
PROBE_INTERVAL = timedelta(seconds=1)
REACH_INTERVAL = timedelta(milliseconds=100)
ASSIGN_INTERVAL = timedelta(milliseconds=50)
FOLLOW_PAUSE = timedelta(milliseconds=20)
MAX_FOLLOW_BACKOFF = timedelta(milliseconds=500)  # recovers soon after an outage
CATCH_UP_INTERVAL = timedelta(milliseconds=200)
EXPIRY_INTERVAL = timedelta(milliseconds=200)
DUTY_INTERVAL = timedelta(seconds=1)
QUARANTINE_INTERVAL = timedelta(milliseconds=200)
REFRESH_INTERVAL = timedelta(seconds=5)  # for routers that gossip does not reach
MOVE_INTERVAL = timedelta(milliseconds=300)
REGISTER_INTERVAL = timedelta(seconds=1)  # a call only if the entry has to change
REMOVAL_INTERVAL = timedelta(seconds=30)


def add_tasks(gateway: Gateway) -> None:
    """Add a gateway's tasks to its supervisor tree."""
    work = gateway.work
    gateway.add_task("gossip.push", work.push_gossip, PUSH_INTERVAL)
    gateway.add_task("gossip.state", work.publish_state, STATE_INTERVAL)
    gateway.add_task("gossip.cleared", work.report_cleared, STATE_INTERVAL)
    gateway.add_task("gossip.traffic", work.exchange_traffic, TRAFFIC_INTERVAL)
    gateway.add_task("gossip.exchange", work.exchange_digests, DIGEST_INTERVAL)
    for kind, follow in (
        (gateway.mirrors.config.kind, work.follow_config),
        (gateway.mirrors.upstreams.mirror.kind, work.follow_upstreams),
        (gateway.mirrors.moves.kind, work.follow_moves),
        (gateway.mirrors.routers.kind, work.follow_routers),
    ):
        gateway.add_task(f"{kind}.follow", follow, FOLLOW_PAUSE, MAX_FOLLOW_BACKOFF)
    for name, follow in (
        ("store.follow.1", work.follow_first_watcher),
        ("store.follow.2", work.follow_second_watcher),
    ):
        gateway.add_task(name, follow, FOLLOW_PAUSE, MAX_FOLLOW_BACKOFF)
    if gateway.follows_evacuations:
        kind = gateway.mirrors.evacuations.kind
        gateway.add_task(
            f"{kind}.follow",
            work.follow_evacuations,
            FOLLOW_PAUSE,
            MAX_FOLLOW_BACKOFF,
        )
    gateway.add_task("config.catch_up", work.catch_up, CATCH_UP_INTERVAL)
    gateway.add_task("upstreams.lapse", work.expire_upstreams, EXPIRY_INTERVAL)
    gateway.add_task("reach", gateway.reach_check.run, REACH_INTERVAL)
    gateway.add_task("pump", work.assign_waiting, ASSIGN_INTERVAL)
    gateway.add_task("duties.usage", work.report_usage, DUTY_INTERVAL)
    gateway.add_task("duties.replicas", work.scale, DUTY_INTERVAL)
    gateway.add_task("moves", gateway.moves.publish_states, MOVE_INTERVAL)
    gateway.add_task(
        "quarantines.refresh", gateway.quarantine_store.refresh, REFRESH_INTERVAL
    )
    gateway.add_task(
        "quarantines", gateway.quarantine_store.synchronize, QUARANTINE_INTERVAL
    )
    gateway.add_task("store.probe", work.probe_store, PROBE_INTERVAL)
    gateway.add_task("routers.register", work.register, REGISTER_INTERVAL)
    gateway.add_task("routers.remove", work.remove_ended_routers, REMOVAL_INTERVAL)
