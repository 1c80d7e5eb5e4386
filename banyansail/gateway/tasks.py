"""Periodic and endless tasks of a gateway."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.gateway.router import Gateway

PUSH_INTERVAL = timedelta(milliseconds=200)
TRAFFIC_INTERVAL = timedelta(milliseconds=400)
SHORT_USE_INTERVAL = timedelta(milliseconds=100)
EXCHANGE_INTERVAL = timedelta(seconds=1)
PROBE_INTERVAL = timedelta(seconds=1)
PUMP_INTERVAL = timedelta(milliseconds=50)
FOLLOW_PAUSE = timedelta(milliseconds=20)
FOLLOW_BACKOFF = timedelta(milliseconds=500)  # news is owed soon after an outage
CATCH_UP_INTERVAL = timedelta(milliseconds=200)
LAPSE_INTERVAL = timedelta(milliseconds=200)
DUTY_INTERVAL = timedelta(seconds=1)
MOVE_INTERVAL = timedelta(milliseconds=300)
JOIN_INTERVAL = timedelta(seconds=5)


def add_tasks(gateway: Gateway) -> None:
    """Add the tasks of a gateway to its supervisor tree."""
    gateway.add_task("gossip.push", gateway.push, PUSH_INTERVAL)
    gateway.add_task("gossip.traffic", gateway.publish_traffic, TRAFFIC_INTERVAL)
    gateway.add_task("gossip.short", gateway.tell_short_use, SHORT_USE_INTERVAL)
    gateway.add_task("gossip.exchange", gateway.exchange_digests, EXCHANGE_INTERVAL)
    for kind, follow in (
        (gateway.config_mirror.kind, gateway.config_mirror.follow),
        (gateway.upstream_table.mirror.kind, gateway.follow_upstreams),
        (gateway.move_mirror.kind, gateway.move_mirror.follow),
    ):
        gateway.add_task(f"{kind}.follow", follow, FOLLOW_PAUSE, FOLLOW_BACKOFF)
    gateway.add_task("config.catch_up", gateway.catch_up, CATCH_UP_INTERVAL)
    gateway.add_task("upstreams.lapse", gateway.drop_lapsed, LAPSE_INTERVAL)
    gateway.add_task("pump", gateway.pump, PUMP_INTERVAL)
    gateway.add_task("duties.usage", gateway.report_usage, DUTY_INTERVAL)
    gateway.add_task("duties.replicas", gateway.scale, DUTY_INTERVAL)
    gateway.add_task("moves", gateway.moves.publish_states, MOVE_INTERVAL)
    gateway.add_task("store.probe", gateway.probe.probe, PROBE_INTERVAL)
    gateway.add_task("join", gateway.join, JOIN_INTERVAL)
