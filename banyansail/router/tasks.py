"""Periodic tasks of a router and their intervals."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.router.upstreams.load_prober import LoadProber

if TYPE_CHECKING:
    from banyansail.router.control.placements import PlacementController
    from banyansail.router.control.rollouts import RolloutController
    from banyansail.router.control.rules_keeper import RulesKeeper
    from banyansail.router.supervisor import Supervisor
    from banyansail.router.upstreams.catalog import Catalog
    from banyansail.router.work import RouterWork

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


def add_tasks(
    supervisor: Supervisor,
    work: RouterWork,
    rules_keeper: RulesKeeper,
    catalog: Catalog,
    rollouts: RolloutController,
    placements: PlacementController,
    prober: LoadProber,
) -> None:
    """Add a router's tasks to its supervisor tree."""
    for name, task, interval in (
        ("gossip.push", work.push_gossip, PUSH_INTERVAL),
        ("gossip.exchange", work.exchange_digests, DIGEST_INTERVAL),
        ("rules.watch", rules_keeper.watch, WATCH_PAUSE),
        ("rules.catch_up", rules_keeper.catch_up, CATCH_UP_INTERVAL),
        ("rules.poll", rules_keeper.poll, RULES_POLL_INTERVAL),
        ("catalog.list", catalog.refresh_list, LIST_INTERVAL),
        ("catalog.notices", catalog.watch_notices, WATCH_PAUSE),
        ("rollout.plan", work.plan_moves, PLAN_INTERVAL),
        ("rollout.settle", rollouts.sync_statuses, STATUS_SYNC_INTERVAL),
        ("placement", placements.reconcile, PLACEMENT_INTERVAL),
        ("suspects", work.refresh_suspects, SUSPECT_INTERVAL),
        ("loads", prober.probe, LoadProber.INTERVAL),
    ):
        supervisor.add_task(name, task, interval)
