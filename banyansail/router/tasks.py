"""Periodic tasks of a router and their intervals."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.router.upstreams.load_prober import LoadProber

if TYPE_CHECKING:
    from banyansail.router.router import Router

PUSH_INTERVAL = timedelta(milliseconds=200)
DIGEST_INTERVAL = timedelta(seconds=1)
RULES_POLL_INTERVAL = timedelta(seconds=60)
LIST_INTERVAL = timedelta(seconds=2)
PLAN_INTERVAL = timedelta(milliseconds=500)
STATUS_SYNC_INTERVAL = timedelta(seconds=1)
PLACEMENT_INTERVAL = timedelta(seconds=1)
CATCH_UP_INTERVAL = timedelta(milliseconds=200)
WATCH_PAUSE = timedelta(milliseconds=100)
SUSPECT_INTERVAL = timedelta(milliseconds=250)


def add_tasks(router: Router) -> None:
    """Add a router's tasks to its supervisor tree."""
    router.add_task("gossip.push", router.push_gossip, PUSH_INTERVAL)
    router.add_task("gossip.exchange", router.exchange_digests, DIGEST_INTERVAL)
    router.add_task("rules.watch", router.rules_keeper.watch, WATCH_PAUSE)
    router.add_task("rules.catch_up", router.rules_keeper.catch_up, CATCH_UP_INTERVAL)
    router.add_task("rules.poll", router.rules_keeper.poll, RULES_POLL_INTERVAL)
    router.add_task("catalog.list", router.catalog.refresh_list, LIST_INTERVAL)
    router.add_task("catalog.notices", router.catalog.watch_notices, WATCH_PAUSE)
    router.add_task("rollout.plan", router.plan_moves, PLAN_INTERVAL)
    router.add_task(
        "rollout.settle", router.rollouts.sync_statuses, STATUS_SYNC_INTERVAL
    )
    router.add_task("placement", router.placements.reconcile, PLACEMENT_INTERVAL)
    router.add_task("suspects", router.refresh_suspects, SUSPECT_INTERVAL)
    router.add_task("loads", router.prober.probe, LoadProber.INTERVAL)
