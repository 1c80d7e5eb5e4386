from __future__ import annotations

from datetime import timedelta
from itertools import pairwise
from random import Random

from twisted.internet.task import Clock as ReactorClock

from banyansail.exceptions import PlatformUnavailableError
from banyansail.gateway.store.upstream_sync import coalesce_time
from banyansail.gateway.tasks import FOLLOW_PAUSE, MAX_FOLLOW_BACKOFF
from banyansail.router.supervisor import RepeatedTask

# Store changes must take effect within this time after an outage ends.
MAX_RECOVERY_TIME = timedelta(seconds=2)


def test_the_store_is_asked_soon_after_a_long_outage():
    reactor = ReactorClock()
    call_times = []

    async def follow():
        call_times.append(reactor.seconds())
        raise PlatformUnavailableError("down")

    task = RepeatedTask(
        reactor, Random(1), "follow", follow, FOLLOW_PAUSE, MAX_FOLLOW_BACKOFF
    )
    task.startService()
    for _ in range(3000):
        reactor.advance(0.01)
    gaps = [after - before for before, after in pairwise(call_times)]
    assert max(gaps) < MAX_RECOVERY_TIME.total_seconds() / 2
    task.stopService()


def test_coalesce_time_grows_with_the_fleet_within_the_drain_deadline():
    drain_deadline = timedelta(seconds=2)
    times = [coalesce_time(router_count) for router_count in (1, 9, 75, 320)]
    assert times == sorted(times)
    assert times[0] == times[1]
    assert max(times) <= drain_deadline / 2
