"""Periodic tasks of a gateway and their intervals."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.gateway.context import GatewayContext
    from banyansail.gateway.duties.duty_lease import DutyLease
    from banyansail.gateway.duties.duty_work import DutyWork
    from banyansail.gateway.moves.controller import MoveController
    from banyansail.gateway.reach_check import ReachCheck
    from banyansail.gateway.sharing.gossip_work import GossipWork
    from banyansail.gateway.sharing.quarantine_store import QuarantineStore
    from banyansail.gateway.store.store_mirrors import StoreMirrors
    from banyansail.gateway.store.store_work import StoreWork
    from banyansail.router.supervisor import Supervisor

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


def add_store_tasks(
    supervisor: Supervisor, work: StoreWork, mirrors: StoreMirrors, lease: DutyLease
) -> None:
    """Add the tasks that follow the store."""
    for mirror, follow in (
        (mirrors.config, work.follow_config),
        (mirrors.upstreams.mirror, work.follow_upstreams),
        (mirrors.moves, work.follow_moves),
        (mirrors.routers, work.follow_routers),
        (mirrors.evacuations, work.follow_evacuations),
    ):
        if mirror in mirrors.followed():
            name = f"{mirror.kind}.follow"
            supervisor.add_task(name, follow, FOLLOW_PAUSE, MAX_FOLLOW_BACKOFF)
    for name, follow in (
        ("store.follow.1", work.follow_first_watcher),
        ("store.follow.2", work.follow_second_watcher),
    ):
        supervisor.add_task(name, follow, FOLLOW_PAUSE, MAX_FOLLOW_BACKOFF)
    supervisor.add_task("config.catch_up", work.catch_up, CATCH_UP_INTERVAL)
    supervisor.add_task("upstreams.lapse", work.expire_upstreams, EXPIRY_INTERVAL)
    supervisor.add_task("store.probe", work.probe, PROBE_INTERVAL)
    supervisor.add_task("routers.register", work.register, REGISTER_INTERVAL)
    supervisor.add_task(
        "routers.remove", lambda: work.remove_ended_routers(lease), REMOVAL_INTERVAL
    )


def add_gossip_tasks(supervisor: Supervisor, work: GossipWork) -> None:
    """Add the tasks that tell other routers of this one."""
    supervisor.add_task("gossip.push", work.push, PUSH_INTERVAL)
    supervisor.add_task("gossip.state", work.publish_state, STATE_INTERVAL)
    supervisor.add_task("gossip.cleared", work.report_cleared, STATE_INTERVAL)
    supervisor.add_task("gossip.traffic", work.exchange_traffic, TRAFFIC_INTERVAL)
    supervisor.add_task("gossip.exchange", work.exchange_digests, DIGEST_INTERVAL)


def add_request_tasks(
    supervisor: Supervisor, context: GatewayContext, reach_check: ReachCheck
) -> None:
    """Add the tasks that requests depend on."""

    async def assign_waiting() -> None:
        context.dispatcher.assign_waiting()

    supervisor.add_task("reach", reach_check.run, REACH_INTERVAL)
    supervisor.add_task("pump", assign_waiting, ASSIGN_INTERVAL)


def add_duty_tasks(
    supervisor: Supervisor,
    work: DutyWork,
    moves: MoveController,
    quarantines: QuarantineStore,
) -> None:
    """Add the tasks that one router does for the fleet."""
    supervisor.add_task("duties.usage", work.report_usage, DUTY_INTERVAL)
    supervisor.add_task("duties.replicas", work.scale, DUTY_INTERVAL)
    supervisor.add_task("moves", moves.publish_states, MOVE_INTERVAL)
    supervisor.add_task("quarantines.refresh", quarantines.refresh, REFRESH_INTERVAL)
    supervisor.add_task("quarantines", quarantines.synchronize, QUARANTINE_INTERVAL)
