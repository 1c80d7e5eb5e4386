"""Parts of upstreams' limits and slots, at routers that hear of only some others."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace

import pytest

from banyansail.gateway.decisions.queue.service_state import ServiceState
from banyansail.gateway.decisions.upstreams.upstream_load import (
    PrefillRate,
    UpstreamLoad,
)
from banyansail.gateway.sharing.limit_sharing import LimitSharing
from tests.fakes import FakeClock
from tests.gateway.builders import upstream

PER_S = 1.0
SLOTS = 16
# The platform tolerates one and a half times a limit.
TOLERATED = 1.5
READY = SimpleNamespace(is_ready=True, is_leaving=False)


class Router:
    """One router that knows a limited and brittle upstream."""

    def __init__(self, name, heard, known):
        clock = FakeClock()
        self.load = UpstreamLoad(
            upstream("u1", slots=SLOTS), 1000, PrefillRate(), Random(1)
        )
        self.load.limit.record_answer(PER_S, clock.monotonic())
        state = ServiceState()
        state.load_by_id["u1"] = self.load
        state.is_brittle = True
        dispatcher = SimpleNamespace(
            loads=lambda: [self.load],
            service_by_name={"depot": state},
            state=lambda service: state,
        )
        self.sharing = LimitSharing(
            name,
            clock,
            dispatcher,
            SimpleNamespace(limits=dict, has_traffic=False),
            lambda: dict.fromkeys(heard, READY),
            SimpleNamespace(update=lambda loads, now: None),
            lambda: frozenset(known),
        )
        self.sharing.update()

    @property
    def per_s(self):
        return self.load.limit.capped(float("inf"))


def fleet(count, groups, known=None):
    """Return routers that hear of those in their group only."""
    names = [f"r{number}" for number in range(count)]
    return [
        Router(name, names[number % groups :: groups], known or names)
        for number, name in enumerate(names)
    ]


@pytest.mark.parametrize("groups", [2, 3, 320])
@pytest.mark.parametrize("routers", [8, 77, 320])
def test_routers_that_hear_of_few_others_together_keep_to_a_limit(routers, groups):
    """Guards against routers that each use a whole limit after a start or in a cut."""
    assert sum(router.per_s for router in fleet(routers, groups)) <= PER_S * TOLERATED


def test_the_smaller_part_of_a_cut_fleet_uses_little_of_a_limit():
    """Guards against a limit that both parts of a cut fleet use whole."""
    names = [f"r{number}" for number in range(8)]
    parts = (names[:5], names[5:])
    routers = [Router(name, part, names) for part in parts for name in part]
    assert PER_S <= sum(router.per_s for router in routers) <= PER_S * TOLERATED


@pytest.mark.parametrize("groups", [2, 3, 320])
@pytest.mark.parametrize("routers", [8, 12])
def test_routers_that_hear_of_few_others_divide_the_slots_of_brittle_upstreams(
    routers, groups
):
    """Guards against brittle upstreams that get their slots once from each router."""
    parts = [router.load.slot_part for router in fleet(routers, groups)]
    assert 0 < sum(parts) <= SLOTS


def test_most_of_the_routers_leave_no_part_to_those_that_ended():
    """Guards against limits that stay unused after instances are lost."""
    names = [f"r{number}" for number in range(8)]
    live = [Router(name, names[:5], names) for name in names[:5]]
    assert sum(router.per_s for router in live) == pytest.approx(PER_S)
    assert sum(router.load.slot_part for router in live) == SLOTS
