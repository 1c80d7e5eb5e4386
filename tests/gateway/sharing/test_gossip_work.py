"""When the quotas learn how many routers there may be."""

from __future__ import annotations

from datetime import timedelta
from types import SimpleNamespace

import pytest

from banyansail.gateway.sharing.gossip_work import LIST_WAIT, GossipWork
from tests.fakes import FakeClock


@pytest.mark.parametrize(
    ("list_age", "waited", "known"),
    [
        (timedelta.max, timedelta(seconds=1), 0),
        (timedelta(0), timedelta(seconds=1), 3),
        (timedelta.max, LIST_WAIT + timedelta(seconds=1), 3),
    ],
    ids=["not read", "read", "waited long"],
)
def test_quotas_wait_for_the_list_of_routers_for_a_while(list_age, waited, known):
    """Guards against a router that takes itself for the only one (QUOTA)."""
    clock = FakeClock()
    context = SimpleNamespace(clock=clock, quota=SimpleNamespace(known_routers=0))
    link = SimpleNamespace(known_routers=lambda: frozenset({"r1", "r2", "r3"}))
    routers = SimpleNamespace(age=list_age)
    work = GossipWork(context, link, routers, *[None] * 5)
    clock.advance(waited.total_seconds())
    work._count_quota_routers()
    assert context.quota.known_routers == known
