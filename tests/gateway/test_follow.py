from __future__ import annotations

from datetime import timedelta
from itertools import pairwise
from random import Random

from twisted.internet.task import Clock as ReactorClock

from banyansail.exceptions import PlatformUnavailableError
from banyansail.gateway.router import gather_time
from banyansail.gateway.tasks import FOLLOW_BACKOFF, FOLLOW_PAUSE
from banyansail.router.supervisor import RepeatedTask

# Within this time after a lost store is back, its news must be in force.
NEWS_OWED = timedelta(seconds=2)


def test_the_store_is_asked_soon_after_a_long_outage():
    reactor = ReactorClock()
    asked = []

    async def follow():
        asked.append(reactor.seconds())
        raise PlatformUnavailableError("down")

    task = RepeatedTask(
        reactor, Random(1), "follow", follow, FOLLOW_PAUSE, FOLLOW_BACKOFF
    )
    task.startService()
    for _ in range(3000):
        reactor.advance(0.01)
    gaps = [after - before for before, after in pairwise(asked)]
    assert max(gaps) < NEWS_OWED.total_seconds() / 2
    task.stopService()


def test_a_large_fleet_asks_less_often_and_still_hears_of_a_leaving_upstream_in_time():
    leaving_is_owed = timedelta(seconds=2)
    times = [gather_time(routers) for routers in (1, 9, 75, 320)]
    assert times == sorted(times)
    assert times[0] == times[1]
    assert max(times) <= leaving_is_owed / 2
